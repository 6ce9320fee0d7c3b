"""A worker that has left gets orders after all processes were killed once."""

import asyncio

import standins

# The worker serves for this long after the ack of its leaving, then it exits.
SERVES_ON_S = 5.8
# The processes are killed at the same time, this long after the ack.
KILL_AFTER_S = 1.0
RESTART_DELAY_S = 0.5
# Time on its way of the check-in that the worker sent before it left.
CHECK_IN_DELAY_S = 5.3


async def send_orders(world, machines, path, until):
    """Sends an order to each ready machine about ten times a second."""
    tasks = []
    while world.record.now() < until:
        tasks += [
            asyncio.create_task(world.request(machine, path, "POST", b"die 7"))
            for machine in machines
            if machine.is_ready
        ]
        await asyncio.sleep(0.1)
    return [await task for task in tasks]


async def run(world):
    machines = [
        world.add("m1", "messina-a", "sicilia", "desk"),
        world.add("m2", "messina-a", "sicilia", "desk"),
        world.add("m3", "catania-b", "sicilia", "desk"),
        world.add("m4", "reggio-a", "calabria", "desk"),
        world.add("m5", "cosenza-b", "calabria", "press"),
    ]
    record = world.record
    world.store.put("config", "main", standins.make_config(7, ["desk", "press"]))
    for machine in machines:
        await world.start_machine(machine)
    await world.wait_ready(machines)
    await asyncio.sleep(5.0)
    leaver = machines[0].worker

    async def work(request_id, path):
        await asyncio.sleep(0.8)
        return 200

    for machine in machines:
        machine.worker.work = work
    clients = asyncio.create_task(
        send_orders(world, machines, "/order-desk/1", record.now() + 11.0)
    )
    await asyncio.sleep(2.0)

    # The worker leaves without `draining` before: its last check-in is still on
    # its way, and it sends no other.
    leaver.beats.cancel()
    late_check_in = leaver.make_beat()
    record.add(f"{leaver.id} sends check-in {leaver.sequence}; it arrives late")
    sent_at = record.now()
    await asyncio.sleep(0.2)
    if not await leaver.send("deregister", b'{"born": %d}' % leaver.born):
        raise standins.Unusable("no ack for deregister")
    leaver.leaving = True
    acked_at = record.now()
    record.add(f"ack: {leaver.id} is gone")

    if standins.TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        for machine in machines:
            machine.kill_process()
        await asyncio.sleep(RESTART_DELAY_S)
        for machine in machines:
            machine.start_process()
        restarted_at = record.now()
        await world.wait_ready(machines)
    else:
        restarted_at = record.now()
    await asyncio.sleep(max(0.0, sent_at + CHECK_IN_DELAY_S - record.now()))
    acked = await leaver.send("heartbeat", late_check_in)
    record.add(f"the late check-in of {leaver.id} arrives; ack: {acked}")
    await asyncio.sleep(max(0.0, acked_at + SERVES_ON_S - record.now()))
    leaver.stop()
    record.add(f"{leaver.id} exits")
    answers = {request_id: status for request_id, status, _ in await clients}

    # All machines are in touch from stability_window_s after their start.
    drain_s = standins.BOUNDS["drain_s"]
    in_touch_at = restarted_at + 0.1 + standins.BOUNDS["stability_window_s"]
    sent = {
        line.split()[2]: float(line.split()[0])
        for line in record.lines
        if " sent " in line
    }
    late = [
        request_id
        for at, request_id, _ in leaver.runs
        if at > acked_at + drain_s and sent[request_id] > in_touch_at
    ]
    lost = [i for i in late if answers.get(i) != 200]
    record.add(
        f"{len(late)} orders reached {leaver.id} later than {drain_s} s after the"
        f" ack, sent by machines in touch; {len(lost)} of them had no success"
    )
    return f"DRAIN: {len(late)} orders, {len(lost)} lost" if late else ""


standins.main(run)
