"""The stand-in engine: stream resume and cancel, KV cache transfer, cache events, orders, faults."""

import json
import threading

from harness import Cluster, call, check, wait_until

PROMPT = "q" * 640


def send_completion(engine, request_id, stream, max_tokens):
    body = json.dumps({"prompt": PROMPT, "max_tokens": max_tokens, "stream": stream})
    return call(engine.address(), "POST", "/v1/completions", body,
                {"Wigeonsill-Request-Id": request_id})


def post(engine, path, body):
    return call(engine.address(), "POST", path, json.dumps(body))


def counters(engine):
    return call(engine.address(), "GET", "/admin/load").json()


with Cluster() as cluster:
    engines = [cluster.standin("engine-%d" % n, role="engine", stepMs=2) for n in range(2)]
    full_stream = send_completion(engines[0], "one", True, 4)
    check(full_stream.complete and full_stream.body.endswith(b"data: [DONE]\n\n"), "a stream is complete")
    resumed = call(engines[0].address(), "GET", "/v1/streams/one?offset=2")
    check(
        resumed.complete and full_stream.body.endswith(resumed.body),
        "a resumed stream gives the end of the stream")
    check(0 < len(resumed.body) < len(full_stream.body), "a resumed stream leaves out the beginning")
    check(
        call(engines[0].address(), "GET", "/v1/streams/none").status == 404,
        "an unknown stream is refused with 404")

    answers = []
    background_caller = threading.Thread(
        target=lambda: answers.append(send_completion(engines[0], "two", True, 1000000))
    )
    background_caller.start()
    wait_until(lambda: counters(engines[0])["outputTokens"] > 24, "the long stream is in progress")
    cancelled = post(engines[0], "/v1/cancel", {"id": "two"})
    check(cancelled.json()["state"] == "cancelled", "a stream is cancelled")
    background_caller.join()
    check(not answers[0].complete, "the caller sees that the cancelled stream is truncated")

    exported = post(engines[0], "/v1/kv/export", {"prompt": PROMPT})
    check(len(exported.json()["blocks"]) == 10, "the cached prefix is exported")
    check(len(exported.json()["payload"]) > 0, "the export holds the bytes of the blocks")
    imported = call(engines[1].address(), "POST", "/v1/kv/import", exported.body)
    check(imported.status == 200, "the exported prefix is imported")
    usage = send_completion(engines[1], "three", False, 1).json()["usage"]
    check(
        usage["prompt_tokens_details"]["cached_tokens"] == 160,
        "the imported prefix counts as cached prompt tokens")
    check(post(engines[1], "/v1/kv/import", {"blocks": 1}).status == 400, "a malformed import is refused")

    events = call(engines[0].address(), "GET", "/v1/cache-events?after=0").json()["events"]
    check(len(events) == 10 and events[0]["kind"] == "stored", "the cache events list the stored blocks")
    cluster.fault(engines[0], cacheEventLagMs=3600000)
    delayed_events = call(engines[0].address(), "GET", "/v1/cache-events?after=0").json()["events"]
    check(delayed_events == [], "the fault cacheEventLagMs delays cache events")

    order = {"kind": "load-adapter", "name": "a", "fence": 7}
    check(post(engines[0], "/v1/orders", order).status == 200, "an order is accepted")
    check(
        post(engines[0], "/v1/orders", dict(order, fence=6)).status == 409,
        "an order with a lower fence is refused")
    cluster.fault(engines[0], checkFencing=False)
    check(
        post(engines[0], "/v1/orders", dict(order, fence=6)).status == 200,
        "an order with a lower fence is accepted without the fence check")

    weights = cluster.standin("weights", role="weights")
    cluster.fault(weights, bytesPerSecond=1, weightBytes=1000)
    statuses = [call(weights.address(), "GET", "/v1/weights/m").status for _ in range(2)]
    check(statuses == [200, 429], "the weight store refuses a read above its rate")
print("ok")
