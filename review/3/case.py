"""An upkeep reserves all runners of a service whose lasting tasks cannot leave: nothing is started there any more."""
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LASTING_A, LASTING_B, SHORT = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa"
# One task on each of the three runners of its service, with a quarter of the runner's cores.
LASTING = {"spec": '{"ms":[3600000],"cpu":4000}',
           "steps": [{"count": 3, "cpu": 4000, "memMb": 256, "longRunning": True, "antiAffinity": 1, "mayMiss": 1}]}
SHORT_SPEC = {"spec": '{"ms":[1000],"cpu":1000}', "steps": [{"count": 2, "cpu": 1000, "memMb": 256,
                                                             "estRuntimeMs": 1000}]}


def started(system, job):
    return len({event["task"] for event in system.events() if event["what"] == "start" and job in event["task"]})


def run(system):
    if not system.begin(1, {"audits": "freight-desk", "holds": "freight-desk", "ledgers": "gate-desk"}):
        return 2
    if not (system.submit("audits", LASTING_A, LASTING) and system.submit("ledgers", LASTING_B, LASTING)):
        return 2
    if not system.wait_for(25, lambda: started(system, LASTING_A) == 3 and started(system, LASTING_B) == 3):
        return 2
    time.sleep(4)
    if TROUBLE:
        machines = ["m-" + name for name, (service, _) in system.runners.items() if service == "freight-desk"]
        wave = {"wave": 1, "machines": machines, "deadlineS": 26, "cap": 1}
        system.store.put("keyed.op", "wave/1", json.dumps(wave).encode())
        system.log("wave", **wave)
        time.sleep(3)
    if not system.submit("holds", SHORT, SHORT_SPEC):
        return 2
    system.wait_for(40, lambda: started(system, SHORT) == 2)
    time.sleep(3)
    _, answer = system.call("edge-0", "GET", f"/holds/{SHORT}")
    kept = answer.get("state") == "succeeded"
    status = {key: json.loads(value) for key, value in system.store.entries("keyed.status").items()}
    system.log("verdict", kept=kept, state=answer.get("state"), starts=started(system, SHORT), waves=status)
    return 0 if kept else 1


def main():
    system = fleet.Fleet(FOLDER, 3, {"freight-desk": 3, "gate-desk": 3})
    try:
        sys.exit(run(system))
    finally:
        system.close()


main()
