"""An upkeep that the killed holder ordered is reported as done to its successor, which then gives up the machine's new runner."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin-2"))

import world as stand  # noqa: E402

PREFIX = "/holds/"
MACHINES = 6
OF_KIND_B = (5, 6)
CAP = 2
# Calls to the platform are carried out, but their answers are lost for this long.
NO_ANSWER_S = 4.0
# RULES.md, LOST: jobs are asked for finish_s after the traffic; nothing runs for 3 s then.
FINISH_S = 14.0
WATCH_S = 3.0
JOB = "5c0e7a21d94b36f8"


async def case(disturbed, folder, worlds):
    world = stand.World(folder)
    worlds.append(world)
    for number in range(1, MACHINES + 1):
        kind = "b" if number in OF_KIND_B else "a"
        world.cloud.add(f"m-{number}", world.runner(f"i-{number}", "venue-desk", labels=(kind, f"r{number}")))
    await world.start(stand.config(1, [stand.route("r-holds", PREFIX, "venue-desk")], [stand.service("venue-desk")]))
    if not await world.ready():
        return None
    await asyncio.sleep(3)
    wave = {"wave": 1, "machines": [f"m-{number}" for number in OF_KIND_B], "deadlineS": 40, "cap": CAP}
    world.waves[1] = wave
    if disturbed:
        world.cloud.silent_for(NO_ANSWER_S)
    await world.store.write("keyed.op", "wave/1", wave)
    if not await world.wait_for(10, lambda: len(world.record.all("upkeep")) == len(OF_KIND_B)):
        return None
    if disturbed:
        await asyncio.sleep(1.0)
        holder = world.holder()
        await world.signal_node(holder, signal.SIGKILL)
        await asyncio.sleep(0.5)
        await world.start_node(holder)
    if not await world.wait_for(40, lambda: (world.store.status("wave/1") or {}).get("state") == "succeeded"):
        return None
    await asyncio.sleep(3)
    body = {"spec": '{"ms": 500, "cpu": 1000, "memMb": 256}',
            "steps": [{"count": 1, "cpu": 1000, "memMb": 256, "estRuntimeMs": 500, "requiredLabel": "b"}]}
    if not await world.submit(PREFIX, JOB, body):
        return None
    await asyncio.sleep(FINISH_S + WATCH_S)
    _, state = await world.call(1, "GET", PREFIX + JOB)
    world.record.add("state", job=JOB, answer=state)
    starts = world.record.all("start")
    sound = [runner for runner in world.runners.values() if runner.up and "b" in runner.labels and not runner.runs]
    if starts or len(sound) < 2:
        return []
    line = (f"LOST: job {JOB} is {state} and none of its tasks has started {FINISH_S + WATCH_S:.0f} s after it was accepted, "
            f"while {len(sound)} sound runners with its label are idle: {', '.join(runner.id for runner in sound)}")
    world.record.add("broken", rule=line)
    return [line]


stand.main(case, pathlib.Path(__file__).resolve().parent)
