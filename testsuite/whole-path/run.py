"""A request served end to end by separate processes, and a booking that runs once."""

from harness import ROOT, Cluster, ask, book, call, check

with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    booking = cluster.standin("booking", role="plain")
    cluster.agent("agent-1", engine, "camp-language")
    cluster.agent("agent-2", booking, "camp-booking")
    entries = [cluster.entry("entry-1"), cluster.entry("entry-2")]
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(*entries, agents=2)

    whole = ask(entries[0], "answer-leader", "Which gate?", max_tokens=5)
    check(whole.status == 200, "a whole answer comes")
    check(whole.outcome() == "completed", "it is marked completed")
    check("Wigeonsill-Request-Id" in whole.headers, "it names its request")
    words = whole.json()["choices"][0]["text"].split()
    check([word.split(":")[1] for word in words] == ["0", "1", "2", "3", "4"], "all words, in order")

    stream = ask(entries[1], "answer-leader", "Which gate?", max_tokens=5, stream=True)
    check(stream.complete, "the stream ends as whole")
    check(stream.body.endswith(b"data: [DONE]\n\n"), "with the engine's last event")

    first = book(entries[0], "berth-1", '{"berth":1}')
    again = book(entries[1], "berth-1", '{"berth":1}')
    check(first.status == 200 and again.status == 200, "both calls are answered")
    check(first.body == again.body, "by the same answer")
    runs = call(booking.address(), "GET", "/admin/runs").json()["runs"]
    check(runs == {'{"berth":1}': 1}, "the booking ran once")

    other = book(entries[0], "berth-1", '{"berth":2}')
    check(other.status == 422 and other.json()["code"] == 1007, "the key is refused for another body")
    unknown = ask(entries[0], "no-such-service", "x")
    check(unknown.status == 404 and unknown.json()["code"] == 1005, "an unknown service is refused")
    stranger = ask(entries[0], "answer-leader", "x", token="nobody")
    check(stranger.status == 401 and stranger.json()["code"] == 1004, "an unknown caller is refused")

    for process in reversed(cluster.processes.values()):
        check(process.stop() == 0, process.name + " ends gracefully")
print("ok")
