"""Starts and stops real processes on loopback for the cases of the testsuite.

A case creates a Cluster in a "with" statement, starts stand-ins, agents and entries with its
methods, and sends requests with call(), send_completion() and send_booking(). Leaving the "with"
statement kills every process that is still running.
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
    """An answer as its caller received it. complete is False when it was truncated."""

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
    """One running program of the project, with its settings file and its log file."""

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
        """Sends SIGTERM, which drains the process, and returns its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)


def call(address, method, path, body=None, headers=None, timeout_s=60):
    """Sends one request on a new connection and returns the answer."""
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
    """Polls a condition until it holds. The timeout only bounds a failing case: it is no target."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("timed out waiting for: " + what)


def check(condition, what):
    if not condition:
        raise AssertionError(what)


class Cluster:
    """The stand-ins, agents and entries of one case. A stand-in of the store always runs."""

    def __init__(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.processes = {}
        self.store = None

    def __enter__(self):
        self.store = self.standin("store", role="store")
        return self

    def __exit__(self, exc_type, error, traceback):
        if exc_type is not None:
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
        """Sets faults of a stand-in and returns its answer."""
        answer = call(standin.address(), "POST", "/admin/faults", json.dumps(faults))
        check(answer.status == 200, "the stand-in accepts the fault settings")
        return answer.json()

    def agent(self, name, target, pool, target_address=None, **settings):
        merged_settings = {
            "instance": name,
            "region": REGION,
            "failureDomain": "a",
            "target": target_address or target.address(),
            "pools": [pool],
            "log": {"level": "debug"},
        }
        merged_settings.update(settings)
        process = self.start(name, "wigeonsill-agent", merged_settings)
        self.list_instance(
            name, "agent", process.address(), pools=merged_settings["pools"], region=merged_settings["region"]
        )
        return process

    def entry(self, name, **settings):
        merged_settings = {
            "instance": name,
            "region": REGION,
            "failureDomain": "a",
            "store": self.store.address(),
            "instanceList": self.store.address(),
            "log": {"level": "debug"},
        }
        merged_settings.update(settings)
        process = self.start(name, "wigeonsill-entry", merged_settings)
        peer = {"peer": process.address("peers"), "region": merged_settings["region"]}
        self.list_instance(name, "entry", process.address(), **peer)
        return process

    def list_instance(self, name, role, endpoint, state="live", **attributes):
        record = {"role": role, "endpoint": endpoint, "state": state}
        record.update(attributes)
        call(self.store.address(), "PUT", "/v1/instances?name=" + name, json.dumps(record))

    def run_control(self, *arguments):
        """Runs wigeonsillctl to its end and returns its exit status and output."""
        return subprocess.run(
            [str(BIN / "wigeonsillctl"), *arguments], capture_output=True, text=True, timeout=120
        )

    def stored_revision(self):
        """Returns the configuration revision in the store; 0 when none is stored."""
        result = self.run_control("status", "--store=" + self.store.address(), "--no-wait", "--json")
        check(result.returncode == 0, "status: " + result.stderr)
        return json.loads(result.stdout)["revision"]

    def apply(self, folder):
        """Applies a folder of declarations on top of the stored revision."""
        base = "--base=%d" % self.stored_revision()
        store = "--store=" + self.store.address()
        result = self.run_control("apply", str(folder), store, base, "--no-wait")
        check(result.returncode == 0, "apply: " + result.stderr)
        return result

    def wait_ready(self, *entries, agents=1):
        """Waits until each entry is ready and connected to at least this number of agents."""
        for entry in entries:
            wait_until(
                lambda: call(entry.address("admin"), "GET", "/readyz").status == 200
                and sum(agent["connected"] for agent in entry.state()["agents"]) >= agents,
                entry.name + " is ready",
            )


def send_completion(entry, service, prompt, token="token-ganga", headers=None, **body):
    """Sends a completion request to an entry and returns the answer."""
    request_body = {"model": service, "prompt": prompt}
    request_body.update(body)
    request_headers = {"Authorization": "Bearer " + token, "Content-Type": "application/json"}
    request_headers.update(headers or {})
    return call(entry.address(), "POST", "/v1/completions", json.dumps(request_body), request_headers)


def send_booking(entry, key, body="{}", service="confirm-berth", token="token-ganga", headers=None):
    """Sends a non-idempotent plain call to an entry and returns the answer."""
    request_headers = {"Authorization": "Bearer " + token, "Idempotency-Key": key}
    request_headers.update(headers or {})
    return call(entry.address(), "POST", "/services/" + service + "/berths", body, request_headers)
