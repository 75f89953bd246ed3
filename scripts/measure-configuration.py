#!/usr/bin/env python3
"""Measures how a configuration change propagates on loopback and prints rows for a Markdown table.

  spread N        time from stored to in force on N entries in two regions; store calls when idle
  memory N        memory and load time of an entry with N organisations
"""

import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

from harness import BIN, Cluster, wait_until  # noqa: E402

CHANGE_COUNT = 10
IDLE_S = 15
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def write_declarations(folder, organisations, share=1):
    (folder / "organisations").mkdir(parents=True, exist_ok=True)
    (folder / "templates").mkdir(exist_ok=True)
    example = ROOT / "examples/consortium"
    for name in ["deployment.json", "templates/tour-operator.json"]:
        (folder / name).write_text((example / name).read_text())
    for number in range(organisations):
        values = {"share": share} if number == 0 else {"answerDeadline": 5000 + number % 10 * 1000}
        row = {"organisation": "org-%05d" % number, "template": "tour-operator"}
        row.update({"tokens": ["token-%05d" % number], "values": values})
        (folder / "organisations" / ("org-%05d.json" % number)).write_text(json.dumps(row))


def change_share(folder, share):
    path = folder / "organisations" / "org-00000.json"
    row = json.loads(path.read_text())
    row["values"]["share"] = share
    path.write_text(json.dumps(row))


def time_apply(cluster, folder, base):
    """Applies the folder; returns the seconds from the line "stored" to "in force everywhere"."""
    command = [BIN / "wigeonsillctl", "apply", folder, "--store=" + cluster.store.address()]
    process = subprocess.Popen(
        [*command, "--base=%d" % base], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    stored = None
    for line in process.stdout:
        if line.startswith("stored"):
            stored = time.monotonic()
        if line.startswith("in force everywhere"):
            process.wait()
            return time.monotonic() - stored
    raise RuntimeError("wigeonsillctl apply exited with status %d" % process.wait())


def resident_mb(process):
    text = pathlib.Path("/proc/%d/status" % process.popen.pid).read_text()
    row = [line for line in text.splitlines() if line.startswith("VmRSS")][0]
    return int(row.split()[1]) / 1024


def cpu_seconds(process):
    fields = pathlib.Path("/proc/%d/stat" % process.popen.pid).read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def store_calls(cluster):
    state = cluster.store.state()
    return state["reads"] + state["watches"] + state["writes"]


def measure_propagation(cluster, count):
    folder = cluster.folder / "declared"
    write_declarations(folder, 100)
    entries = [
        cluster.entry("entry-%d" % i, region="ab"[i % 2], log={"level": "warn"}) for i in range(count)
    ]
    time_apply(cluster, folder, 0)
    propagation_s = []
    for change in range(CHANGE_COUNT):
        change_share(folder, change + 2)
        propagation_s.append(time_apply(cluster, folder, change + 1))
        time.sleep(0.3)
    calls, cpu_before = store_calls(cluster), [cpu_seconds(entry) for entry in entries]
    time.sleep(IDLE_S)
    calls_per_second = (store_calls(cluster) - calls) / IDLE_S
    cpu_percent = [
        (cpu_seconds(entry) - before) / IDLE_S * 100 for entry, before in zip(entries, cpu_before)
    ]
    watchers = sum(entry.state()["configuration"]["watcher"] for entry in entries)
    print(
        "| %d | %.3f | %.3f | %d | %.2f | %.2f |"
        % (count, statistics.median(propagation_s), max(propagation_s), watchers, calls_per_second,
           statistics.mean(cpu_percent))
    )


def measure_memory(cluster, count):
    folder = cluster.folder / "declared"
    write_declarations(folder, count)
    entry = cluster.entry("entry-1", log={"level": "warn"})
    empty_mb = resident_mb(entry)
    started = time.monotonic()
    time_apply(cluster, folder, 0)
    apply_s = time.monotonic() - started
    loaded_mb = resident_mb(entry)
    for change in range(CHANGE_COUNT):
        change_share(folder, change + 2)
        time_apply(cluster, folder, change + 1)
    changed_mb = resident_mb(entry)
    before = store_calls(cluster)
    started = time.monotonic()
    second = cluster.entry("entry-2", log={"level": "warn"})
    wait_until(
        lambda: second.state()["configuration"]["revision"] == CHANGE_COUNT + 1,
        "the second entry has the last revision"
    )
    load_s = time.monotonic() - started
    calls = store_calls(cluster) - before
    row = (count, empty_mb, loaded_mb, changed_mb, apply_s, load_s, calls)
    print("| %d | %.1f | %.1f | %.1f | %.1f | %.2f | %d |" % row)


def main():
    measurement, count = sys.argv[1], int(sys.argv[2])
    with Cluster() as cluster:
        {"spread": measure_propagation, "memory": measure_memory}[measurement](cluster, count)


main()
