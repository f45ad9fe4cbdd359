"""Nodes of two versions beside each other, as while nodes are restarted one by one: each restart of a node changes its
version. No task runs twice, and each accepted job is done: calls between nodes and stored records work in both directions.

Usage: mixed_versions_test.py [FIRST_SEED [SEEDS [SECONDS]]]. Needs two built camphormux-node, whose paths are in
CAMPHORMUX_NODE and CAMPHORMUX_OTHER_NODE.
"""
import itertools
import os
import random
import signal
import sys
import tempfile
import threading
import time

import restarted_hosts_test as restarted
from restarted_hosts_test import fleet

VERSIONS = (os.environ.get("CAMPHORMUX_NODE"), os.environ.get("CAMPHORMUX_OTHER_NODE"))
# The longest time for which a holder waits for a start in doubt, and the longest task after it.
DONE_S = 60.0


class MixedFleet(restarted.RestartingFleet):
    def __init__(self, folder, seed):
        super().__init__(folder, seed)
        self.versions = {name: itertools.cycle(VERSIONS if number % 2 else VERSIONS[::-1])
                         for number, name in enumerate(self.nodes)}

    def start_node(self, name):
        fleet.NODE = next(self.versions[name])
        self.log("version", node=name, program=fleet.NODE)
        super().start_node(name)


class RememberingClient(restarted.Client):
    def __init__(self, system):
        super().__init__(system)
        self.jobs = set()

    def submit(self, node, job):
        accepted = super().submit(node, job)
        if accepted:
            self.jobs.add(job)
        return accepted


def state_of(system, job):
    for node in system.nodes:
        status, answer = system.call(node, "GET", f"/{restarted.QUEUE}/{job}")
        if status == 200:
            return answer["state"]
    return "unknown"


def unfinished(system, jobs):
    """Returns the jobs that are not done in time."""
    until = time.monotonic() + DONE_S
    while jobs and time.monotonic() < until:
        jobs = {job for job in jobs if state_of(system, job) != "succeeded"}
        time.sleep(1.0)
    return jobs


def play(system, seconds):
    """Replaces nodes, one after the other, while hosts are restarted and cut off. Returns the accepted jobs."""
    stop = threading.Event()
    client = RememberingClient(system)
    chance = random.Random(f"{system.seed} versions")
    hosts = list(system.runners)[::restarted.GROUPS]
    threads = [threading.Thread(target=client.run, args=(stop,)),
               threading.Thread(target=restarted.disturb_hosts, args=(system, hosts, chance, stop))]
    for thread in threads:
        thread.start()
    end = time.monotonic() + seconds
    for node in itertools.cycle(system.nodes):
        if time.monotonic() > end:
            break
        stop.wait(chance.uniform(2.0, 5.0))
        system.restart_node(node, chance.choice([signal.SIGKILL, signal.SIGTERM]))
    stop.set()
    for thread in threads:
        thread.join()
    return client.jobs


def run_seed(seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        system = MixedFleet(folder, seed)
        try:
            if not system.begin(1, {restarted.QUEUE: restarted.SERVICE}):
                return [f"seed {seed}: no node became the holder"]
            jobs = play(system, seconds)
            left = unfinished(system, jobs)
        finally:
            system.close()
        runs = restarted.runs_of_tasks(system.events())
    broken = restarted.broken_rules(runs) + [f"not done: {job}" for job in sorted(left)]
    print(f"seed {seed}: {len(jobs)} jobs accepted, {sum(map(len, runs.values()))} runs, {len(broken)} broken", flush=True)
    return [f"seed {seed}: {text}" for text in broken or ([] if jobs else ["no job was accepted"])]


def main():
    first, seeds, seconds = (int(text) for text in (sys.argv[1:4] + ["1", "1", "40"][len(sys.argv) - 1:]))
    broken = [text for seed in range(first, first + seeds) for text in run_seed(seed, seconds)]
    print("\n".join(broken))
    known = restarted.known_failures()
    sys.exit(0 if all(any(kind in text for kind in known) for text in broken) else 1)


if __name__ == "__main__":
    main()
