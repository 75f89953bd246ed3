"""Changes of the configuration: check, merge, conflict, lost answers and a store that is down."""

import json
import pathlib
import shutil
import subprocess

from harness import BIN, ROOT, Cluster, ask, check, wait_until


def copy_of(cluster, name):
    folder = cluster.folder / name
    shutil.copytree(ROOT / "examples/consortium", folder)
    return folder


def replace(folder, file, old, new):
    path = folder / file
    text = path.read_text()
    check(old in text, file + " has the text to replace")
    path.write_text(text.replace(old, new))


def apply(cluster, folder, *options):
    """Runs apply; returns its exit status and its JSON report."""
    store = "--store=" + cluster.store.address()
    done = cluster.control("apply", str(folder), store, "--json", "--no-wait", *options)
    check(done.stdout, "apply reports: " + done.stderr)
    return done.returncode, json.loads(done.stdout)


def history(cluster):
    done = cluster.control("history", "--store=" + cluster.store.address(), "--json")
    return json.loads(done.stdout)["history"]


def faulty_declarations(cluster):
    folder = copy_of(cluster, "faulty")
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 400')
    replace(folder, "templates/tour-operator.json", '"camp-booking", "deadlineMs": 5000', '"gone"')
    done = cluster.control("check", str(folder), "--json")
    check(done.returncode == 2, "faulty declarations have an exit status of their own")
    found = {
        (pathlib.Path(row["file"]).name, row["line"], row["key"], row["code"])
        for row in json.loads(done.stdout)["problems"]
    }
    check(("ganga-tours.json", 6, "values.share", 5006) in found, "the organisation's own line")
    pool = ("tour-operator.json", 17, "organisation.services.look-up-reservation.pool", 5009)
    check(pool in found, "the template's own line")


def racing_operators(cluster):
    first, second = copy_of(cluster, "first"), copy_of(cluster, "second")
    status, report = apply(cluster, first, "--record")
    check((status, report["result"], report["revision"]) == (0, "stored", 1), "the first apply")
    status, report = apply(cluster, first)
    check((status, report["result"], report["revision"]) == (0, "unchanged", 1), "idempotent")

    replace(first, "organisations/ganga-tours.json", '"share": 4', '"share": 5')
    status, report = apply(cluster, first, "--record")
    check((status, report["revision"]) == (0, 2), "one operator changes one organisation")

    replace(second, "organisations/sangam-camps.json", "15000", "16000")
    status, report = apply(cluster, second)
    check(status == 4, "without a base nothing is overwritten")
    status, report = apply(cluster, second, "--base=1")
    check((status, report["merged"], report["revision"]) == (0, True, 3), "another one merges")
    changed = {row["name"] for row in report["differences"]}
    check(changed == {"sangam-camps"}, "and leaves the first change alone")

    replace(second, "organisations/ganga-tours.json", '"share": 4', '"share": 9')
    status, report = apply(cluster, second, "--base=1")
    check((status, report["result"]) == (4, "conflict"), "the same organisation is a conflict")
    check(report["conflicts"] == ["organisation ganga-tours"], "which is named")
    share = [row for row in report["differences"] if row["parameter"] == "weight"]
    check([(row["before"], row["after"]) for row in share] == [("5", "9")], "with the difference")
    check([row["revision"] for row in history(cluster)] == [3, 2, 1], "nothing was stored")


def operators_at_once(cluster):
    folder = copy_of(cluster, "at-once")
    check(apply(cluster, folder, "--base=3")[0] == 0, "a common start")
    base = history(cluster)[0]["revision"]
    names = ["op-%d" % number for number in range(6)]
    running = []
    for name in names:
        own = copy_of(cluster, "at-once-" + name)
        text = '{"organisation": "%s", "template": "tour-operator", "tokens": ["t-%s"]}'
        (own / "organisations" / (name + ".json")).write_text(text % (name, name))
        command = [BIN / "wigeonsillctl", "apply", own, "--store=" + cluster.store.address()]
        command += ["--base=%d" % base, "--no-wait"]
        running.append(subprocess.Popen(command, stdout=subprocess.DEVNULL))
    check([process.wait(60) for process in running] == [0] * len(names), "all are accepted")
    check(history(cluster)[0]["revision"] == base + len(names), "each as a revision of its own")


def lost_answers(cluster):
    folder = copy_of(cluster, "lost")
    before = history(cluster)[0]["revision"]
    cluster.fault(cluster.store, loseAnswers=1000)
    status, report = apply(cluster, folder, "--base=%d" % before, "--change=c-lost", "--timeout=20")
    cluster.fault(cluster.store, loseAnswers=0)
    check((status, report["result"]) == (0, "stored"), "lost answers are settled")
    check([row["changeId"] for row in history(cluster)].count("c-lost") == 1, "and stored once")
    status, report = apply(cluster, folder, "--base=%d" % before, "--change=c-lost")
    check((status, report["result"]) == (0, "stored"), "repeating the change says the same")


def store_down(cluster, entry):
    folder = copy_of(cluster, "down")
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 7')
    revision = history(cluster)[0]["revision"]
    cluster.fault(cluster.store, down=True)
    status, report = apply(cluster, folder, "--base=%d" % revision, "--timeout=1")
    check((status, report["result"], report["code"]) == (1, "failed", 6001), "down: nothing stored")
    check(ask(entry, "answer-leader", "x", max_tokens=1).status == 200, "the entry goes on")
    cluster.fault(cluster.store, down=False)
    check(apply(cluster, folder, "--base=%d" % revision)[0] == 0, "the same apply works later")
    wait_until(
        lambda: entry.state()["configurationRevision"] == revision + 1, "the entry catches up"
    )


def configuration_of(entry):
    return entry.state()["configuration"]


def spreading(cluster):
    regions = ["lomb-ovest", "lomb-ovest", "lomb-ovest", "veneto-est", "veneto-est"]
    entries = [cluster.entry("s-%d" % i, region=region) for i, region in enumerate(regions)]
    revision = history(cluster)[0]["revision"]
    folder = copy_of(cluster, "spread")
    command = ["apply", str(folder), "--store=" + cluster.store.address(), "--base=%d" % revision]
    done = cluster.control(*command)
    check(done.returncode == 0, "apply waits for the instances: " + done.stderr)
    lines = done.stdout.splitlines()
    check(lines[0] == "stored: revision %d is accepted" % (revision + 1), "stored comes first")
    check(lines[1:] == ["in force on 6 of 6 instances", "in force everywhere"], "then everywhere")
    wait_until(
        lambda: sum(configuration_of(entry)["watcher"] for entry in entries) <= 2,
        "only the watchers of the regions call the store",
    )

    # The store goes down right after a swap; a new process then starts from its seeds.
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 6')
    base = "--base=%d" % (revision + 1)
    check(apply(cluster, folder, base)[0] == 0, "accepted")
    newest = revision + 2
    wait_until(lambda: configuration_of(entries[0])["revision"] == newest, "one process has it")
    cluster.fault(cluster.store, down=True)
    for entry in entries:
        wait_until(lambda: configuration_of(entry)["revision"] == newest, "peers spread it")
    seeds = {"seeds": [entries[0].address("peers")]}
    late = cluster.start(
        "late",
        "wigeonsill-entry",
        {
            "instance": "late",
            "region": "veneto-est",
            "failureDomain": "c",
            "store": cluster.store.address(),
            "instanceList": cluster.store.address(),
            "peers": seeds,
        },
    )
    wait_until(lambda: configuration_of(late)["revision"] == newest, "a start without the store")
    entries[0].kill()
    wait_until(lambda: configuration_of(late)["cutOff"], "a process without any contact says so")
    check(configuration_of(late)["revision"] == newest, "and keeps its configuration")
    cluster.fault(cluster.store, down=False)
    wait_until(lambda: not configuration_of(late)["cutOff"], "contact returns")
    for entry in [late, *entries[1:]]:
        check(entry.stop() == 0, entry.name + " ends gracefully")


with Cluster() as whole:
    faulty_declarations(whole)
    racing_operators(whole)
    operators_at_once(whole)
    lost_answers(whole)
    engine = whole.standin("engine", role="engine", stepMs=5)
    whole.agent("agent-1", engine, "camp-language")
    front = whole.entry("entry-1")
    whole.wait_ready(front)
    store_down(whole, front)
    spreading(whole)
print("ok")
