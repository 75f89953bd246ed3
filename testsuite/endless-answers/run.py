"""Targets that send bytes without end hold neither the entry's memory nor its other callers.

The targets and their callers run in processes of their own, which this file starts with an argument.
"""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

from harness import BIN, check, wait_until
from platformstandin import Engine, Store, events

HOST = "camp.example"
KINDS = ["head", "garbage", "chunk-header", "event", "body", "after", "foreign"]
TARGETS = 10
CONNECTIONS = 100
CALLERS = 8
ROUNDS = 2  # Of a phase without and one beside, so that a change of the machine's load meets both.
PHASE_S = 4
TIMEOUT_S = 4
MIB = 1_048_576
# The entry's limits, in bytes: what each kind may hold for one connection.
HELD = {
    "head": 65_536, "garbage": 65_536, "chunk-header": 16_384, "event": MIB, "after": 65_536, "foreign": 65_536,
    "body": 4 * MIB + MIB,  # What is unsent to the caller, and an event more.
}
READ_BUFFER = 8_192
# A string that grows allocates up to twice its size.
GROWTH = 2
# Of the process, for what is not held for one of these connections: the other callers, logs and metrics.
OTHER_USE = 16 * MIB


def route(name, route_type, service):
    return {
        "name": name, "hostname": HOST, "prefix": "/%s/" % name, "routeType": route_type, "backend": service,
        "timeoutMs": TIMEOUT_S * 1000, "targetLatencyMs": 600, "priority": 0, "maxAttempts": 1,
        "anonymous": True, "sticky": False, "resumable": False, "gapAimMs": 300,
    }


CONFIGURATION = {
    "version": 1,
    "routes": [
        route("look", "idempotent", "sound"), route("draft", "streaming", "sound"),
        route("flood", "idempotent", "endless"), route("drown", "streaming", "endless"),
    ],
    "services": [
        {"name": "sound", "healthPath": "/health", "maxConnections": 1000},
        {"name": "endless", "healthPath": "/health", "maxConnections": 1000},
    ],
    "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 100000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
    "tenants": [],
}


class Exchange:
    """One request on a connection of its own, read to the connection's end."""

    def __init__(self, port, path, request, pause_s=0):
        begin = time.monotonic()
        self.data = b""
        with socket.create_connection(("127.0.0.1", port), timeout=3 * TIMEOUT_S) as connection:
            if pause_s:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            connection.sendall((
                "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nConnection: close\r\n\r\n"
                % (path, HOST, request, TIMEOUT_S * 1000)).encode())
            try:
                while piece := connection.recv(65536):
                    self.data += piece
                    time.sleep(pause_s)
            except ConnectionResetError:
                pass
        self.took_s = time.monotonic() - begin
        self.status = int(self.data.split(b" ", 2)[1]) if self.data else 0
        head, _, body = self.data.partition(b"\r\n\r\n")
        self.ends_whole = body == b"whole answer" if b"Content-Length" in head else body.endswith(b"\r\n0\r\n\r\n")


def run_targets():
    """Serves bytes without end until standard input ends."""
    engines = [Engine("e-%d" % i) for i in range(TARGETS)]
    print(json.dumps({engine.instance: engine.instance_record("endless") for engine in engines}), flush=True)
    sys.stdin.read()


def run_callers(port, name):
    """Keeps a hundred requests to these targets in flight at a time, and prints how each ended."""
    lines = []
    end = time.monotonic() + PHASE_S

    def call(number):
        kind = KINDS[number % len(KINDS)]
        wave = 0
        while time.monotonic() < end:
            begin = time.monotonic()
            wave += 1
            path = "/%s/endless-%s" % ("drown" if kind == "event" else "flood", kind)
            exchange = Exchange(port, path, "%s-%d-%d" % (name, number, wave), 0.05 if kind == "body" else 0)
            lines.append({
                "kind": kind, "status": exchange.status, "whole": exchange.ends_whole, "took_s": exchange.took_s})
            time.sleep(max(0, begin + 1 - time.monotonic()))

    threads = [threading.Thread(target=call, args=(number,)) for number in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(lines))


class Node:
    """The entry. A thread collects its log from the pipe."""

    def __init__(self, folder, settings):
        file = folder / "entry.json"
        file.write_text(json.dumps(dict(settings, instance="entry", admin="127.0.0.1:0")))
        self.popen = subprocess.Popen(
            [str(BIN / "wigeonsill-node")], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            env=dict(os.environ, WIGEONSILL_CONFIG=str(file)))
        self.ports = json.loads(self.popen.stdout.readline())["ports"]
        self.lines = []
        threading.Thread(target=lambda: self.lines.extend(self.popen.stdout), daemon=True).start()

    def get(self, port, path):
        with socket.create_connection(("127.0.0.1", self.ports[port]), timeout=5) as connection:
            connection.sendall(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path).encode())
            data = b""
            while piece := connection.recv(65536):
                data += piece
        return data.decode()

    def peak_memory(self):
        status = pathlib.Path("/proc/%d/status" % self.popen.pid).read_text()
        return int(next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))) * 1024


def well_behaved_traffic(port, phase, times):
    """Adds the times of calls and of streams, in seconds, over one phase."""
    failed = []
    end = time.monotonic() + PHASE_S

    def call(number):
        sequence = 0
        while time.monotonic() < end:
            sequence += 1
            name = "look" if sequence % 4 else "draft"
            path = "/look/plain" if name == "look" else "/draft/x"
            exchange = Exchange(port, path, "%s-%d-%d" % (phase, number, sequence))
            times[name].append(exchange.took_s)
            expected = b"whole answer" if name == "look" else events(5, 5)[0]
            if exchange.status != 200 or expected not in exchange.data:
                failed.append((path, exchange.status))
            time.sleep(0.02)

    threads = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(not failed, "well-behaved callers are served %s: %s" % (phase, failed[:5]))


def p99(times):
    return sorted(times)[int(0.99 * len(times))]


def run_case(folder, targets):
    store = Store()
    store.put("op/config", CONFIGURATION)
    for instance, record in json.loads(targets.stdout.readline()).items():
        store.put("servers/" + instance, record)
    engines = [Engine("p-%d" % i) for i in (1, 2)]
    for engine in engines:
        store.put("servers/" + engine.instance, engine.instance_record("sound"))
    entry = Node(folder, {
        "role": "entry", "grant": "127.0.0.1:0", "failureDomain": "a", "region": "r", "regions": {"a": "r"},
        "listen": "127.0.0.1:0", "readiness": "127.0.0.1:0", "store": store.address, "strictRevocation": True,
        "revocationMs": 3000, "graceMs": 6000, "drainMs": 1000, "retrySlack": 3000})
    try:
        wait_until(lambda: " 200 " in entry.get("readiness", "/readiness")[:20], "the entry is ready")
        port = entry.ports["listen"]
        without, beside, ends = {"look": [], "draft": []}, {"look": [], "draft": []}, []
        memory_before = None
        for number in range(ROUNDS):
            well_behaved_traffic(port, "without%d" % number, without)
            memory_before = memory_before or entry.peak_memory()
            callers = subprocess.Popen(
                [sys.executable, __file__, "callers", str(port), "f%d" % number], stdout=subprocess.PIPE, text=True)
            well_behaved_traffic(port, "beside%d" % number, beside)
            ends += json.loads(callers.communicate(timeout=60)[0])
        memory = entry.peak_memory()
        metrics = entry.get("admin", "/metrics")
    finally:
        entry.popen.kill()
        entry.popen.wait()
        store.close()
        for engine in engines:
            engine.close()
    report(without, beside, ends, memory_before, memory)
    judge(without, beside, ends, memory_before, memory, metrics, entry.lines)


def report(without, beside, ends, memory_before, memory):
    for kind in KINDS:
        own = [end for end in ends if end["kind"] == kind]
        print("%s: %d ended, statuses %s, longest %.2f s" % (
            kind, len(own), sorted({end["status"] for end in own}), max(end["took_s"] for end in own)))
    for name in without:
        print("%s: p99 %.1f ms of %d without, %.1f ms of %d beside" % (
            name, p99(without[name]) * 1000, len(without[name]), p99(beside[name]) * 1000, len(beside[name])))
    print("peak memory: %.1f MiB before, %.1f MiB beside" % (memory_before / MIB, memory / MIB), flush=True)


def judge(without, beside, ends, memory_before, memory, metrics, lines):
    for kind in KINDS:
        own = [end for end in ends if end["kind"] == kind]
        check(len(own) >= CONNECTIONS // len(KINDS), kind + ": all callers had an end")
        if kind == "after":
            # Bytes behind an answer may reach the next request on that connection, which then fails.
            check(
                all(end["whole"] if end["status"] == 200 else end["status"] == 502 for end in own),
                "a whole answer stays one")
            check(any(end["status"] == 200 for end in own), "answers with bytes behind them are given to their callers")
        else:
            check(
                not any(end["status"] == 200 and end["whole"] for end in own),
                kind + ": no caller takes it for a whole answer")
        check(all(end["took_s"] < TIMEOUT_S + 0.5 for end in own), kind + ": no caller is held past its time limit")
    for bound in ("chunk-framing", "event", "skipped-bytes"):
        check('bound="%s"' % bound in metrics, "the metric tells the bound " + bound)
        check(
            any('"event":"answer-bound"' in line and '"bound":"%s"' % bound in line for line in lines),
            "a line tells the bound " + bound)
    allowed = memory_before + OTHER_USE + sum(
        GROWTH * (HELD[KINDS[number % len(KINDS)]] + READ_BUFFER) for number in range(CONNECTIONS))
    check(memory <= allowed, "peak memory %.1f MiB, at most %.1f MiB" % (memory / MIB, allowed / MIB))
    for name in without:
        check(
            p99(beside[name]) <= 2 * p99(without[name]),
            "p99 of %s: %.1f ms beside, %.1f ms without" % (name, p99(beside[name]) * 1000, p99(without[name]) * 1000))


if sys.argv[1:2] == ["targets"]:
    run_targets()
elif sys.argv[1:2] == ["callers"]:
    run_callers(int(sys.argv[2]), sys.argv[3])
else:
    target_process = subprocess.Popen(
        [sys.executable, __file__, "targets"], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    try:
        with tempfile.TemporaryDirectory() as folder_name:
            run_case(pathlib.Path(folder_name), target_process)
    finally:
        target_process.kill()
        target_process.wait()
    print("1 passed, 0 failed")
