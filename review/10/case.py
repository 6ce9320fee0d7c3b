"""Nodes are killed while servers run requests that then make their calls."""

import asyncio
import pathlib

import lab2

KEY = "2thhkmgjqnirth5mgjy5"
SLOTS = 8
WORK_S = 1.6
MAX_DENIED = 10
RULES = [
    ("order", "unsafe", "/order/", "desk", 5.0),
    ("gauge", "safe", "/gauge/", "archive", 1.5),
]


async def run(lab):
    lab.store.put(
        "config",
        "main",
        lab2.make_config(
            7,
            RULES,
            tenants=[
                {
                    "name": "pulo780",
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": 316,
                    "burst_size": 316,
                }
            ],
        ),
    )
    denied = []
    statuses = []
    for number in range(10):
        service = "desk" if number < 8 else "archive"
        machine = lab.add(f"m{number}", service, zone=f"z-{'ab'[number % 2]}")
        server = await lab.add_server(machine, slots=SLOTS, work_s=0.05)
        if service == "desk":
            server.work_s = WORK_S
            server.patient = number < 2
            server.call = make_call(lab, machine, denied, statuses)
        machine.start_node()
    await lab.wait_ready()
    await asyncio.sleep(4)

    async def send():
        # The clients use the two machines whose processes are not killed.
        for _ in range(4):
            for machine in lab.machines[8:]:
                asyncio.create_task(
                    machine.request(
                        "POST", "/order/1", b"x" * 300, deadline_ms=6000,
                        key=KEY,
                    )
                )
                await asyncio.sleep(0.004)

    for _ in range(9):
        await send()
    await asyncio.sleep(0.1)
    if lab2.TROUBLE:
        for machine in lab.machines[:5]:
            lab.record.write("killed", machine.name)
            machine.process.kill()
    await asyncio.sleep(6)
    print(
        lab.record.write(
            f"{len(denied)} of {len(statuses)} calls of servers were answered"
            f" 401, allowed {MAX_DENIED}; others:"
            f" {sorted(set(statuses) - {401}, key=str)}"
        )
    )
    return len(denied) > MAX_DENIED


def make_call(lab, machine, denied, statuses):
    """Returns the call that the runs of a machine's server make at their end."""

    async def call(request):
        request_id = f"{request.headers['x-request-id']}.1"
        answer = await machine.request(
            "GET", "/gauge/1", deadline_ms=1500, request_id=request_id
        )
        status = answer and answer.status
        statuses.append(status)
        if status == 401:
            denied.append(request_id)
        return status == 200

    return call


lab2.main(run, pathlib.Path(__file__).parent)
