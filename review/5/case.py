"""A request that crashes workers is sent again after many crashes."""

import asyncio

import standins

# A crashed worker is back after this long.
BACK_AFTER_S = 3.0
# The same request comes again after this long, while the workers serve.
PAUSE_S = 6.0
POISON = "/order-desk/broken"
ROUNDS = 3


async def send_orders(world, machines, until):
    tasks = []
    while world.record.now() < until:
        for machine in machines:
            tasks.append(
                asyncio.create_task(
                    world.request(machine, "/order-desk/1", "POST", b"die 7")
                )
            )
        await asyncio.sleep(0.2)
    return [await task for task in tasks]


async def run(world):
    record = world.record
    machines = [
        world.add(f"m{number}", zone, region, "desk")
        for number, (zone, region) in enumerate(
            (
                ("messina-a", "sicilia"),
                ("messina-a", "sicilia"),
                ("catania-b", "sicilia"),
                ("catania-b", "sicilia"),
                ("reggio-a", "calabria"),
                ("cosenza-b", "calabria"),
            )
        )
    ]
    world.store.put(
        "config", "main", standins.make_config(7, ["desk"], max_attempts=2)
    )
    crashes = []
    arrivals = []
    tasks = []
    poison = POISON if standins.TROUBLE else "/order-desk/sound"

    def add_worker(machine, number):
        worker = standins.Worker(
            machine, f"i-{machine.name}-{number}", "desk"
        )
        worker.crashed = False
        machine.worker = worker

        async def work(request_id, path):
            if path == poison:
                arrivals.append(record.now())
            if path != POISON:
                await asyncio.sleep(0.2)
                return 200
            await asyncio.sleep(0.8)
            if machine.worker is worker and not worker.crashed:
                worker.crashed = True
                crashes.append(record.now())
                record.add(f"{worker.id} crashes")
                asyncio.get_running_loop().call_soon(worker.stop)
                tasks.append(
                    asyncio.create_task(come_back(machine, number + 1))
                )
            return None

        worker.work = work
        return worker

    async def come_back(machine, number):
        await asyncio.sleep(BACK_AFTER_S)
        await add_worker(machine, number).start()
        record.add(f"{machine.worker.id} started")

    for machine in machines:
        add_worker(machine, 0)
        await world.start_machine(machine)
    await world.wait_ready(machines)
    await asyncio.sleep(5.0)
    orders = asyncio.create_task(
        send_orders(world, machines, record.now() + PAUSE_S * ROUNDS)
    )
    await asyncio.sleep(0.5)
    for _ in range(ROUNDS):
        # One client at each machine, within half a second.
        record.add(f"the clients of all machines ask for {poison}")
        requests = []
        for machine in machines:
            requests.append(
                asyncio.create_task(
                    world.request(machine, poison, "POST", b"die 9")
                )
            )
            await asyncio.sleep(0.1)
        await asyncio.gather(*requests)
        await asyncio.sleep(PAUSE_S)
    answers = await orders

    stability_s = standins.BOUNDS["stability_window_s"]
    retries = (
        [at for at in arrivals if at > crashes[2] + stability_s]
        if len(crashes) > 2
        else []
    )
    failed = sum(status != 200 for _, status, _ in answers)
    record.add(
        f"{len(crashes)} crashes; {len(retries)} arrivals later than {stability_s} s"
        f" after the third, 3 are allowed; {failed} of {len(answers)} orders failed"
    )
    if len(retries) > 3:
        return f"BUDGET: {len(retries)} arrivals, {len(crashes)} crashes"
    return ""


standins.main(run)
