"""Callers that send nonsense, too much, too slowly, or go away; and their neighbours."""

import json
import re
import socket
import time

from harness import ROOT, Cluster, ask, book, call, check, wait_until

TOKEN = "Authorization: Bearer token-ganga\r\n"
LIMITS = {"headerTimeMs": 400, "bodyTimeMs": 400, "writeTimeMs": 6000, "bodyBytes": 8_388_608}


def connect(entry, receive_buffer=None):
    host, port = entry.address().split(":")
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(60)
    connection.connect((host, int(port)))
    return connection


def read_all(connection):
    """Everything until the other side closes."""
    data = b""
    try:
        while piece := connection.recv(65536):
            data += piece
    except ConnectionResetError:
        pass
    return data


def exchange(entry, text):
    with connect(entry) as connection:
        connection.sendall(text.encode())
        return read_all(connection).decode()


def completion(body, extra="", method="POST"):
    return (
        "%s /v1/completions HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n%s\r\n%s"
        % (method, TOKEN, len(body), extra, body)
    )


def check_neighbour(entry, what):
    answer = ask(entry, "answer-leader", "neighbour", max_tokens=2)
    check(answer.status == 200 and answer.complete, "a neighbour is served beside: " + what)


def check_refused(entry, what, text, status, code):
    answer = exchange(entry, text)
    check(answer.startswith("HTTP/1.1 %d " % status), "%s: %d, got %r" % (what, status, answer[:80]))
    problem = json.loads(answer.split("\r\n\r\n", 1)[1])
    check(problem["code"] == code and problem["outcome"] == "not-run", what + ": " + str(problem))
    check_neighbour(entry, what)


def malformed(entry):
    good = '{"model":"answer-leader","prompt":"x"}'
    refusals = [
        ("no HTTP", "hello there\r\n\r\n", 400, 1001),
        ("a NUL in the target", "GET /\0 HTTP/1.1\r\n\r\n", 400, 1001),
        ("a bad field", "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, 1001),
        (
            "folded header",
            "GET / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\n b\r\n\r\n",
            400,
            1001,
        ),
        ("header too large", "GET / HTTP/1.1\r\nX: %s\r\n\r\n" % ("x" * 20_000), 431, 1002),
        ("body too large", "POST / HTTP/1.1\r\nContent-Length: 8388609\r\n\r\n", 413, 1003),
        (
            "chunked body too large",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800001\r\n" + "x" * 0x800001,
            413,
            1003,
        ),
        (
            "both length headers",
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            1001,
        ),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            400,
            1001,
        ),
        ("a bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 1001),
        ("header too slow", "GET / HT", 408, 1008),
        ("body too slow", completion(good)[:-3], 408, 1008),
    ]
    for refusal in refusals:
        check_refused(entry, *refusal)


def refused_by_content(entry):
    answers = [
        (ask(entry, "no-such-service", "x"), 404, 1005),
        (ask(entry, "answer-leader", "x", token="nobody"), 401, 1004),
        (book(entry, ""), 400, 1006),
        (book(entry, "k" * 256), 400, 1010),
        (call(entry.address(), "GET", "/v1/completions", None, {"Authorization": "Bearer token-ganga"}), 405, 1009),
    ]
    for answer, status, code in answers:
        check(answer.status == status and answer.json()["code"] == code, "refused with %d" % code)


def kept_connection(entry):
    """Refusals that leave the connection usable, HEAD, and pipelined requests."""
    bad = completion("{")
    good = completion('{"model":"answer-leader","prompt":"x","max_tokens":2}')
    head = "HEAD /services/look-up-reservation/x HTTP/1.1\r\nHost: x\r\n%s\r\n" % TOKEN
    last = completion("{", extra="Connection: close\r\n")
    answer = exchange(entry, bad + good + head + good + last)
    statuses = re.findall(r"HTTP/1\.1 (\d+) ", answer)
    check(statuses == ["400", "200", "200", "200", "400"], "pipelined answers: " + str(statuses))
    expecting = exchange(entry, completion("{", extra="Expect: 100-continue\r\nConnection: close\r\n"))
    check(expecting.startswith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400"), "Expect is answered")
    old = exchange(entry, "GET /x HTTP/1.0\r\n%s\r\n" % TOKEN)
    check(old.startswith("HTTP/1.1 404") and "chunked" not in old, "HTTP/1.0 is answered and closed")


def held_answer(entry):
    """An answer that is held until it is whole may be larger than the window of its stream."""
    body = "x" * 700_000
    answer = book(entry, "large", body, headers={"Run-Id": "large"})
    check(answer.status == 200 and answer.json()["body"] == body, "a large held answer comes whole")


def load_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()


def caller_goes(entry, engine, streamed, pipelined):
    """Without a stream nothing is written, so only the watch of the connection can tell."""
    tokens = 2000
    body = {"model": "summarise-manifest", "prompt": "x", "max_tokens": tokens, "stream": streamed}
    before = load_of(engine)["outputTokens"]
    connection = connect(entry)
    connection.sendall(completion(json.dumps(body)).encode())
    wait_until(lambda: load_of(engine)["outputTokens"] > before, "it runs at the engine")
    connection.sendall(pipelined.encode())
    time.sleep(0.1)
    connection.close()
    wait_until(lambda: load_of(engine)["running"] == 0, "the engine's work has ended")
    check(load_of(engine)["outputTokens"] < before + tokens, "it was cancelled")


def slow_sender(entry):
    """A byte now and then, each within any limit for one read."""
    with connect(entry) as connection:
        connection.settimeout(0.05)
        data = b""
        try:
            for byte in completion('{"model":"answer-leader","prompt":"x"}').encode():
                connection.sendall(bytes([byte]))
                try:
                    data = connection.recv(65536)
                    break
                except TimeoutError:
                    continue
        except ConnectionError:
            pass
        check(data.startswith(b"HTTP/1.1 408"), "a slow sender is told so")
    check_neighbour(entry, "a slow sender")


def read_slowly(connection, going_on):
    """Takes about 10 KB a second, often enough that no single write is blocked for long."""
    answer = b""

    def step():
        nonlocal answer
        try:
            answer += connection.recv(1024)
        except ConnectionError:
            return True
        time.sleep(0.1)
        return not going_on()

    wait_until(step, "the slow reader's answer ends", 60)
    return answer + read_all(connection)


def slow_reader(entry):
    request = "POST /services/look-up-reservation/x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n"
    size = 8_000_000
    with connect(entry, receive_buffer=4096) as connection:
        connection.sendall((request % (TOKEN, size)).encode() + b"x" * size)
        check(connection.recv(1) == b"H", "the answer has begun")
        check_neighbour(entry, "a slow reader")
        answer = read_slowly(connection, lambda: entry.state()["requests"])
        check(len(answer) < size and not answer.endswith(b"0\r\n\r\n"), "and is not taken for whole")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, "camp-language")
    cluster.agent("agent-2", plain, "camp-booking")
    entry = cluster.entry("entry-1", limits=LIMITS)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)
    malformed(entry)
    refused_by_content(entry)
    kept_connection(entry)
    held_answer(entry)
    caller_goes(entry, engine, True, "")
    caller_goes(entry, engine, False, "")
    caller_goes(entry, engine, False, completion("{"))
    slow_sender(entry)
    slow_reader(entry)
    check(entry.stop() == 0, "the entry ends gracefully")
print("ok")
