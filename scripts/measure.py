#!/usr/bin/env python3
"""Measures the product against both push baselines, and what it adds to each request.

Usage: measure.py [--only=NAME,...] [--seconds=N] [--out=FOLDER]
Names: load-0.7, load-1.0, load-1.5, load-3.0, burst, straggler, latency, throughput, memory.

The three strategies run side by side, each with its own store, engines, agents and entries, so that
they meet the same machine at the same time. Capacity is measured first, by round robin with more
than enough requests. Figures go to standard output and as JSON to the folder. Not part of CI.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testsuite"))

from harness import BIN, ROOT, Cluster, call  # noqa: E402
from processfigures import cpu_seconds, memory_mb  # noqa: E402

STRATEGIES = ["late-binding", "least-load", "round-robin"]
# Relative speed of each engine; they differ fourfold.
ENGINE_SPEEDS = [1.0, 1.0, 0.5, 0.25]
STEP_MS = 6
STEP_MS_PER_SEQUENCE = 0.5
PREFILL_TOKENS_PER_SECOND = 32000
MAXIMUM_BATCH = 16
CACHE_TOKENS = 8192
LOAD_LAG_MS = 1000
SETTLE_MS = 11000
CALIBRATION_RATE = 250
CALIBRATION_SECONDS = 9
CALIBRATION_SKIPPED_SECONDS = 3
STRAGGLER_SLOWDOWN = 8

SERVICES = {
    "question": {
        "tier": "high", "deadlineMs": 2000, "usefulWithinMs": 4000, "share": 2, "output": [1, 30],
    },
    "assignment": {
        "tier": "normal", "deadlineMs": 3500, "usefulWithinMs": 6000, "share": 4, "output": [2, 80],
    },
    "summary": {
        "tier": "bulk", "deadlineMs": 6000, "usefulWithinMs": 10000, "share": 4,
        "output": [2, 200],
    },
}


def write_declarations(folder):
    """One pool, two organisations of one template, one service for each tier."""
    for name in ["templates", "organisations"]:
        (folder / name).mkdir(parents=True, exist_ok=True)
    pool = {"kind": "engine", "model": "m", "capacityTokensPerSecond": 100000}
    (folder / "deployment.json").write_text(json.dumps({"pools": {"language": pool}}))
    services = {
        name: {
            "tier": service["tier"],
            "pool": "language",
            "deadlineMs": service["deadlineMs"],
            "maximumOutputTokens": 512,
        }
        for name, service in SERVICES.items()
    }
    organisation = {
        "weight": "${share}",
        "weighting": "goodput",
        "preemption": "never",
        "services": services,
    }
    share = {"type": "number", "minimum": 1, "maximum": 100, "default": 1}
    template = {"template": "t", "parameters": {"share": share}, "organisation": organisation}
    (folder / "templates" / "t.json").write_text(json.dumps(template))
    for name in ["large", "small"]:
        organisation = {"organisation": name, "template": "t", "tokens": ["token-" + name]}
        (folder / "organisations" / (name + ".json")).write_text(json.dumps(organisation))


def request_kinds(useful_factor=1):
    """Both organisations ask for every service; the large one three times as often."""
    kinds = []
    for token, weight in [("token-large", 3), ("token-small", 1)]:
        for name, service in SERVICES.items():
            kinds.append(
                {
                    "name": name,
                    "service": name,
                    "token": token,
                    "tier": service["tier"],
                    "share": service["share"] * weight,
                    "usefulWithinMs": service["usefulWithinMs"] * useful_factor,
                    "promptTokens": {"minimum": 8, "maximum": 800},
                    "outputTokens": dict(zip(["minimum", "maximum"], service["output"])),
                    "sharedPrefix": {"count": 8, "tokens": 384},
                }
            )
    return kinds


def write_scenario(path, phases, kinds, settle_ms=SETTLE_MS):
    scenario = {"seed": 1, "settleMs": settle_ms, "phases": phases, "requests": kinds}
    path.write_text(json.dumps(scenario))


def phase(name, seconds, rate):
    return {"name": name, "milliseconds": int(seconds * 1000), "rate": rate}


def run_load(folder, scenario, addresses):
    """Runs wigeonsill-load and returns its figures."""
    figures = folder / "figures.json"
    done = subprocess.run(
        [
            str(BIN / "wigeonsill-load"),
            "--scenario=" + str(scenario),
            "--entries=" + ",".join(addresses),
            "--json=" + str(figures),
            "--svg=" + str(folder / "goodput.svg"),
        ],
        capture_output=True,
        text=True,
        timeout=180,
    )
    if done.returncode not in (0, 1):
        raise RuntimeError("wigeonsill-load: " + done.stderr)
    result = json.loads(figures.read_text())
    result["wrongAnswers"] = done.returncode == 1
    return result


class Fleet:
    """Engines, their agents, and two entries of one strategy."""

    def __init__(self, strategy, speeds=ENGINE_SPEEDS):
        self.cluster = Cluster().__enter__()
        # The product's agents keep their own limits; a baseline's pass everything on.
        limits = {}
        if strategy != "late-binding":
            limits = {"tokenLimit": 1000000000, "maximumRunning": 100000, "acceptPushed": True}
        self.engines = []
        for number, speed in enumerate(speeds):
            engine = self.cluster.standin(
                "engine-%d" % number,
                role="engine",
                stepMs=STEP_MS / speed,
                stepMsPerSequence=STEP_MS_PER_SEQUENCE / speed,
                prefillTokensPerSecond=PREFILL_TOKENS_PER_SECOND * speed,
                maximumBatch=MAXIMUM_BATCH,
                cacheTokens=CACHE_TOKENS,
            )
            self.cluster.fault(engine, loadLagMs=LOAD_LAG_MS)
            self.engines.append(engine)
            self.cluster.agent(
                "agent-%d" % number, engine, "language", limits=limits, log={"level": "warn"},
                targetSilenceMs=120000,
            )
        self.entries = [
            self.cluster.entry(
                "entry-%d" % number, limits={"placement": strategy}, log={"level": "warn"}
            )
            for number in range(2)
        ]
        declarations = self.cluster.folder / "declarations"
        write_declarations(declarations)
        self.cluster.apply(declarations)
        self.cluster.wait_ready(*self.entries, agents=len(speeds))

    def close(self):
        self.cluster.__exit__(None, None, None)

    def run(self, phases, kinds, during=None):
        scenario = self.cluster.folder / "scenario.json"
        write_scenario(scenario, phases, kinds)
        timer = None
        if during is not None:
            timer = threading.Timer(during[0], during[1], [self])
            timer.start()
        figures = run_load(
            self.cluster.folder, scenario, [entry.address() for entry in self.entries]
        )
        if timer is not None:
            timer.join()
        figures["prefill"] = self.prefill()
        figures["control"] = self.control()
        return figures

    def prefill(self):
        """Prompt work of the fleet; what two engines both computed counts as repeated."""
        computed = 0
        cancelled = 0
        distinct = set()
        listed = 0
        repeated = 0
        for engine in self.engines:
            counters = call(engine.address(), "GET", "/admin/load").json()
            computed += counters["promptTokensComputed"]
            cancelled += counters["promptTokensCancelled"]
            repeated += counters["promptTokensRepeated"]
            answer = call(engine.address(), "GET", "/admin/blocks").json()
            distinct.update(answer["blocks"])
            listed += len(answer["blocks"])
            block_tokens = answer["blockTokens"]
        repeated += (listed - len(distinct)) * block_tokens
        return {"computed": computed, "repeated": repeated, "cancelled": cancelled}

    def control(self):
        """Messages and bytes between entries and agents that carry no prompt and no answer."""
        payload = {"bind", "answerHead", "answerBytes", "answerEnd"}
        messages = 0
        size = 0
        for entry in self.entries:
            for kinds in entry.state()["messages"].values():
                for kind, total in kinds.items():
                    if kind not in payload:
                        messages += total["messages"]
                        size += total["bytes"]
        return {"messages": messages, "bytes": size}


def side_by_side(name, phases, out, during=None):
    """Runs the same arrivals through all strategies at once; plots go to the folder out."""
    results = {}

    def one(strategy):
        fleet = Fleet(strategy)
        try:
            results[strategy] = fleet.run(phases, request_kinds(), during)
            plot = (fleet.cluster.folder / "goodput.svg").read_text()
            (out / ("%s-%s.svg" % (name, strategy))).write_text(plot)
        finally:
            fleet.close()

    threads = [threading.Thread(target=one, args=[strategy]) for strategy in STRATEGIES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def measure_capacity():
    """Answers per second with every engine's queue full, whatever their age."""
    fleet = Fleet("round-robin")
    try:
        phases = [phase("full", CALIBRATION_SECONDS, CALIBRATION_RATE)]
        figures = fleet.run(phases, request_kinds(useful_factor=100))
    finally:
        fleet.close()
    by_second = [0] * CALIBRATION_SECONDS
    for tier in figures["tiers"].values():
        for second, count in enumerate(tier["inTimeBySecond"][:CALIBRATION_SECONDS]):
            by_second[second] += count
    counted = by_second[CALIBRATION_SKIPPED_SECONDS:]
    return sum(counted) / len(counted)


def print_comparison(name, results):
    print("\n== %s" % name)
    for strategy in STRATEGIES:
        figures = results.get(strategy)
        if figures is None:
            print("%-13s not run" % strategy)
            continue
        tiers = figures["tiers"]
        arrived = sum(tier["arrived"] for tier in tiers.values())
        goodput = {key: tier["goodputPerSecond"] for key, tier in tiers.items()}
        prefill = figures["prefill"]
        wasted = prefill["repeated"] + prefill["cancelled"]
        top = tiers["high"]
        print(
            "%-13s goodput/s high %5.1f normal %5.1f bulk %5.1f all %5.1f | high in time %5.1f%%"
            " | ttft p95 high %5.0f all-tiers-worst %5.0f ms | wasted prefill %7d of %7d"
            " | control per request %4.1f messages %5.0f bytes | wrong %s partial %d failed %d"
            % (
                strategy,
                goodput.get("high", 0),
                goodput.get("normal", 0),
                goodput.get("bulk", 0),
                sum(goodput.values()),
                100 * top["inTime"] / max(1, top["arrived"]),
                top["firstTokenMs"]["p95"],
                max(tier["firstTokenMs"]["p95"] for tier in tiers.values()),
                wasted,
                prefill["computed"],
                figures["control"]["messages"] / max(1, arrived),
                figures["control"]["bytes"] / max(1, arrived),
                sum(tier["wrong"] for tier in tiers.values()),
                sum(tier["partial"] for tier in tiers.values()),
                sum(tier["failed"] for tier in tiers.values()),
            )
        )
    sys.stdout.flush()


def small_kinds(service="question"):
    kind = request_kinds()[0]
    kind.update(
        {
            "service": service,
            "stream": False,
            "usefulWithinMs": 60000,
            "promptTokens": {"minimum": 8, "maximum": 8},
            "outputTokens": {"minimum": 1, "maximum": 1},
            "sharedPrefix": {"count": 0, "tokens": 0},
        }
    )
    return [kind]


class SmallPath:
    """One quick engine, one agent, one entry."""

    def __init__(self, **agent_limits):
        self.cluster = Cluster().__enter__()
        self.engine = self.cluster.standin(
            "engine", role="engine", stepMs=0.5, stepMsPerSequence=0.0, maximumBatch=4096,
            prefillTokensPerSecond=100000000,
        )
        self.agent = self.cluster.agent(
            "agent", self.engine, "language", limits=agent_limits, log={"level": "warn"},
            targetSilenceMs=120000,
        )
        self.entry = self.cluster.entry("entry", log={"level": "warn"})
        declarations = self.cluster.folder / "declarations"
        write_declarations(declarations)
        self.cluster.apply(declarations)
        self.cluster.wait_ready(self.entry)

    def close(self):
        self.cluster.__exit__(None, None, None)

    def run(self, address, seconds, rate, settle_ms=2000):
        scenario = self.cluster.folder / "scenario.json"
        write_scenario(scenario, [phase("small", seconds, rate)], small_kinds(), settle_ms)
        return run_load(self.cluster.folder, scenario, [address])["tiers"]["high"]


def measure_latency():
    path = SmallPath(tokenLimit=1000000, maximumRunning=1000)
    try:
        direct = path.run(path.engine.address(), 5, 100)
        through = path.run(path.entry.address(), 5, 100)
    finally:
        path.close()
    result = {"direct": direct["totalMs"], "through": through["totalMs"]}
    print("\n== latency of a small answer at 100 requests/s")
    for quantile in ["p50", "p99"]:
        one, two = direct["totalMs"][quantile], through["totalMs"][quantile]
        print("%s direct %.2f ms, through entry and agent %.2f ms, ratio %.2f"
              % (quantile, one, two, two / one))
    return result


def measure_throughput():
    print("\n== small answers through one entry and one agent")
    result = []
    for rate in [500, 1000, 2000, 4000]:
        path = SmallPath(tokenLimit=100000000, maximumRunning=100000)
        try:
            before = [cpu_seconds(path.entry), cpu_seconds(path.agent)]
            figures = path.run(path.entry.address(), 4, rate)
            after = [cpu_seconds(path.entry), cpu_seconds(path.agent)]
        finally:
            path.close()
        answered = max(1, figures["inTime"])
        row = {
            "offered": rate,
            "answeredPerSecond": figures["goodputPerSecond"],
            "entryCpuUs": (after[0] - before[0]) / answered * 1e6,
            "agentCpuUs": (after[1] - before[1]) / answered * 1e6,
            "p99Ms": figures["totalMs"]["p99"],
            "refused": figures["refused"],
            "failed": figures["failed"],
            "unfinished": figures["unfinished"],
        }
        result.append(row)
        print(
            "offered %5d/s answered %7.1f/s entry %4.0f us agent %4.0f us CPU/request p99 %.1f ms"
            " refused %d failed %d unfinished %d"
            % (rate, row["answeredPerSecond"], row["entryCpuUs"], row["agentCpuUs"], row["p99Ms"],
               row["refused"], row["failed"], row["unfinished"])
        )
    return result


def measure_memory():
    """Resident memory of an entry whose only engine has stalled."""
    waiting = 3000
    path = SmallPath(tokenLimit=1000000, maximumRunning=1)
    try:
        path.cluster.fault(path.engine, stalled=True)
        before = memory_mb(path.entry)
        runner = threading.Thread(
            target=path.run, args=[path.entry.address(), waiting / 1500, 1500, 2000]
        )
        runner.start()
        time.sleep(waiting / 1500 + 0.3)
        held = path.entry.state()["waiting"]
        after = memory_mb(path.entry)
        runner.join()
    finally:
        path.close()
    each_kb = (after - before) * 1024 / max(1, held)
    print("\n== memory: %d waiting requests, %.1f KB each (RSS %.1f MB before, %.1f MB after)"
          % (held, each_kb, before, after))
    return {"waiting": held, "kilobytesEach": each_kb}


def slow_one(fleet):
    """One of the two fastest engines slows down eightfold."""
    fleet.cluster.fault(fleet.engines[0], slowdown=STRAGGLER_SLOWDOWN)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="comma-separated names of parts")
    parser.add_argument("--seconds", type=float, default=12, help="length of each load run")
    parser.add_argument("--out", default=str(ROOT / "build/measure"), help="folder for JSON")
    options = parser.parse_args()
    wanted = set(filter(None, options.only.split(",")))
    folder = pathlib.Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    commit = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    print("commit %s, %d cores, load average %.1f" % (commit, os.cpu_count(), os.getloadavg()[0]))
    results = {"commit": commit, "cores": os.cpu_count()}

    comparisons = ["load-0.7", "load-1.0", "load-1.5", "load-3.0", "burst", "straggler"]
    chosen = [name for name in comparisons if not wanted or name in wanted]
    if chosen:
        capacity = measure_capacity()
        results["capacity"] = capacity
        print("capacity %.1f requests/s" % capacity)
    for name in chosen:
        seconds = options.seconds
        during = None
        phases = []
        if name == "burst":
            third = seconds / 3
            phases = [
                phase("before", third, 0.7 * capacity),
                phase("burst", third, 3 * capacity),
                phase("after", third, 0.7 * capacity),
            ]
        elif name == "straggler":
            phases = [phase("steady", seconds, 0.7 * capacity)]
            during = (seconds / 2, slow_one)
        else:
            phases = [phase("steady", seconds, float(name.split("-")[1]) * capacity)]
        results[name] = side_by_side(name, phases, folder, during)
        print_comparison(name, results[name])

    parts = {"latency": measure_latency, "throughput": measure_throughput, "memory": measure_memory}
    for name, part in parts.items():
        if not wanted or name in wanted:
            results[name] = part()
    (folder / "measure.json").write_text(json.dumps(results, indent=1))
    print("\nfigures in %s" % (folder / "measure.json"))


if __name__ == "__main__":
    main()
