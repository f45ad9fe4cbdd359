"""Nodes are stopped and started in turn while jobs are cancelled; runners that don't guard their capacity must not be overloaded."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin-2"))

import world as stand  # noqa: E402

PREFIX = "/holds/"
RUNNERS = 3
RUNNER_CPU = 8000
# `stopTimeoutMs` of the Brushwick deployment is 900.
STOP_S = 0.85
TASKS = 4
SUBMIT_GAP_S = 0.15
# `give_up`: the largest share in the site files, with x = 900 ms.
CANCELLED_SHARE = 0.4
RESTARTS = 9
RESTART_GAP_S = 4.0


async def case(disturbed, folder, worlds):
    rng = random.Random(5)
    world = stand.World(folder)
    worlds.append(world)
    for number in range(1, RUNNERS + 1):
        runner = world.runner(f"i-{number}", "venue-desk", RUNNER_CPU, 65536, ("a", f"r{number}"))
        runner.guards = False
        runner.stop_s = STOP_S
        world.cloud.add(f"m-{number}", runner)
    await world.start(stand.config(1, [stand.route("r-holds", PREFIX, "venue-desk")],
                                   [stand.service("venue-desk", guards=False)]))
    if not await world.ready():
        return None
    body = {"spec": '{"ms": 1500, "cpu": 1000, "memMb": 100}',
            "steps": [{"count": TASKS, "cpu": 1000, "memMb": 100, "estRuntimeMs": 1500}]}

    async def hand_in(job):
        number = rng.randint(1, world.node_count)
        status, _ = await world.call(number, "POST", PREFIX + job, body)
        world.record.add("post", job=job, node=number, status=status)

    async def submit():
        for number in range(10_000):
            stand.spawn(hand_in(f"{rng.getrandbits(64):016x}"))
            await asyncio.sleep(SUBMIT_GAP_S)

    async def cancel():
        left = set()
        while True:
            await asyncio.sleep(0.05)
            running = {name.split(".")[0] for runner in world.runners.values() for name in runner.runs}
            for job in sorted(running - left):
                left.add(job)
                if int(job, 16) % 100 < 100 * CANCELLED_SHARE:
                    stand.spawn(cancel_job(job))

    async def cancel_job(job):
        await asyncio.sleep(rng.uniform(0.1, 0.9))
        number = rng.randint(1, world.node_count)
        status, _ = await world.call(number, "DELETE", PREFIX + job)
        world.record.add("delete", job=job, node=number, status=status)

    clients = [stand.spawn(submit()), stand.spawn(cancel())]
    await asyncio.sleep(6)
    for _ in range(RESTARTS):
        if disturbed:
            # `roll_term`, how = "leader".
            number = world.holder() or 1
            await world.signal_node(number, signal.SIGTERM)
            await world.start_node(number)
        await asyncio.sleep(RESTART_GAP_S)
    for client in clients:
        client.cancel()
    if not world.record.all("start"):
        return None
    broken = [f"LIMIT: the start of {row['task']} brought {row['runner']}, which doesn't guard its capacity, to {row['cpu']} of "
              f"{row['capacity']} thousandths of a core, with {row['stopping']} tasks that were being stopped"
              for row in world.record.all("over")]
    for line in broken:
        world.record.add("broken", rule=line)
    return broken


stand.main(case, pathlib.Path(__file__).resolve().parent)
