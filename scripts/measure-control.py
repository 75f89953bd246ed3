#!/usr/bin/env python3
"""Measures the idle cost of the control connections: CPU time and memory of one entry by its number of
agents, and of one agent by its number of entries. Prints a table and the slopes.

Usage: scripts/measure-control.py [--seconds N] [--peers 1,20,60]
Needs a release build. Runs at most 62 small processes on loopback at a time.
"""

import argparse
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))
sys.path.insert(0, str(ROOT / "scripts"))

from harness import Cluster  # noqa: E402
from processfigures import cpu_seconds, memory_mb  # noqa: E402


def measure_process(process, seconds):
    """Returns the CPU use in percent of one core and the resident memory in MB."""
    before = cpu_seconds(process)
    start = time.monotonic()
    time.sleep(seconds)
    used = cpu_seconds(process) - before
    return 100 * used / (time.monotonic() - start), memory_mb(process)


# Starts the processes without requests and measures one entry and one agent.
def measure_idle(entry_count, agent_count, seconds):
    with Cluster() as cluster:
        engine = cluster.standin("engine", role="engine")
        agent_processes = [
            cluster.agent("agent-%d" % i, engine, "camp-language", log={"level": "warn"}) for i in range(agent_count)
        ]
        entry_processes = [cluster.entry("entry-%d" % i, limits={"agentsPerPool": 1000}, log={"level": "warn"})
            for i in range(entry_count)]
        cluster.apply(ROOT / "examples/consortium")
        cluster.wait_ready(*entry_processes, agents=agent_count)
        time.sleep(2)
        return measure_process(entry_processes[0], seconds), measure_process(agent_processes[0], seconds)


def slope(points):
    """Least-squares slope of (count, value) pairs."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--peers", default="1,20,60")
    arguments = parser.parse_args()
    peers = [int(text) for text in arguments.peers.split(",")]
    print("role   peers  core %  MB")
    for role in ("entry", "agent"):
        cpu, memory = [], []
        for count in peers:
            counts = (1, count) if role == "entry" else (count, 1)
            entry, agent = measure_idle(*counts, arguments.seconds)
            percent, megabytes = entry if role == "entry" else agent
            cpu.append((count, percent))
            memory.append((count, megabytes))
            print("%-6s %5d  %6.3f  %.1f" % (role, count, percent, megabytes))
        print("%-6s slope  %6.4f %% of a core and %.4f MB per peer" % (role, slope(cpu), slope(memory)))


if __name__ == "__main__":
    main()
