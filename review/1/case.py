"""An order runs twice when its serving node restarts while its entry node is still."""

import asyncio
import collections
import signal

import standins

ROUNDS = 6
ORDERS = 4
# The entry machine is suspended for this long, a little after the orders were sent.
SUSPENDED_S = 1.3
RESTART_DELAY_S = 0.3
WORK_S = 0.9


async def run(world):
    record = world.record
    entry = world.add("m1", "messina-a", "sicilia", "press")
    serving = world.add("m2", "catania-b", "sicilia", "desk")
    machines = [entry, serving]
    world.store.put("config", "main", standins.make_config(7, ["desk", "press"]))

    async def work(request_id, path):
        await asyncio.sleep(WORK_S)
        return 200

    serving.worker.work = work
    for machine in machines:
        await world.start_machine(machine)
    await world.wait_ready(machines)
    await asyncio.sleep(4.0)
    statuses = collections.Counter()
    for _ in range(ROUNDS):
        orders = [
            asyncio.create_task(
                world.request(entry, "/order-desk/1", "POST", b"die 7")
            )
            for _ in range(ORDERS)
        ]
        await asyncio.sleep(0.15)
        if standins.TROUBLE:
            entry.process.send_signal(signal.SIGSTOP)
            record.add("m1 suspended")
            serving.kill_process()
            await asyncio.sleep(RESTART_DELAY_S)
            serving.start_process()
            await asyncio.sleep(SUSPENDED_S - RESTART_DELAY_S)
            entry.process.send_signal(signal.SIGCONT)
            record.add("m1 runs on")
        statuses.update([(await order)[1] for order in orders])
        await asyncio.sleep(3.0)
        await world.wait_ready(machines)
    runs = collections.Counter(
        request_id for _, request_id, _ in serving.worker.runs
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    record.add(
        f"{len(twice)} of {ROUNDS * ORDERS} orders ran twice: {twice}; answers:"
        f" {dict(statuses)}"
    )
    return f"TWICE: {len(twice)} of {ROUNDS * ORDERS} orders" if twice else ""


standins.main(run)
