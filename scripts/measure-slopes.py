#!/usr/bin/env python3
"""Measures processor time of an entry and an agent for each request and for each streamed token.

Two runs of the load tool against one entry, one agent and one stand-in engine: many small whole
answers, and fewer streams of 100 tokens each. The difference gives the slopes of docs/CAPACITY.md.

Usage: scripts/measure-slopes.py [--seconds N]
"""

import argparse
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))
sys.path.insert(0, str(ROOT / "scripts"))

from harness import BIN, Cluster, wait_until  # noqa: E402
from processfigures import cpu_seconds, memory_mb  # noqa: E402


def scenario(rate, tokens, stream, seconds):
    return {
        "seed": 1,
        "settleMs": 5000,
        "phases": [{"name": "steady", "milliseconds": int(seconds * 1000), "rate": rate}],
        "requests": [
            {
                "name": "question",
                "service": "answer-leader",
                "token": "token-ganga",
                "tier": "high",
                "share": 1,
                "stream": stream,
                "usefulWithinMs": 10000,
                "promptTokens": {"minimum": 50, "maximum": 51},
                "outputTokens": {"minimum": tokens, "maximum": tokens},
            }
        ],
    }


def run(rate, tokens, stream, seconds):
    """Processor seconds of entry and agent for each request, and the entry's memory in MB."""
    with Cluster() as cluster:
        engine = cluster.standin("engine", role="engine", stepMs=5, stepMsPerSequence=0.01, maximumBatch=256)
        limits = {"tokenLimit": 1000000, "maximumRunning": 1000}
        agent = cluster.agent("agent-1", engine, "camp-language", limits=limits, log={"level": "warn"})
        entry = cluster.entry("entry-1", log={"level": "warn"})
        cluster.apply(ROOT / "examples/consortium")
        cluster.wait_ready(entry)
        file = cluster.folder / "scenario.json"
        file.write_text(json.dumps(scenario(rate, tokens, stream, seconds)))
        report = cluster.folder / "report.json"
        before = cpu_seconds(entry), cpu_seconds(agent)
        subprocess.run(
            [str(BIN / "wigeonsill-load"), "--scenario=" + str(file), "--entries=" + entry.address(),
             "--json=" + str(report)],
            check=True, stdout=subprocess.DEVNULL, timeout=120,
        )
        wait_until(lambda: not entry.state()["requests"], "all requests have ended")
        done = sum(tier["inTime"] for tier in json.loads(report.read_text())["tiers"].values())
        return (
            (cpu_seconds(entry) - before[0]) / done,
            (cpu_seconds(agent) - before[1]) / done,
            memory_mb(entry),
            done,
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    seconds = parser.parse_args().seconds
    small = run(200, 1, False, seconds)
    long = run(30, 100, True, seconds)
    print("small answers: %d, entry %.0f us, agent %.0f us each" % (small[3], small[0] * 1e6, small[1] * 1e6))
    print("100 streamed tokens: %d, entry %.0f us, agent %.0f us each" % (long[3], long[0] * 1e6, long[1] * 1e6))
    print("each token: entry %.1f us, agent %.1f us" % ((long[0] - small[0]) * 1e4, (long[1] - small[1]) * 1e4))


if __name__ == "__main__":
    main()
