"""Requests on the users' platform: real entries and agents with stand-ins of its store and engines."""

import json
import pathlib
import signal
import socket
import tempfile
import threading
import time

from harness import check, wait_until
from platformdeployment import HOST, Client, Deployment, configuration, count_runs, run_of_request
from platformstandin import events


def requests_served(deployment):
    client = Client(deployment.entry)
    reply = client.exchange("/draft/x?y=%20z")
    check(reply.status == 200 and reply.complete, "a stream is served")
    check(reply.body == b"".join(events(1, 5)), "the body is the engine's, byte for byte")
    check(reply.headers["Server-Stamp"].startswith("stamp-i-"), "the answer carries the engine's stamp")
    run = run_of_request(deployment, client.last_request)
    check(
        run["method"] == "POST" and run["target"] == "/draft/x?y=%20z" and run["body"] == b"prompt",
        "method, target and body reach the engine unchanged")
    check(run["headers"]["Tenant"] == "ganga", "the organisation is that of the API key")
    check(
        "Authorization" not in run["headers"] and "Hold" not in run["headers"],
        "the API key and forged fields are not forwarded")
    check(0 < int(run["headers"]["Deadline-Ms"]) <= 4000, "the remaining time is forwarded")
    reply = client.exchange("/look/plain", method="GET", body=None, tokens=None)
    check(reply.body == b"whole answer", "a plain call is served on the same connection")
    check(
        client.exchange("/open/plain", key="none", method="GET", body=None).status == 200,
        "an anonymous route needs no key")
    check(client.exchange("/look/plain", key="none").status == 401, "an unknown API key is refused with 401")
    check(client.exchange("/nowhere/plain").status == 404, "an unknown route is refused with 404")


def send_raw(entry, text):
    with socket.create_connection(("127.0.0.1", entry.ports["listen"]), timeout=10) as connection:
        connection.sendall(text.encode())
        data = b""
        while received := connection.recv(65536):
            data += received
        return data.decode()


def request_smuggling(deployment):
    head = "POST /book/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: smuggler\r\nAuthorization: Bearer key-1\r\n" % HOST
    for what, fields in [
        ("a folded line", "X: a\r\n b\r\nContent-Length: 0\r\n"),
        ("length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        ("two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"),
        ("a bare line feed", "X: a\nContent-Length: 0\r\n"),
        ("an unknown coding", "Transfer-Encoding: gzip\r\n"),
        ("two codings", "Transfer-Encoding: gzip, chunked\r\n"),
        ("a coding that begins like chunked", "Transfer-Encoding: chunked;a=b\r\n"),
    ]:
        reply = send_raw(deployment.entry, head + fields + "\r\n0\r\n\r\nGET /look/plain HTTP/1.1\r\n\r\n")
        check(reply.startswith("HTTP/1.1 400 "), what + " is refused: " + reply[:40])
    check(
        send_raw(deployment.entry, head + "X: %s\r\n\r\n" % ("x" * 9000)).startswith("HTTP/1.1 431 "),
        "a header that is too large is refused with 431")
    check(
        send_raw(deployment.entry, head + "Content-Length: 200000\r\n\r\n").startswith("HTTP/1.1 413 "),
        "a body that is too large is refused with 413")
    check(count_runs(deployment, "smuggler") == 0, "no smuggled request runs")


def malformed_answers(deployment):
    client = Client(deployment.entry)
    for behaviour in ("extra", "late", "foreign-first", "unframed"):
        for _ in range(3):
            reply = client.exchange("/book/" + behaviour)
            check(
                reply.status == 200 and reply.body == b"whole answer",
                behaviour + ": the caller gets the answer to its own request")
            check(
                client.exchange("/book/plain").body == b"whole answer",
                behaviour + ": the next request gets its own answer too")
    for behaviour in ("garbage", "status-000", "odd-field", "odd-coding"):
        reply = client.exchange("/book/" + behaviour)
        check(
            reply.status == 502 and reply.body == b"" and count_runs(deployment, client.last_request) == 1,
            behaviour + ": a malformed answer gives 502 and the request is not sent again")
        reply = client.exchange("/draft/" + behaviour)
        check(reply.status == 502 and reply.body == b"", behaviour + ": so does one of an engine")
    wait_until(
        lambda: sum('"event":"answer-unreadable"' in line for line in deployment.entry.lines) >= 8,
        "the log tells why the answers could not be read")
    reply = client.exchange("/book/vanish")
    check(
        reply.status == 502 and count_runs(deployment, client.last_request) == 1,
        "a lost answer gives 502 and the request is not sent again")
    client = Client(deployment.entry)
    reply = client.exchange("/look/error", method="GET", body=None)
    check(
        reply.status == 500 and count_runs(deployment, client.last_request) == 2,
        "an idempotent call is sent twice at most")
    check(reply.headers["Server-Stamp"].startswith("stamp-p-"), "the engine's own error answer is forwarded")


def target_refusals(deployment):
    client = Client(deployment.entry)
    reply = client.exchange("/draft/refuse")
    check(
        reply.status == 503 and float(reply.headers["Retry-After"]) > 0,
        "a request with one attempt is refused with a Retry-After time")
    reply = client.exchange("/look/refuse-p-1", method="GET", body=None)
    check(reply.status == 200, "a call that one target refuses is served by the other")
    check(count_runs(deployment, client.last_request) == 1, "the call runs once")


def target_replaced(deployment):
    """Replaces a target at its address before the instance list shows the replacement."""
    engine = deployment.plain_services[0]

    def served():
        client = Client(deployment.entry)
        client.exchange("/book/plain")
        return any(run["headers"]["Attempt-Id"] == client.last_request for run in engine.runs)
    wait_until(served, "the target serves requests")
    previous_name = engine.instance
    engine.instance = "p-reborn"
    for _ in range(8):
        client = Client(deployment.entry)
        reply = client.exchange("/book/plain")
        check(
            reply.status == 200 and count_runs(deployment, client.last_request) == 1,
            "only the other target runs the request, and only once")
    deployment.store.remove("servers/" + previous_name)
    deployment.store.put("servers/" + engine.instance, engine.instance_record("plain"))
    wait_until(served, "the replacement serves requests")


def truncated_streams(deployment):
    client = Client(deployment.entry)
    reply = client.exchange("/draft/torn")
    check(
        not reply.complete and reply.body == b"".join(events(1, 2)),
        "a truncated stream is not taken for a complete one")
    for _ in range(6):
        reply = Client(deployment.entry).exchange("/ask/torn-once")
        check(
            reply.complete and reply.body == b"".join(events(1, 5)),
            "a resumable stream is resumed at another target")


def answers_that_end_with_the_connection(deployment):
    """An HTTP/1.0 caller knows the end of an answer only by that of its connection."""
    def begin(entry, path):
        caller = socket.create_connection(("127.0.0.1", entry.ports["listen"]), timeout=10)
        caller.sendall((
            "GET %s HTTP/1.0\r\nHost: %s\r\nAttempt-Id: r-unsized\r\nDeadline-Ms: 4000\r\n"
            "Authorization: Bearer key-1\r\nToken-Count: 100,35\r\n\r\n" % (path, HOST)).encode())
        return caller

    def read(caller):
        """Returns what the caller receives and whether the connection ends with a reset."""
        data = b""
        try:
            while piece := caller.recv(65536):
                data += piece
        except ConnectionResetError:
            return data, True
        return data, False
    whole = b"".join(events(1, 5))
    data, was_reset = read(begin(deployment.entry, "/draft/x"))
    check(data.endswith(b"\r\n\r\n" + whole) and not was_reset, "a whole answer ends cleanly: %r" % data)
    _, was_reset = read(begin(deployment.entry, "/draft/torn"))
    check(was_reset, "an answer that the engine breaks off ends with a reset")
    entry = deployment.start_entry("killed", "127.0.0.2")
    caller = begin(entry, "/draft/slow")
    data = b""
    while events(1, 1)[0] not in data:
        data += caller.recv(65536)
    entry.popen.kill()
    _, was_reset = read(caller)
    check(was_reset, "an answer that the entry's death breaks off ends with a reset")


def resume_without_capacity(deployment):
    """A stream is truncated while every other target is full: no second response head may follow."""
    for engine in deployment.engines:
        engine.event_count = 12
    client = Client(deployment.entry)
    client.send("/ask/torn-late")
    time.sleep(0.2)
    blocking_callers = [
        threading.Thread(target=lambda: Client(deployment.entry).exchange("/draft/slow")) for _ in range(16)]
    for caller in blocking_callers:
        caller.start()
    reply = client.read()
    check(reply.status == 200 and not reply.complete, "the stream is truncated")
    check(
        reply.body == b"".join(events(1, 2)),
        "the body holds only the events before the truncation: %r" % reply.body)
    for caller in blocking_callers:
        caller.join()
    for engine in deployment.engines:
        engine.event_count = 5


def caller_disconnects(deployment):
    client = Client(deployment.entry)
    request = client.send("/draft/slow")
    time.sleep(0.5)
    client.connection.sock.close()
    wait_until(
        lambda: any(request in engine.disconnected for engine in deployment.engines),
        "the connection to the engine is closed")


def capacity_released(deployment):
    """Sends more requests than there are slots: unused reservations and late grants must be released."""
    replies = []
    threads = [
        threading.Thread(target=lambda: replies.append(Client(deployment.entry).exchange("/draft/x").status))
        for _ in range(24)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(set(replies) <= {200, 503} and replies.count(200) >= 6, "each request is served or refused: %s" % replies)
    time.sleep(0.25)
    states = [agent.state() for agent in deployment.agents]
    check(
        all(state["granted"] == 0 and state["waiting"] == 0 for state in states),
        "no agent holds a grant or a waiting request: %s" % states)


def quota_exceeded(deployment):
    deployment.store.put("op/config", configuration(2, ["key-1", "key-2"], rate=100))
    client = Client(deployment.entry)
    wait_until(lambda: client.exchange("/draft/x", tokens="2000,0").status == 429, "the quota is used up")
    deployment.store.put("op/config", configuration(3, ["key-1", "key-2"]))
    wait_until(
        lambda: client.exchange("/draft/x", tokens="2000,0").status == 200,
        "requests are served after the quota is removed")


def route_timeout(deployment):
    client = Client(deployment.entry)
    deployment.plain_services[0].event_delay_s = deployment.plain_services[1].event_delay_s = 2
    start = time.monotonic()
    reply = client.exchange("/brief/x", method="GET", body=None)
    check(reply.status == 504 and time.monotonic() - start < 1.5, "the request ends with 504 at the route's timeout")
    deployment.plain_services[0].event_delay_s = deployment.plain_services[1].event_delay_s = 0.01


def agents_killed(deployment):
    for agent in deployment.agents:
        agent.popen.kill()
    for _ in range(4):
        check(Client(deployment.entry).exchange("/draft/x").status == 200, "requests are served without agents")


def key_revocation(deployment):
    check(
        Client(deployment.entry).exchange("/look/plain", key="key-2").status == 200,
        "the second API key is accepted")
    deployment.store.put("op/config", configuration(4, ["key-1"]))
    wait_until(
        lambda: Client(deployment.entry).exchange("/look/plain", key="key-2").status == 401,
        "the revoked API key is refused")
    deployment.store.mode = "silent"
    wait_until(
        lambda: Client(deployment.entry).exchange("/look/plain").status == 503,
        "API keys are refused while the store does not answer")
    check(
        Client(deployment.entry).exchange("/open/plain", method="GET", body=None).status == 200,
        "anonymous routes are still served")
    check(deployment.entry.get("readiness", "/readiness")[0] == 200, "the entry stays ready")
    deployment.store.mode = "ok"
    wait_until(
        lambda: Client(deployment.entry).exchange("/look/plain").status == 200,
        "API keys are accepted again after the store answers")


def store_goes_back(deployment):
    """The store comes back from a copy that lacks a revoked key, a new key and a target's departure."""
    store = deployment.store
    leaver = deployment.plain_services[1]

    def status(key, path="/look/plain"):
        return Client(deployment.entry).exchange(path, key=key).status

    def replaced_lines():
        return [line for line in deployment.entry.lines if '"event":"history-replaced"' in line]
    store.put("op/config", configuration(6, ["key-1", "key-6"]))
    wait_until(lambda: status("key-6") == 200, "a new API key is accepted")
    time.sleep(1.5)
    store.put("op/config", configuration(7, ["key-1"]))
    store.remove("servers/" + leaver.instance)
    wait_until(lambda: status("key-6") == 401, "the API key is revoked")
    wait_until(lambda: leaver.instance not in str(deployment.entry.state()), "the target is gone")
    known_revision = store.revision
    store.go_back(1.5)
    # The new history overtakes the revision that the entry knows before the entry asks again.
    while store.revision <= known_revision + 5:
        store.put("servers/" + deployment.plain_services[0].instance,
                  deployment.plain_services[0].instance_record("plain"))
    runs = len(leaver.runs)
    wait_until(lambda: replaced_lines(), "the entry logs that the store's history was replaced")
    end = time.monotonic() + 4
    while time.monotonic() < end:
        check(status("key-6") in (401, 503), "the revoked API key stays refused")
        check(status("key-1") in (200, 503), "the other API key stays known")
        time.sleep(0.05)
    check(len(leaver.runs) == runs, "the target that left gets no request")
    check(status("key-1") == 503, "an older configuration does not confirm API keys")
    store.put("op/config", configuration(7, ["key-1"]))
    wait_until(lambda: status("key-1") == 200, "the configuration is confirmed once it is written again")
    check(status("key-6") == 401, "the revoked API key is refused for good")
    store.put("servers/" + leaver.instance, leaver.instance_record("plain"))
    wait_until(
        lambda: status("key-1") == 200 and len(leaver.runs) > runs, "a target that writes again is used again")
    store.go_back(0)
    wait_until(lambda: len(replaced_lines()) == 2, "a second replacement is noticed")
    store.put("op/config", configuration(8, ["key-1", "key-8"]))
    wait_until(lambda: status("key-8") == 200, "a configuration of the new history is applied")


def drain_and_exit(deployment):
    client = Client(deployment.entry)
    for engine in deployment.engines:
        engine.event_count = 12
    request = client.send("/ask/slow")
    time.sleep(0.3)
    deployment.entry.popen.send_signal(signal.SIGHUP)
    deployment.entry.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: deployment.entry.get("readiness", "/readiness")[0] == 503, "the entry is no longer ready")
    reply = Client(deployment.entry).exchange("/look/plain")
    check(
        reply.status == 200 and reply.headers.get("Connection") == "close",
        "a draining entry serves requests and closes their connections")
    reply = client.read()
    check(reply.complete and reply.body == b"".join(events(1, 12)), "the stream in progress is completed")
    # 2.7 s after SIGTERM, a request with its route's timeout of 4 s may outlast the 6 s within which
    # the process must end (graceMs); one with a timeout of 0.5 s does not.
    wait_until(
        lambda: Client(deployment.entry).exchange("/draft/x").status == 503,
        "requests that may outlast the drain are refused")
    check(
        Client(deployment.entry).exchange("/brief/plain", method="GET", body=None).status == 200,
        "requests with a short timeout are served")
    check(deployment.entry.popen.wait(10) == 0, "the process exits with status 0 after the drain")
    event_names = {json.loads(line)["event"] for line in deployment.entry.lines if line.startswith("{")}
    check(
        {"started", "configuration", "sent", "finished", "stopping", "settings-read"} <= event_names,
        "the log holds the expected events: %s" % event_names)
    finished_events = [json.loads(line) for line in deployment.entry.lines if '"event":"finished"' in line]
    check(
        any(line["request"] == request and line["outcome"] == "answered" for line in finished_events),
        "the log finds the finished request by its id")


with tempfile.TemporaryDirectory() as folder_name:
    with Deployment(pathlib.Path(folder_name)) as deployment:
        for case in (
            requests_served, request_smuggling, malformed_answers, target_refusals, target_replaced,
            truncated_streams, answers_that_end_with_the_connection, resume_without_capacity,
            caller_disconnects, capacity_released, quota_exceeded, route_timeout,
            agents_killed, key_revocation, store_goes_back, drain_and_exit,
        ):
            print(case.__name__, flush=True)
            case(deployment)
print("1 passed, 0 failed")
