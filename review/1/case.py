"""A queue is removed while its last job runs, and the holder is restarted: the job is never continued."""
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB, OTHER = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
SPEC = {"spec": '{"ms":[6000,1000],"cpu":1000}',
        "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 6000},
                  {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000, "after": [0]}]}
QUEUES = {"loans": "loan-desk", "holds": "loan-desk"}


def ends(system, job, step):
    return sum(1 for event in system.events() if event["what"] == "ended" and event["how"] == "done"
               and event["task"].startswith(f"{job}.0.{step}."))


def run(system):
    if not system.begin(1, QUEUES):
        return 2
    if not (system.submit("loans", JOB, SPEC) and system.submit("holds", OTHER, SPEC)):
        return 2
    begun = system.wait_for(10, lambda: sum(1 for e in system.events() if e["what"] == "start") == 4)
    if not begun:
        return 2
    if TROUBLE:
        system.configure(2, {"holds": "loan-desk"})
        time.sleep(2.5)
        name = system.holder()
        system.signal(name, signal.SIGTERM)
        system.processes[name].wait(timeout=10)
        system.start_node(name)
    # Step 0 ends 6 s after its start. Then the turn of step 1 has come, and all four runners are idle.
    if not system.wait_for(20, lambda: ends(system, OTHER, 1) == 2):
        return 2
    system.wait_for(25, lambda: ends(system, JOB, 1) == 2)
    if TROUBLE:
        system.configure(3, QUEUES)
        time.sleep(6)
    for node in system.nodes:
        system.call(node, "GET", f"/loans/{JOB}")
    status, answer = system.call("edge-0", "GET", f"/loans/{JOB}")
    kept = ends(system, JOB, 0) == 2 and ends(system, JOB, 1) == 2 and answer.get("state") == "succeeded"
    system.log("verdict", kept=kept, state=answer.get("state"), status=status,
               ended_of_step_0=ends(system, JOB, 0), ended_of_step_1=ends(system, JOB, 1))
    return 0 if kept else 1


def main():
    system = fleet.Fleet(FOLDER, 3, {"loan-desk": 4})
    try:
        sys.exit(run(system))
    finally:
        system.close()


main()
