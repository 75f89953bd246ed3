"""Requests served end to end by separate processes, and a repeated booking that runs once."""

from harness import ROOT, Cluster, send_completion, send_booking, call, check

with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    booking = cluster.standin("booking", role="plain")
    cluster.agent("agent-1", engine, "camp-language")
    cluster.agent("agent-2", booking, "camp-booking")
    entries = [cluster.entry("entry-1"), cluster.entry("entry-2")]
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(*entries, agents=2)

    answer = send_completion(entries[0], "answer-leader", "Which gate?", max_tokens=5)
    check(answer.status == 200, "the request is answered")
    check(answer.outcome() == "completed", "the answer has outcome completed")
    check("Wigeonsill-Request-Id" in answer.headers, "the answer holds the id of the request")
    words = answer.json()["choices"][0]["text"].split()
    check([word.split(":")[1] for word in words] == ["0", "1", "2", "3", "4"], "the answer holds all words, in order")

    stream = send_completion(entries[1], "answer-leader", "Which gate?", max_tokens=5, stream=True)
    check(stream.complete, "the stream is complete")
    check(stream.body.endswith(b"data: [DONE]\n\n"), "the stream ends with the engine's last event")

    first = send_booking(entries[0], "berth-1", '{"berth":1}')
    repeated = send_booking(entries[1], "berth-1", '{"berth":1}')
    check(first.status == 200 and repeated.status == 200, "both calls are answered")
    check(first.body == repeated.body, "the repeated call gets the first answer")
    runs = call(booking.address(), "GET", "/admin/runs").json()["runs"]
    check(runs == {'{"berth":1}': 1}, "the booking runs once")

    other_body = send_booking(entries[0], "berth-1", '{"berth":2}')
    check(
        other_body.status == 422 and other_body.json()["code"] == 1007,
        "the idempotency key is refused for another body")
    unknown_service = send_completion(entries[0], "no-such-service", "x")
    check(unknown_service.status == 404 and unknown_service.json()["code"] == 1005, "an unknown service is refused")
    unknown_caller = send_completion(entries[0], "answer-leader", "x", token="nobody")
    check(unknown_caller.status == 401 and unknown_caller.json()["code"] == 1004, "an unknown caller is refused")

    for process in reversed(cluster.processes.values()):
        check(process.stop() == 0, process.name + " ends gracefully")
print("ok")
