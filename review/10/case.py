"""A runner crashes and starts again under its id as another kind; starts that were meant for its earlier life are repeated."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin-2"))

import world as stand  # noqa: E402

PREFIX = "/holds/"
LABEL = "b"
JOBS = 45
GAP_S = 0.1
CRASHES_AFTER = (14, 24, 34)
RUNNERS = 7
DOWN_S = 1.0


async def case(disturbed, folder, worlds):
    world = stand.World(folder)
    worlds.append(world)
    for number in range(1, RUNNERS + 1):
        kind = "a" if number == RUNNERS else LABEL
        world.cloud.add(f"m-{number}", world.runner(f"i-{number}", "venue-desk", labels=(kind, f"r{number}")))
    await world.start(stand.config(1, [stand.route("r-holds", PREFIX, "venue-desk")], [stand.service("venue-desk")]))
    if not await world.ready():
        return None
    await asyncio.sleep(3)
    body = {"spec": '{"ms": 8000, "cpu": 400, "memMb": 256}',
            "steps": [{"count": 2, "cpu": 400, "memMb": 256, "estRuntimeMs": 8000, "requiredLabel": LABEL}]}

    async def restart():
        runner = world.runners[world.record.all("start")[-1]["runner"]]
        port = int(runner.http.address.rsplit(":", 1)[1])
        await runner.crash()
        await asyncio.sleep(DOWN_S)
        runner.labels[0] = "a"
        await runner.start(port)

    for number in range(JOBS):
        job = f"{0x5C0E7A21D94B3600 + number:016x}"
        if not await world.submit(PREFIX, job, body):
            return None
        await asyncio.sleep(GAP_S)
        if disturbed and number in CRASHES_AFTER:
            await restart()
    await asyncio.sleep(15)
    starts = world.record.all("start")
    if not starts:
        return None
    broken = [f"ROUTE: {row['task']} run {row['attempt']}, which requires {LABEL}, was started on {row['runner']} "
              f"(born {row['born']}), which has the labels {row['labels']}"
              for row in starts if LABEL not in row["labels"].split(",")]
    for line in broken:
        world.record.add("broken", rule=line)
    return broken


stand.main(case, pathlib.Path(__file__).resolve().parent)
