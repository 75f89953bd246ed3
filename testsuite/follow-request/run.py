"""Follows requests through the logs of entry and agent by id, and checks the metrics they change."""

import json
import re

from faults import BOOKING_POOL, LANGUAGE_POOL
from harness import ROOT, Cluster, send_completion, send_booking, call, check, wait_until

LOG = {"level": "debug", "json": True}


def records_of(process, request):
    """Returns the log records of a request. Each line of the log must be a JSON object."""
    complete_lines = process.log.read_text().rpartition("\n")[0]
    records = [json.loads(line) for line in complete_lines.splitlines()]
    check(records, process.name + " writes a log")
    for record in records:
        check(set(record) >= {"time_us", "level", "part", "message"}, "required fields of " + str(record))
        check(record["message"].endswith("."), "the message is a sentence: " + record["message"])
    return [record for record in records if record.get("request") == request]


def metric(process, name, labels=""):
    text = call(process.address("admin"), "GET", "/metrics").body.decode()
    for line in text.splitlines():
        check(
            re.match(r"(# TYPE \w+ \w+|\w+({[^}]*})? \S+)$", line),
            "the line is in the Prometheus text format: " + line)
        if line.startswith(name + ("{" + labels + "} " if labels else " ")):
            return float(line.rsplit(" ", 1)[1])
    return None


def check_followed(entry, agent, answer, result):
    request = answer.headers["Wigeonsill-Request-Id"]
    # A process may write its last line on a request after the caller has the answer.
    wait_until(lambda: len(records_of(entry, request)) > 1, "the entry logs the end of the request")
    wait_until(lambda: len(records_of(agent, request)) > 1, "the agent logs the end of the request")
    at_entry = [record["message"].split(" ")[0] for record in records_of(entry, request)]
    at_agent = [record["message"].split(" ")[0] for record in records_of(agent, request)]
    check(at_entry == ["Accepted", "Ended"], "the entry logs one start and one end: " + str(at_entry))
    check(at_agent == ["Sending", "Ended"], "the agent logs one start and one end: " + str(at_agent))
    check(
        records_of(entry, request)[1]["message"].endswith(": " + result + "."),
        "the entry logs the result of the request")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    language_agent = cluster.agent("agent-1", engine, LANGUAGE_POOL, log=LOG)
    booking_agent = cluster.agent("agent-2", plain, BOOKING_POOL, log=LOG)
    entry = cluster.entry("entry-1", log=LOG)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)

    check_followed(entry, language_agent, send_completion(entry, "answer-leader", "x", max_tokens=3), "Ok")
    check_followed(entry, booking_agent, send_booking(entry, "berth-1"), "Ok")
    check(send_booking(entry, "berth-1").status == 200, "a repeated booking is answered")
    cluster.fault(plain, breakAfterRun=1)
    truncated = send_booking(entry, "berth-2")
    check(truncated.outcome() == "unknown", "a booking with a truncated answer has outcome unknown")
    check_followed(entry, booking_agent, truncated, "TargetSilent")
    levels = [record["level"] for record in records_of(entry, truncated.headers["Wigeonsill-Request-Id"])]
    check(levels == ["DEBUG", "INFO"], "the end of an incomplete request is logged above debug level")

    wait_until(lambda: metric(entry, "wigeonsill_entry_claims_in_progress") == 0, "no claim is in progress")
    for name, value in [
        ("waiting", 0),
        ("in_progress", 0),
        ("agents_connected", 2),
        ("store_reachable", 1),
        ("configuration_revision", 1),
    ]:
        value_found = metric(entry, "wigeonsill_entry_" + name)
        check(value_found == value, "%s: %s" % (name, value_found))
    labels_template = 'tier="critical",outcome="%s",code="%d"'
    check(
        metric(entry, "wigeonsill_entry_requests_total", labels_template % ("completed", 0)) == 2,
        "completed critical requests are counted")
    check(
        metric(entry, "wigeonsill_entry_requests_total", labels_template % ("unknown", 4002)) == 1,
        "critical requests of unknown outcome are counted")
    check(metric(entry, "wigeonsill_entry_claims_total", 'result="Ok"') == 2, "claims are counted")
    check(metric(entry, "wigeonsill_entry_claims_total", 'result="Replayed"') == 1, "replayed answers are counted")
    for kind in ["reserve", "bind", "heartbeat"]:
        sent_bytes = metric(entry, "wigeonsill_entry_agent_sent_bytes_total", 'kind="%s"' % kind)
        check(sent_bytes > 0, "the entry counts bytes sent of kind " + kind)
        received_bytes = metric(language_agent, "wigeonsill_agent_entry_received_bytes_total", 'kind="%s"' % kind)
        check(received_bytes > 0, "the agent counts the bytes received")
    check(metric(language_agent, "wigeonsill_agent_entries_connected") == 1, "the agent counts its connected entry")
    check(metric(booking_agent, "wigeonsill_agent_runs_total", 'end="whole"') == 1, "complete runs are counted")
    check(
        metric(booking_agent, "wigeonsill_agent_runs_total", 'end="silent"') == 1,
        "runs without a complete answer are counted")
print("ok")
