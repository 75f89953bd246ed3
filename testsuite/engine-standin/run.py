"""The stand-in engine's streams are cancelled and resumed, its KV cache moves, its faults work."""

import json
import threading

from harness import Cluster, call, check, wait_until

PROMPT = "q" * 640


def complete(engine, request_id, stream, max_tokens):
    body = json.dumps({"prompt": PROMPT, "max_tokens": max_tokens, "stream": stream})
    return call(engine.address(), "POST", "/v1/completions", body,
                {"Wigeonsill-Request-Id": request_id})


def post(engine, path, body):
    return call(engine.address(), "POST", path, json.dumps(body))


def counters(engine):
    return call(engine.address(), "GET", "/admin/load").json()


with Cluster() as cluster:
    engines = [cluster.standin("engine-%d" % n, role="engine", stepMs=2) for n in range(2)]
    whole = complete(engines[0], "one", True, 4)
    check(whole.complete and whole.body.endswith(b"data: [DONE]\n\n"), "a stream ends whole")
    rest = call(engines[0].address(), "GET", "/v1/streams/one?offset=2")
    check(rest.complete and whole.body.endswith(rest.body), "a resume gives the stream's end")
    check(0 < len(rest.body) < len(whole.body), "and not its beginning")
    check(call(engines[0].address(), "GET", "/v1/streams/none").status == 404, "unknown stream")

    answers = []
    reader = threading.Thread(
        target=lambda: answers.append(complete(engines[0], "two", True, 1000000))
    )
    reader.start()
    wait_until(lambda: counters(engines[0])["outputTokens"] > 24, "the long stream is under way")
    cancelled = post(engines[0], "/v1/cancel", {"id": "two"})
    check(cancelled.json()["state"] == "cancelled", "a stream is cancelled")
    reader.join()
    check(not answers[0].complete, "its reader sees that it broke off")

    exported = post(engines[0], "/v1/kv/export", {"prompt": PROMPT})
    check(len(exported.json()["blocks"]) == 10, "the cached prefix is exported")
    check(len(exported.json()["payload"]) > 0, "with its bytes")
    imported = call(engines[1].address(), "POST", "/v1/kv/import", exported.body)
    check(imported.status == 200, "and imported")
    usage = complete(engines[1], "three", False, 1).json()["usage"]
    check(usage["prompt_tokens_details"]["cached_tokens"] == 160, "which spares the prefill")
    check(post(engines[1], "/v1/kv/import", {"blocks": 1}).status == 400, "a bad import is refused")

    events = call(engines[0].address(), "GET", "/v1/cache-events?after=0").json()["events"]
    check(len(events) == 10 and events[0]["kind"] == "stored", "cache events are shown")
    cluster.fault(engines[0], cacheEventLagMs=3600000)
    late = call(engines[0].address(), "GET", "/v1/cache-events?after=0").json()["events"]
    check(late == [], "late when told so")

    order = {"kind": "load-adapter", "name": "a", "fence": 7}
    check(post(engines[0], "/v1/orders", order).status == 200, "an order is taken")
    check(post(engines[0], "/v1/orders", dict(order, fence=6)).status == 409, "an old one is not")
    cluster.fault(engines[0], checkFencing=False)
    check(post(engines[0], "/v1/orders", dict(order, fence=6)).status == 200, "unless unchecked")

    weights = cluster.standin("weights", role="weights")
    cluster.fault(weights, bytesPerSecond=1, weightBytes=1000)
    statuses = [call(weights.address(), "GET", "/v1/weights/m").status for _ in range(2)]
    check(statuses == [200, 429], "the weight store limits its rate")
print("ok")
