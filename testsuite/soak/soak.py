#!/usr/bin/env python3
"""Runs real processes under random faults and checks what callers and engines see.

The seed alone determines the faults and their times (see --plan). What they meet at that moment also
depends on the machine, so a run with the same seed plays the same faults, not the same run.
"""

import argparse
import collections
import pathlib
import shutil
import sys
import tempfile
import threading
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parent), str(pathlib.Path(__file__).resolve().parent.parent)]

from callers import start_callers  # noqa: E402
from deployment import DRAIN_S, GRACE_S, RECOVERY_S, SHUTDOWN_S, Deployment  # noqa: E402
from plan import GROUPS, make_plan  # noqa: E402
from promises import Promises  # noqa: E402

WARM_UP_S = 2.0
MEASURE_S = 3.0  # at the end, for the promise of recovery
SHORTEST_FAULTS_S = 5.0
REQUESTS_PER_S = 150  # at most, of all callers together
LINES_PER_REQUEST = 12
FINDINGS_PER_PROMISE = 3  # that the report shows in full


def count_subjects(size):
    entries = max(2, size // 3)
    callers = 8 * entries
    return {
        "engine": size, "agent": size, "entry": entries, "plain": max(2, size // 3), "caller": callers,
        "pause_s": max(0.1, callers / REQUESTS_PER_S)}


def strike_safely(deployment, fault):
    try:
        deployment.strike(fault)
    except Exception as error:  # reported as a failure of the soak itself
        deployment.broken.append(("SOAK", fault.subject, "%s failed: %r" % (fault, error)))


def play(deployment, counts, plan, end_s):
    """Plays the timetable and returns what callers saw, and when the last fault ended."""
    attempts = []
    callers = start_callers(deployment, counts, attempts)
    start = time.monotonic()
    strikes = []
    for fault in plan:
        time.sleep(max(0.0, start + WARM_UP_S + fault.at_s - time.monotonic()))
        strikes.append(threading.Thread(target=strike_safely, args=(deployment, fault), daemon=True))
        strikes[-1].start()
    for strike in strikes:
        strike.join(GRACE_S + DRAIN_S + SHUTDOWN_S + 30)
    recovered_at = time.monotonic()
    time.sleep(max(RECOVERY_S + MEASURE_S, start + end_s - time.monotonic()))
    deployment.stopping.set()
    for caller in callers:
        caller.join(10)
    return attempts, recovered_at


def lines_about(deployment, request):
    """Returns the log lines of all processes that name the request or subject."""
    lines = []
    for log in sorted(deployment.folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            if '"%s"' % request in line:
                lines.append("%s: %s" % (log.stem, line))
    return lines[:LINES_PER_REQUEST]


def write_trace(deployment, attempts):
    """Writes what callers and engines saw beside the logs of the processes."""
    with (deployment.folder / "callers.txt").open("w") as trace:
        for attempt in attempts:
            trace.write("%s\n" % vars(attempt))
    with (deployment.folder / "engines.txt").open("w") as trace:
        for record in [*map(vars, deployment.journal.runs), *deployment.journal.arrivals, *deployment.journal.drains,
                       *deployment.disturbances.spans]:
            trace.write("%s\n" % (record,))


def describe(deployment, attempts, findings, seconds):
    outcomes = collections.Counter(
        attempt.status if attempt.complete else "cut" if attempt.status else "none" for attempt in attempts)
    lines = ["%d requests in %.0f s, answers: %s" % (
        len(attempts), seconds, ", ".join("%s %d" % pair for pair in sorted(outcomes.items(), key=str)))]
    behind = [what for subject, what, _, _ in deployment.disturbances.spans if subject == "harness"]
    lines.append("%d runs at engines; the harness fell behind %d times %s" % (
        len(deployment.journal.runs), len(behind), behind[:3]))
    by_id = {attempt.id: attempt for attempt in attempts}
    by_promise = collections.Counter()
    for finding in findings:
        by_promise[finding.promise] += 1
        if by_promise[finding.promise] > FINDINGS_PER_PROMISE:
            continue
        lines.append("BROKEN %s, request %s: %s" % finding)
        attempt = by_id.get(finding.request)
        if attempt is not None and attempt.sent_at is not None:
            lines.append("  %s %s at %s, status %s, complete %s, %s, %d bytes, took %.2f s" % (
                attempt.kind, attempt.target, attempt.incarnation or attempt.entry, attempt.status, attempt.complete,
                attempt.trouble, len(attempt.body), attempt.ended_at - attempt.sent_at))
        lines += ["  " + line for line in lines_about(deployment, finding.request)]
    if findings:
        lines.append("broken: " + ", ".join("%s %d" % pair for pair in sorted(by_promise.items())))
    return lines


def run_seed(seed, minutes, size, folder, groups=GROUPS):
    """Plays one seed and returns the lines of its report and the findings."""
    counts = count_subjects(size)
    end_s = 60 * minutes
    faults_s = max(SHORTEST_FAULTS_S, end_s - WARM_UP_S - RECOVERY_S - MEASURE_S)
    plan = make_plan(seed, faults_s, counts, groups)
    lines = ["soak --seed %d --minutes %g --size %d: %d faults in %.0f s, %d processes" % (
        seed, minutes, size, len(plan), faults_s, counts["entry"] + counts["agent"])]
    start = time.monotonic()
    with Deployment(folder, seed, counts) as deployment:
        attempts, recovered_at = play(deployment, counts, plan, end_s)
        seconds = time.monotonic() - start
    findings = Promises(deployment, attempts, recovered_at).check()
    if findings:
        write_trace(deployment, attempts)
    lines += describe(deployment, attempts, findings, seconds)
    lines.append("%s: %d promises broken" % ("FAILED" if findings else "passed", len(findings)))
    return lines, findings


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--minutes", type=float, default=0.5, help="of each seed")
    parser.add_argument("--size", type=int, default=6, help="engines with agents; a third as many entries")
    parser.add_argument("--groups", default=",".join(GROUPS), help="of faults, separated by commas: " + ", ".join(GROUPS))
    parser.add_argument("--plan", action="store_true", help="prints the faults and ends")
    parser.add_argument("--report", type=pathlib.Path, help="file to which the report is appended")
    parser.add_argument("--logs", type=pathlib.Path, help="folder in which the logs of a failed seed are kept")
    parser.add_argument("--regression", action="store_true", help="plays the seeds of seeds.txt")
    options = parser.parse_args()
    runs = [(options.seed + index, options.minutes, options.size) for index in range(options.seeds)]
    if options.regression:
        rows = (pathlib.Path(__file__).parent / "seeds.txt").read_text().splitlines()
        runs = [(int(seed), float(minutes), int(size)) for seed, minutes, size in
                (row.split()[:3] for row in rows if row and not row.startswith("#"))]
    failed = 0
    for seed, minutes, size in runs:
        if options.plan:
            counts = count_subjects(size)
            faults_s = max(SHORTEST_FAULTS_S, 60 * minutes - WARM_UP_S - RECOVERY_S - MEASURE_S)
            print("\n".join(map(str, make_plan(seed, faults_s, counts, options.groups.split(",")))))
            continue
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if options.logs:
                folder = options.logs / ("seed-%d" % seed)
                folder.mkdir(parents=True, exist_ok=True)
            lines, findings = run_seed(seed, minutes, size, folder, options.groups.split(","))
            if options.logs and not findings:
                shutil.rmtree(folder)
        failed += bool(findings)
        print("\n".join(lines), flush=True)
        if options.report:
            with options.report.open("a") as report:
                report.write("\n".join(lines) + "\n\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
