"""Starts and stops real processes on loopback for the cases of the testsuite.

A case makes a Cluster in a "with" statement, asks it for stand-ins, agents and entries, and sends
requests with Cluster.call(). Every process that it started ends with the "with" statement.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("WIGEONSILL_BIN", ROOT / "build/release/bin"))
START_TIMEOUT_S = 30
REGION = "lomb-ovest"


class Answer:
    """What a caller got. A broken answer has complete == False."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    def json(self):
        return json.loads(self.body)

    def outcome(self):
        return self.headers.get("Wigeonsill-Outcome", "")


class Process:
    """One running program of the project."""

    def __init__(self, folder, name, program, settings):
        self.name = name
        self.settings_file = folder / (name + ".json")
        self.settings_file.write_text(json.dumps(settings))
        self.log = folder / (name + ".log")
        self.popen = subprocess.Popen(
            [str(BIN / program), "--settings=" + str(self.settings_file)],
            stdout=subprocess.PIPE,
            stderr=self.log.open("w"),
            text=True,
        )
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(name + " did not start:\n" + self.log.read_text())
        self.ports = json.loads(line)["ports"]

    def address(self, port="listen"):
        return "127.0.0.1:%d" % self.ports[port]

    def state(self):
        return call(self.address("admin"), "GET", "/state").json()

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout_s=20):
        """Drains the process and returns its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


def call(address, method, path, body=None, headers=None, timeout_s=60):
    """Sends one request on a connection of its own."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        try:
            return Answer(response.status, response.headers, response.read(), True)
        except (http.client.IncompleteRead, ConnectionError) as error:
            partial = getattr(error, "partial", b"")
            return Answer(response.status, response.headers, partial, False)
    finally:
        connection.close()


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Waits for a condition that must come true; the limit only ends a hopeless wait."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("never happened: " + what)


def check(condition, what):
    if not condition:
        raise AssertionError(what)


class Cluster:
    """Stand-ins, agents and entries of one case."""

    def __init__(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.processes = {}
        self.store = None

    def __enter__(self):
        self.store = self.standin("store", role="store")
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None:
            for process in self.processes.values():
                print("--- " + process.name + "\n" + process.log.read_text()[-4000:])
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
            process.popen.wait()
            process.popen.stdout.close()
        self.temporary.cleanup()

    def start(self, name, program, settings):
        process = Process(self.folder, name, program, settings)
        self.processes[name] = process
        return process

    def standin(self, name, role, **engine):
        settings = {"role": role}
        if engine:
            settings["engine"] = engine
        return self.start(name, "wigeonsill-standin", settings)

    def fault(self, standin, **faults):
        answer = call(standin.address(), "POST", "/admin/faults", json.dumps(faults))
        check(answer.status == 200, "the stand-in took the fault")
        return answer.json()

    def agent(self, name, target, pool, target_address=None, **settings):
        full = {
            "instance": name,
            "region": REGION,
            "failureDomain": "a",
            "target": target_address or target.address(),
            "pools": [pool],
            "log": {"level": "debug"},
        }
        full.update(settings)
        process = self.start(name, "wigeonsill-agent", full)
        self.list_instance(
            name, "agent", process.address(), pools=full["pools"], region=full["region"]
        )
        return process

    def entry(self, name, **settings):
        full = {
            "instance": name,
            "region": REGION,
            "failureDomain": "a",
            "store": self.store.address(),
            "instanceList": self.store.address(),
            "log": {"level": "debug"},
        }
        full.update(settings)
        process = self.start(name, "wigeonsill-entry", full)
        peer = {"peer": process.address("peers"), "region": full["region"]}
        self.list_instance(name, "entry", process.address(), **peer)
        return process

    def list_instance(self, name, role, endpoint, state="live", **more):
        row = {"role": role, "endpoint": endpoint, "state": state}
        row.update(more)
        call(self.store.address(), "PUT", "/v1/instances?name=" + name, json.dumps(row))

    def control(self, *arguments):
        """Runs wigeonsillctl and returns the finished process."""
        return subprocess.run(
            [str(BIN / "wigeonsillctl"), *arguments], capture_output=True, text=True, timeout=120
        )

    def stored_revision(self):
        """Revision in the store; 0 when nothing is stored."""
        done = self.control("status", "--store=" + self.store.address(), "--no-wait", "--json")
        check(done.returncode == 0, "status: " + done.stderr)
        return json.loads(done.stdout)["revision"]

    def apply(self, folder):
        """Applies a folder over whatever is stored."""
        base = "--base=%d" % self.stored_revision()
        store = "--store=" + self.store.address()
        done = self.control("apply", str(folder), store, base, "--no-wait")
        check(done.returncode == 0, "apply: " + done.stderr)
        return done

    def wait_ready(self, *entries, agents=1):
        """Waits until each entry has its configuration and that many agents."""
        for entry in entries:
            wait_until(
                lambda: call(entry.address("admin"), "GET", "/readyz").status == 200
                and sum(agent["connected"] for agent in entry.state()["agents"]) >= agents,
                entry.name + " is ready",
            )


def ask(entry, service, prompt, token="token-ganga", headers=None, **body):
    """Sends a completion to an entry and returns the answer."""
    full = {"model": service, "prompt": prompt}
    full.update(body)
    fields = {"Authorization": "Bearer " + token, "Content-Type": "application/json"}
    fields.update(headers or {})
    return call(entry.address(), "POST", "/v1/completions", json.dumps(full), fields)


def book(entry, key, body="{}", service="confirm-berth", token="token-ganga", headers=None):
    """Sends a non-idempotent plain call to an entry and returns the answer."""
    fields = {"Authorization": "Bearer " + token, "Idempotency-Key": key}
    fields.update(headers or {})
    return call(entry.address(), "POST", "/services/" + service + "/berths", body, fields)
