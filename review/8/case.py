"""A worker leaves while the store answers 503; then all processes are killed."""

import asyncio
import pathlib
import time

import lab2

DRAIN_S = 2.5
STABILITY_WINDOW_S = 3.0
# The worker serves for this long after the ack of its leaving, then it exits.
SERVES_ON_S = 6.5
# Time on its way of the check-in that the worker sent before it left.
CHECK_IN_DELAY_S = 5.6
KILL_AFTER_S = 0.5
STORE_BACK_AFTER_KILL_S = 0.2


async def run(lab):
    lab.store.put(
        "config",
        "main",
        lab2.make_config(7, [("order", "unsafe", "/order/", "desk", 1.5)]),
    )
    for number in range(5):
        machine = lab.add(
            f"m{number}",
            "desk" if number < 4 else "press",
            zone=f"z-{'ab'[number % 2]}",
        )
        await lab.add_server(machine, slots=12, work_s=0.8)
        machine.start_node()
    await lab.wait_ready()
    await asyncio.sleep(5)
    leaver = lab.machines[0].backend
    sent = {}
    answers = {}

    async def send(machine):
        request_id = lab2.make_id()
        sent[request_id] = time.monotonic()
        answer = await machine.request(
            "POST", "/order/1", b"die 7", request_id=request_id
        )
        answers[request_id] = answer and answer.status

    async def load():
        while True:
            for machine in lab.machines:
                asyncio.create_task(send(machine))
            await asyncio.sleep(0.1)

    sender = asyncio.create_task(load())
    await asyncio.sleep(2)
    if lab2.TROUBLE:
        lab.store.faults.down = True
        lab.record.write("the store answers 503")
        await asyncio.sleep(0.3)
    leaver.beats = False
    late_check_in = leaver.make_beat()
    check_in_sent_at = time.monotonic()
    lab.record.write("check-in", leaver.sequence, "sent, arrives late")
    await asyncio.sleep(0.2)
    status = await leaver.deregister()
    if status != 200:
        raise RuntimeError(f"no ack for deregister: {status}")
    acked_at = calm_at = time.monotonic()
    lab.record.write("ack:", leaver.instance, "is gone")
    if lab2.TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        for machine in lab.machines:
            machine.process.kill()
        lab.record.write("killed all processes")
        await asyncio.sleep(STORE_BACK_AFTER_KILL_S)
        lab.store.faults.down = False
        lab.record.write("the store answers again")
        await asyncio.sleep(lab2.RESTART_DELAY_S)
        await lab.wait_ready()
        # Later than the end of the outage and the start of the processes.
        calm_at = time.monotonic()
    await asyncio.sleep(check_in_sent_at + CHECK_IN_DELAY_S - time.monotonic())
    status = await leaver.tell("instances.heartbeat", late_check_in)
    lab.record.write("the late check-in arrives:", status)
    await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
    leaver.stop()
    lab.record.write(leaver.instance, "exits")
    sender.cancel()
    await asyncio.sleep(3.5)
    in_touch_at = calm_at + (STABILITY_WINDOW_S if lab2.TROUBLE else 0.0)
    late = [
        request_id
        for at, request_id in leaver.runs
        if at > acked_at + DRAIN_S and sent[request_id] > in_touch_at
    ]
    lost = [r for r in late if answers.get(r) != 200]
    print(
        lab.record.write(
            f"{len(late)} orders, sent by machines in touch, reached the worker"
            f" later than {DRAIN_S} s after the ack; {len(lost)} of them had no"
            " success"
        )
    )
    return bool(late)


lab2.main(run, pathlib.Path(__file__).parent)
