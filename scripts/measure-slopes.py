#!/usr/bin/env python3
"""Measures the CPU time of an entry and an agent per request and per streamed token.

Runs the load tool twice against one entry, one agent and one stand-in engine: first many responses
of one token without streaming, then fewer streams of 100 tokens each. The difference gives the slopes
of docs/CAPACITY.md.

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


def make_scenario(rate, tokens, stream, seconds):
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


def run_load(rate, tokens, stream, seconds):
    """Returns CPU seconds per request of entry and agent, the entry's memory in MB, and the request count."""
    with Cluster() as cluster:
        engine = cluster.standin("engine", role="engine", stepMs=5, stepMsPerSequence=0.01, maximumBatch=256)
        limits = {"tokenLimit": 1000000, "maximumRunning": 1000}
        agent = cluster.agent("agent-1", engine, "camp-language", limits=limits, log={"level": "warn"})
        entry = cluster.entry("entry-1", log={"level": "warn"})
        cluster.apply(ROOT / "examples/consortium")
        cluster.wait_ready(entry)
        scenario_path = cluster.folder / "scenario.json"
        scenario_path.write_text(json.dumps(make_scenario(rate, tokens, stream, seconds)))
        report_path = cluster.folder / "report.json"
        before = cpu_seconds(entry), cpu_seconds(agent)
        subprocess.run(
            [str(BIN / "wigeonsill-load"), "--scenario=" + str(scenario_path), "--entries=" + entry.address(),
             "--json=" + str(report_path)],
            check=True, stdout=subprocess.DEVNULL, timeout=120,
        )
        wait_until(lambda: not entry.state()["requests"], "the entry has no requests left")
        completed = sum(tier["inTime"] for tier in json.loads(report_path.read_text())["tiers"].values())
        return (
            (cpu_seconds(entry) - before[0]) / completed,
            (cpu_seconds(agent) - before[1]) / completed,
            memory_mb(entry),
            completed,
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    seconds = parser.parse_args().seconds
    single_token = run_load(200, 1, False, seconds)
    streamed = run_load(30, 100, True, seconds)
    print("responses of one token: %d, entry %.0f us, agent %.0f us each"
          % (single_token[3], single_token[0] * 1e6, single_token[1] * 1e6))
    print("streams of 100 tokens: %d, entry %.0f us, agent %.0f us each"
          % (streamed[3], streamed[0] * 1e6, streamed[1] * 1e6))
    print("per token: entry %.1f us, agent %.1f us"
          % ((streamed[0] - single_token[0]) * 1e4, (streamed[1] - single_token[1]) * 1e4))


if __name__ == "__main__":
    main()
