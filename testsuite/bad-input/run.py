"""Callers that send malformed, oversized or slow requests, read slowly or disconnect.

Other callers of the same entry must be served all the while.
"""

import json
import re
import socket
import time

from harness import ROOT, Cluster, send_completion, send_booking, call, check, wait_until

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
    """Reads until the peer closes or resets the connection."""
    data = b""
    try:
        while received := connection.recv(65536):
            data += received
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


def check_other_caller(entry, what):
    answer = send_completion(entry, "answer-leader", "neighbour", max_tokens=2)
    check(answer.status == 200 and answer.complete, "another caller is served during: " + what)


def check_refused(entry, what, text, status, code):
    answer = exchange(entry, text)
    check(answer.startswith("HTTP/1.1 %d " % status), "%s: %d, got %r" % (what, status, answer[:80]))
    problem = json.loads(answer.split("\r\n\r\n", 1)[1])
    check(problem["code"] == code and problem["outcome"] == "not-run", what + ": " + str(problem))
    check_other_caller(entry, what)


def malformed_requests(entry):
    valid_body = '{"model":"answer-leader","prompt":"x"}'
    refusals = [
        ("no HTTP", "hello there\r\n\r\n", 400, 1001),
        ("a NUL in the target", "GET /\0 HTTP/1.1\r\n\r\n", 400, 1001),
        ("a header line without a colon", "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, 1001),
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
        ("an unknown coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n", 400, 1001),
        (
            "two codings",
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            400,
            1001,
        ),
        ("a bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 1001),
        ("header too slow", "GET / HT", 408, 1008),
        ("body too slow", completion(valid_body)[:-3], 408, 1008),
    ]
    for refusal in refusals:
        check_refused(entry, *refusal)


def invalid_requests(entry):
    answers = [
        (send_completion(entry, "no-such-service", "x"), 404, 1005),
        (send_completion(entry, "answer-leader", "x", token="nobody"), 401, 1004),
        (send_booking(entry, ""), 400, 1006),
        (send_booking(entry, "k" * 256), 400, 1010),
        (call(entry.address(), "GET", "/v1/completions", None, {"Authorization": "Bearer token-ganga"}), 405, 1009),
    ]
    for answer, status, code in answers:
        check(answer.status == status and answer.json()["code"] == code, "refused with %d" % code)


def persistent_connection(entry):
    """Checks refusals that keep the connection open, HEAD, pipelining, Expect and HTTP/1.0."""
    malformed_request = completion("{")
    valid_request = completion('{"model":"answer-leader","prompt":"x","max_tokens":2}')
    head = "HEAD /services/look-up-reservation/x HTTP/1.1\r\nHost: x\r\n%s\r\n" % TOKEN
    last_request = completion("{", extra="Connection: close\r\n")
    answer = exchange(entry, malformed_request + valid_request + head + valid_request + last_request)
    statuses = re.findall(r"HTTP/1\.1 (\d+) ", answer)
    check(statuses == ["400", "200", "200", "200", "400"], "pipelined answers: " + str(statuses))
    expecting = exchange(entry, completion("{", extra="Expect: 100-continue\r\nConnection: close\r\n"))
    check(expecting.startswith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400"), "100 Continue comes before the refusal")
    http_1_0_answer = exchange(entry, "GET /x HTTP/1.0\r\n%s\r\n" % TOKEN)
    check(
        http_1_0_answer.startswith("HTTP/1.1 404") and "chunked" not in http_1_0_answer,
        "HTTP/1.0 is answered and closed")


def buffered_answer(entry):
    """An answer that the entry buffers until it is complete may exceed its stream's flow control window."""
    body = "x" * 700_000
    answer = send_booking(entry, "large", body, headers={"Run-Id": "large"})
    check(answer.status == 200 and answer.json()["body"] == body, "a large buffered answer arrives complete")


def load_of(engine):
    return call(engine.address(), "GET", "/admin/load").json()


def caller_disconnects(entry, engine, streamed, pipelined):
    """A disconnected caller's request is cancelled at the engine.

    An answer that is not streamed is written only at its end, so the entry must notice the
    disconnect by watching the connection.
    """
    tokens = 2000
    body = {"model": "summarise-manifest", "prompt": "x", "max_tokens": tokens, "stream": streamed}
    before = load_of(engine)["outputTokens"]
    connection = connect(entry)
    connection.sendall(completion(json.dumps(body)).encode())
    wait_until(lambda: load_of(engine)["outputTokens"] > before, "the engine runs the request")
    connection.sendall(pipelined.encode())
    time.sleep(0.1)
    connection.close()
    wait_until(lambda: load_of(engine)["running"] == 0, "the engine has no running request")
    check(load_of(engine)["outputTokens"] < before + tokens, "the request is cancelled before its last token")


def slow_sender(entry):
    """Sends single bytes, each within any timeout for one read: the time limit of the whole header applies."""
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
        check(data.startswith(b"HTTP/1.1 408"), "a slow sender gets 408")
    check_other_caller(entry, "a slow sender")


def read_slowly(connection, in_progress):
    """Reads about 10 KB a second, so often that no single write of the entry blocks for long."""
    answer = b""

    def read_step():
        nonlocal answer
        try:
            answer += connection.recv(1024)
        except ConnectionError:
            return True
        time.sleep(0.1)
        return not in_progress()

    wait_until(read_step, "the entry ends the slow reader's request", 60)
    return answer + read_all(connection)


def slow_reader(entry):
    request = "POST /services/look-up-reservation/x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n"
    size = 8_000_000
    with connect(entry, receive_buffer=4096) as connection:
        connection.sendall((request % (TOKEN, size)).encode() + b"x" * size)
        check(connection.recv(1) == b"H", "the answer has started")
        check_other_caller(entry, "a slow reader")
        answer = read_slowly(connection, lambda: entry.state()["requests"])
        check(
            len(answer) < size and not answer.endswith(b"0\r\n\r\n"),
            "a truncated answer is not taken for a complete one")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    cluster.agent("agent-1", engine, "camp-language")
    cluster.agent("agent-2", plain, "camp-booking")
    entry = cluster.entry("entry-1", limits=LIMITS)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)
    malformed_requests(entry)
    invalid_requests(entry)
    persistent_connection(entry)
    buffered_answer(entry)
    caller_disconnects(entry, engine, True, "")
    caller_disconnects(entry, engine, False, "")
    caller_disconnects(entry, engine, False, completion("{"))
    slow_sender(entry)
    slow_reader(entry)
    check(entry.stop() == 0, "the entry ends gracefully")
print("ok")
