"""One request followed through the logs of entry and agent, and what the metrics say of it."""

import json
import re

from faults import BOOKING, LANGUAGE
from harness import ROOT, Cluster, ask, book, call, check, wait_until

LOG = {"level": "debug", "json": True}


def lines_of(process, request):
    """The process's log lines about a request; each line must be a JSON object."""
    whole = process.log.read_text().rpartition("\n")[0]
    rows = [json.loads(line) for line in whole.splitlines()]
    check(rows, process.name + " logs")
    for row in rows:
        check(set(row) >= {"time_us", "level", "part", "message"}, "fields of " + str(row))
        check(row["message"].endswith("."), "a sentence: " + row["message"])
    return [row for row in rows if row.get("request") == request]


def metric(process, name, labels=""):
    text = call(process.address("admin"), "GET", "/metrics").body.decode()
    for line in text.splitlines():
        check(re.match(r"(# TYPE \w+ \w+|\w+({[^}]*})? \S+)$", line), "Prometheus text: " + line)
        if line.startswith(name + ("{" + labels + "} " if labels else " ")):
            return float(line.rsplit(" ", 1)[1])
    return None


def check_followed(entry, agent, answer, end):
    request = answer.headers["Wigeonsill-Request-Id"]
    # The last line comes after the answer.
    wait_until(lambda: len(lines_of(entry, request)) > 1, "the entry's last line")
    wait_until(lambda: len(lines_of(agent, request)) > 1, "the agent's last line")
    at_entry = [row["message"].split(" ")[0] for row in lines_of(entry, request)]
    at_agent = [row["message"].split(" ")[0] for row in lines_of(agent, request)]
    check(at_entry == ["Took", "Ended"], "the entry's lines: " + str(at_entry))
    check(at_agent == ["Sending", "Ended"], "the agent's lines: " + str(at_agent))
    check(lines_of(entry, request)[1]["message"].endswith(": " + end + "."), "and how it ended")


with Cluster() as cluster:
    engine = cluster.standin("engine", role="engine", stepMs=5)
    plain = cluster.standin("plain", role="plain")
    language = cluster.agent("agent-1", engine, LANGUAGE, log=LOG)
    booking = cluster.agent("agent-2", plain, BOOKING, log=LOG)
    entry = cluster.entry("entry-1", log=LOG)
    cluster.apply(ROOT / "examples/consortium")
    cluster.wait_ready(entry, agents=2)

    check_followed(entry, language, ask(entry, "answer-leader", "x", max_tokens=3), "Ok")
    check_followed(entry, booking, book(entry, "berth-1"), "Ok")
    check(book(entry, "berth-1").status == 200, "a repeat is answered")
    cluster.fault(plain, breakAfterRun=1)
    broken = book(entry, "berth-2")
    check(broken.outcome() == "unknown", "a booking whose answer broke off")
    check_followed(entry, booking, broken, "TargetSilent")
    levels = [row["level"] for row in lines_of(entry, broken.headers["Wigeonsill-Request-Id"])]
    check(levels == ["DEBUG", "INFO"], "an end that is not whole shows without debug lines")

    wait_until(lambda: metric(entry, "wigeonsill_entry_claims_in_progress") == 0, "claims settle")
    for name, value in [
        ("waiting", 0),
        ("in_progress", 0),
        ("agents_connected", 2),
        ("store_reachable", 1),
        ("configuration_revision", 1),
    ]:
        found = metric(entry, "wigeonsill_entry_" + name)
        check(found == value, "%s: %s" % (name, found))
    ended = 'tier="critical",outcome="%s",code="%d"'
    check(metric(entry, "wigeonsill_entry_requests_total", ended % ("completed", 0)) == 2, "bookings")
    check(metric(entry, "wigeonsill_entry_requests_total", ended % ("unknown", 4002)) == 1, "broken")
    check(metric(entry, "wigeonsill_entry_claims_total", 'result="Ok"') == 2, "claims")
    check(metric(entry, "wigeonsill_entry_claims_total", 'result="Replayed"') == 1, "replays")
    for kind in ["reserve", "bind", "heartbeat"]:
        sent = metric(entry, "wigeonsill_entry_agent_sent_bytes_total", 'kind="%s"' % kind)
        check(sent > 0, "bytes of " + kind)
        taken = metric(language, "wigeonsill_agent_entry_received_bytes_total", 'kind="%s"' % kind)
        check(taken > 0, "the same at the agent")
    check(metric(language, "wigeonsill_agent_entries_connected") == 1, "entries")
    check(metric(booking, "wigeonsill_agent_runs_total", 'end="whole"') == 1, "runs")
    check(metric(booking, "wigeonsill_agent_runs_total", 'end="silent"') == 1, "silent runs")
print("ok")
