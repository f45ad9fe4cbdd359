"""A large job makes its stored progress longer than a record of the store: nothing is stored or started any more."""
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LARGE, OTHER, LATER = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9", "5c0e7a21d94b36fa"
COUNT = 10_000 if TROUBLE else 100
LARGE_SPEC = {"spec": '{"ms":[60000],"cpu":50}',
              "steps": [{"count": COUNT, "cpu": 50, "memMb": 128, "estRuntimeMs": 60_000}]}
# Its second step is due 25 s after its start, in another service, whose runners are idle by then.
OTHER_SPEC = {"spec": '{"ms":[25000,1000],"cpu":1000}',
              "steps": [{"count": 1, "cpu": 1000, "memMb": 256, "estRuntimeMs": 25_000},
                        {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000, "after": [0]}]}
QUEUES = {"holds": "venue-desk", "loans": "loan-desk"}


def done(system, step):
    return sum(1 for event in system.events() if event["what"] == "ended" and event["how"] == "done"
               and event["task"].startswith(f"{OTHER}.0.{step}."))


def run(system):
    if not system.begin(1, QUEUES):
        return 2
    if not (system.submit("loans", OTHER, OTHER_SPEC) and system.submit("holds", LARGE, LARGE_SPEC)):
        return 2
    if not system.wait_for(40, lambda: done(system, 0) == 1):
        return 2
    system.wait_for(20, lambda: done(system, 1) == 2)
    accepted = system.submit("loans", LATER, OTHER_SPEC)
    time.sleep(1)
    _, answer = system.call("edge-0", "GET", f"/loans/{OTHER}")
    starts = sum(1 for event in system.events() if event["what"] == "start")
    kept = done(system, 1) == 2 and answer.get("state") == "succeeded"
    system.log("verdict", kept=kept, state=answer.get("state"), ended_of_step_1=done(system, 1), starts=starts,
               later_job_accepted=accepted, largest_refused_record=system.store.largest_refused)
    return 0 if kept else 1


def main():
    system = fleet.Fleet(FOLDER, 3, {"venue-desk": 8, "loan-desk": 2}, millicores=64_000)
    try:
        sys.exit(run(system))
    finally:
        system.close()


main()
