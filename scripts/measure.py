#!/usr/bin/env python3
"""Compares late binding with two push baselines and measures its overhead per request.

Usage: measure.py [--only=NAME,...] [--seconds=N] [--out=FOLDER]
Names: load-0.7, load-1.0, load-1.5, load-3.0, burst, straggler, latency, throughput, memory.

The three strategies run concurrently, each with its own store, engines, agents and entries, so that
all of them see the same load on the machine. Capacity is measured first, with round robin at a
request rate above capacity. Results are printed and written as JSON to the folder. Not part of CI.
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
# Relative speed of each engine; the slowest has a quarter of the full speed.
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
    """Writes one pool, two organisations from one template, and one service per tier."""
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
    """Request mix in which the large organisation has three times the rate of the small one."""
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
    """Runs wigeonsill-load and returns its JSON report. Exit status 1 means wrong responses."""
    report_path = folder / "figures.json"
    process = subprocess.run(
        [
            str(BIN / "wigeonsill-load"),
            "--scenario=" + str(scenario),
            "--entries=" + ",".join(addresses),
            "--json=" + str(report_path),
            "--svg=" + str(folder / "goodput.svg"),
        ],
        capture_output=True,
        text=True,
        timeout=180,
    )
    if process.returncode not in (0, 1):
        raise RuntimeError("wigeonsill-load failed: " + process.stderr)
    result = json.loads(report_path.read_text())
    result["wrongAnswers"] = process.returncode == 1
    return result


class Fleet:
    """Engines with one agent each, and two entries that use one placement strategy."""

    def __init__(self, strategy, speeds=ENGINE_SPEEDS):
        self.cluster = Cluster().__enter__()
        # With late binding agents enforce their limits; for a baseline they forward every request.
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

    def run(self, phases, kinds, timed_action=None):
        scenario = self.cluster.folder / "scenario.json"
        write_scenario(scenario, phases, kinds)
        timer = None
        if timed_action is not None:
            timer = threading.Timer(timed_action[0], timed_action[1], [self])
            timer.start()
        report = run_load(
            self.cluster.folder, scenario, [entry.address() for entry in self.entries]
        )
        if timer is not None:
            timer.join()
        report["prefill"] = self.prefill_tokens()
        report["control"] = self.control_traffic()
        return report

    def prefill_tokens(self):
        """Prefill tokens of all engines; a block computed by several engines counts as repeated."""
        computed = 0
        cancelled = 0
        distinct_blocks = set()
        block_count = 0
        repeated = 0
        for engine in self.engines:
            counters = call(engine.address(), "GET", "/admin/load").json()
            computed += counters["promptTokensComputed"]
            cancelled += counters["promptTokensCancelled"]
            repeated += counters["promptTokensRepeated"]
            block_list = call(engine.address(), "GET", "/admin/blocks").json()
            distinct_blocks.update(block_list["blocks"])
            block_count += len(block_list["blocks"])
            tokens_per_block = block_list["blockTokens"]
        repeated += (block_count - len(distinct_blocks)) * tokens_per_block
        return {"computed": computed, "repeated": repeated, "cancelled": cancelled}

    def control_traffic(self):
        """Messages and bytes between entries and agents, without prompts and responses."""
        payload_kinds = {"bind", "answerHead", "answerBytes", "answerEnd"}
        message_count = 0
        byte_count = 0
        for entry in self.entries:
            for kinds in entry.state()["messages"].values():
                for kind, total in kinds.items():
                    if kind not in payload_kinds:
                        message_count += total["messages"]
                        byte_count += total["bytes"]
        return {"messages": message_count, "bytes": byte_count}


def run_all_strategies(name, phases, out, timed_action=None):
    """Runs the same arrivals through all strategies concurrently; writes plots to out."""
    results = {}

    def run_strategy(strategy):
        fleet = Fleet(strategy)
        try:
            results[strategy] = fleet.run(phases, request_kinds(), timed_action)
            plot = (fleet.cluster.folder / "goodput.svg").read_text()
            (out / ("%s-%s.svg" % (name, strategy))).write_text(plot)
        finally:
            fleet.close()

    threads = [threading.Thread(target=run_strategy, args=[strategy]) for strategy in STRATEGIES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def measure_capacity():
    """Responses per second with the queues of all engines full, regardless of latency."""
    fleet = Fleet("round-robin")
    try:
        phases = [phase("full", CALIBRATION_SECONDS, CALIBRATION_RATE)]
        report = fleet.run(phases, request_kinds(useful_factor=100))
    finally:
        fleet.close()
    responses_by_second = [0] * CALIBRATION_SECONDS
    for tier in report["tiers"].values():
        for second, count in enumerate(tier["inTimeBySecond"][:CALIBRATION_SECONDS]):
            responses_by_second[second] += count
    steady_counts = responses_by_second[CALIBRATION_SKIPPED_SECONDS:]
    return sum(steady_counts) / len(steady_counts)


def print_comparison(name, results):
    print("\n== %s" % name)
    for strategy in STRATEGIES:
        report = results.get(strategy)
        if report is None:
            print("%-13s not run" % strategy)
            continue
        tiers = report["tiers"]
        arrived = sum(tier["arrived"] for tier in tiers.values())
        goodput = {key: tier["goodputPerSecond"] for key, tier in tiers.items()}
        prefill_tokens = report["prefill"]
        wasted = prefill_tokens["repeated"] + prefill_tokens["cancelled"]
        high_tier = tiers["high"]
        print(
            "%-13s goodput/s high %5.1f normal %5.1f bulk %5.1f all %5.1f | high in time %5.1f%%"
            " | TTFT p95 high %5.0f worst tier %5.0f ms | wasted prefill tokens %7d of %7d"
            " | control per request %4.1f messages %5.0f bytes | wrong %s partial %d failed %d"
            % (
                strategy,
                goodput.get("high", 0),
                goodput.get("normal", 0),
                goodput.get("bulk", 0),
                sum(goodput.values()),
                100 * high_tier["inTime"] / max(1, high_tier["arrived"]),
                high_tier["firstTokenMs"]["p95"],
                max(tier["firstTokenMs"]["p95"] for tier in tiers.values()),
                wasted,
                prefill_tokens["computed"],
                report["control"]["messages"] / max(1, arrived),
                report["control"]["bytes"] / max(1, arrived),
                sum(tier["wrong"] for tier in tiers.values()),
                sum(tier["partial"] for tier in tiers.values()),
                sum(tier["failed"] for tier in tiers.values()),
            )
        )
    sys.stdout.flush()


def small_request_kinds(service="question"):
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


class SingleEnginePath:
    """One fast engine, one agent and one entry, for requests with one output token."""

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
        write_scenario(scenario, [phase("small", seconds, rate)], small_request_kinds(), settle_ms)
        return run_load(self.cluster.folder, scenario, [address])["tiers"]["high"]


def measure_latency():
    path = SingleEnginePath(tokenLimit=1000000, maximumRunning=1000)
    try:
        direct = path.run(path.engine.address(), 5, 100)
        through_entry = path.run(path.entry.address(), 5, 100)
    finally:
        path.close()
    result = {"direct": direct["totalMs"], "through": through_entry["totalMs"]}
    print("\n== latency of a small response at 100 requests/s")
    for quantile in ["p50", "p99"]:
        direct_ms, entry_ms = direct["totalMs"][quantile], through_entry["totalMs"][quantile]
        print("%s direct %.2f ms, through entry and agent %.2f ms, ratio %.2f"
              % (quantile, direct_ms, entry_ms, entry_ms / direct_ms))
    return result


def measure_throughput():
    print("\n== throughput of small responses through one entry and one agent")
    result = []
    for rate in [500, 1000, 2000, 4000]:
        path = SingleEnginePath(tokenLimit=100000000, maximumRunning=100000)
        try:
            before = [cpu_seconds(path.entry), cpu_seconds(path.agent)]
            report = path.run(path.entry.address(), 4, rate)
            after = [cpu_seconds(path.entry), cpu_seconds(path.agent)]
        finally:
            path.close()
        completed = max(1, report["inTime"])
        row = {
            "offered": rate,
            "answeredPerSecond": report["goodputPerSecond"],
            "entryCpuUs": (after[0] - before[0]) / completed * 1e6,
            "agentCpuUs": (after[1] - before[1]) / completed * 1e6,
            "p99Ms": report["totalMs"]["p99"],
            "refused": report["refused"],
            "failed": report["failed"],
            "unfinished": report["unfinished"],
        }
        result.append(row)
        print(
            "offered %5d/s completed %7.1f/s CPU/request entry %4.0f us agent %4.0f us p99 %.1f ms"
            " refused %d failed %d unfinished %d"
            % (rate, row["answeredPerSecond"], row["entryCpuUs"], row["agentCpuUs"], row["p99Ms"],
               row["refused"], row["failed"], row["unfinished"])
        )
    return result


def measure_memory():
    """Resident memory per waiting request, in an entry whose only engine has stalled."""
    request_count = 3000
    path = SingleEnginePath(tokenLimit=1000000, maximumRunning=1)
    try:
        path.cluster.fault(path.engine, stalled=True)
        before = memory_mb(path.entry)
        load_thread = threading.Thread(
            target=path.run, args=[path.entry.address(), request_count / 1500, 1500, 2000]
        )
        load_thread.start()
        time.sleep(request_count / 1500 + 0.3)
        waiting_count = path.entry.state()["waiting"]
        after = memory_mb(path.entry)
        load_thread.join()
    finally:
        path.close()
    kb_per_request = (after - before) * 1024 / max(1, waiting_count)
    print("\n== memory: %d waiting requests, %.1f KB each (RSS %.1f MB before, %.1f MB after)"
          % (waiting_count, kb_per_request, before, after))
    return {"waiting": waiting_count, "kilobytesEach": kb_per_request}


def slow_down_first_engine(fleet):
    """Slows down one of the two fastest engines by the factor STRAGGLER_SLOWDOWN."""
    fleet.cluster.fault(fleet.engines[0], slowdown=STRAGGLER_SLOWDOWN)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="comma-separated names of measurements")
    parser.add_argument("--seconds", type=float, default=12, help="duration of each load run")
    parser.add_argument("--out", default=str(ROOT / "build/measure"), help="folder for results")
    options = parser.parse_args()
    selected = set(filter(None, options.only.split(",")))
    folder = pathlib.Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    commit = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True
    ).stdout.strip()
    print("commit %s, %d cores, load average %.1f" % (commit, os.cpu_count(), os.getloadavg()[0]))
    results = {"commit": commit, "cores": os.cpu_count()}

    comparisons = ["load-0.7", "load-1.0", "load-1.5", "load-3.0", "burst", "straggler"]
    selected_comparisons = [name for name in comparisons if not selected or name in selected]
    if selected_comparisons:
        capacity = measure_capacity()
        results["capacity"] = capacity
        print("capacity %.1f requests/s" % capacity)
    for name in selected_comparisons:
        seconds = options.seconds
        timed_action = None
        phases = []
        if name == "burst":
            phase_seconds = seconds / 3
            phases = [
                phase("before", phase_seconds, 0.7 * capacity),
                phase("burst", phase_seconds, 3 * capacity),
                phase("after", phase_seconds, 0.7 * capacity),
            ]
        elif name == "straggler":
            phases = [phase("steady", seconds, 0.7 * capacity)]
            timed_action = (seconds / 2, slow_down_first_engine)
        else:
            phases = [phase("steady", seconds, float(name.split("-")[1]) * capacity)]
        results[name] = run_all_strategies(name, phases, folder, timed_action)
        print_comparison(name, results[name])

    parts = {"latency": measure_latency, "throughput": measure_throughput, "memory": measure_memory}
    for name, measure in parts.items():
        if not selected or name in selected:
            results[name] = measure()
    (folder / "measure.json").write_text(json.dumps(results, indent=1))
    print("\nresults written to %s" % (folder / "measure.json"))


if __name__ == "__main__":
    main()
