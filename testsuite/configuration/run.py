"""Configuration changes: validation, merges, conflicts, lost answers and an unavailable store."""

import json
import pathlib
import shutil
import subprocess

from harness import BIN, ROOT, Cluster, send_completion, check, wait_until


def copy_of(cluster, name):
    folder = cluster.folder / name
    shutil.copytree(ROOT / "examples/consortium", folder)
    return folder


def replace(folder, file, old, new):
    path = folder / file
    text = path.read_text()
    check(old in text, file + " contains the text to replace")
    path.write_text(text.replace(old, new))


def apply(cluster, folder, *options):
    """Runs "wigeonsillctl apply" and returns its exit status and its JSON report."""
    store = "--store=" + cluster.store.address()
    result = cluster.run_control("apply", str(folder), store, "--json", "--no-wait", *options)
    check(result.stdout, "apply writes a report: " + result.stderr)
    return result.returncode, json.loads(result.stdout)


def history(cluster):
    result = cluster.run_control("history", "--store=" + cluster.store.address(), "--json")
    return json.loads(result.stdout)["history"]


def invalid_declarations(cluster):
    folder = copy_of(cluster, "faulty")
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 400')
    replace(folder, "templates/tour-operator.json", '"camp-booking", "deadlineMs": 5000', '"gone"')
    result = cluster.run_control("check", str(folder), "--json")
    check(result.returncode == 2, "check exits with status 2 on invalid declarations")
    found = {
        (pathlib.Path(record["file"]).name, record["line"], record["key"], record["code"])
        for record in json.loads(result.stdout)["problems"]
    }
    check(
        ("ganga-tours.json", 6, "values.share", 5006) in found,
        "the problem in the organisation is reported at its file and line")
    expected_problem = ("tour-operator.json", 17, "organisation.services.look-up-reservation.pool", 5009)
    check(expected_problem in found, "the problem in the template is reported at its file and line")


def merges_and_conflicts(cluster):
    first, second = copy_of(cluster, "first"), copy_of(cluster, "second")
    status, report = apply(cluster, first, "--record")
    check(
        (status, report["result"], report["revision"]) == (0, "stored", 1),
        "the first apply is stored as revision 1")
    status, report = apply(cluster, first)
    check((status, report["result"], report["revision"]) == (0, "unchanged", 1), "a repeated apply changes nothing")

    replace(first, "organisations/ganga-tours.json", '"share": 4', '"share": 5')
    status, report = apply(cluster, first, "--record")
    check((status, report["revision"]) == (0, 2), "the first operator's change is stored as revision 2")

    replace(second, "organisations/sangam-camps.json", "15000", "16000")
    status, report = apply(cluster, second)
    check(status == 4, "apply without a base revision is refused")
    status, report = apply(cluster, second, "--base=1")
    check(
        (status, report["merged"], report["revision"]) == (0, True, 3),
        "the second operator's change is merged as revision 3")
    changed = {record["name"] for record in report["differences"]}
    check(changed == {"sangam-camps"}, "the merge leaves the first operator's change as it is")

    replace(second, "organisations/ganga-tours.json", '"share": 4', '"share": 9')
    status, report = apply(cluster, second, "--base=1")
    check((status, report["result"]) == (4, "conflict"), "a change of the same organisation is a conflict")
    check(report["conflicts"] == ["organisation ganga-tours"], "the report names the conflicting organisation")
    weight_changes = [record for record in report["differences"] if record["parameter"] == "weight"]
    check(
        [(record["before"], record["after"]) for record in weight_changes] == [("5", "9")],
        "the report gives the weight before and after")
    check([record["revision"] for record in history(cluster)] == [3, 2, 1], "the conflicting change is not stored")


def concurrent_operators(cluster):
    folder = copy_of(cluster, "at-once")
    check(apply(cluster, folder, "--base=3")[0] == 0, "the common base revision is stored")
    base = history(cluster)[0]["revision"]
    names = ["op-%d" % number for number in range(6)]
    processes = []
    for name in names:
        operator_folder = copy_of(cluster, "at-once-" + name)
        text = '{"organisation": "%s", "template": "tour-operator", "tokens": ["t-%s"]}'
        (operator_folder / "organisations" / (name + ".json")).write_text(text % (name, name))
        command = [BIN / "wigeonsillctl", "apply", operator_folder, "--store=" + cluster.store.address()]
        command += ["--base=%d" % base, "--no-wait"]
        processes.append(subprocess.Popen(command, stdout=subprocess.DEVNULL))
    check([process.wait(60) for process in processes] == [0] * len(names), "all concurrent changes are accepted")
    check(history(cluster)[0]["revision"] == base + len(names), "each change is stored as its own revision")


def lost_store_answers(cluster):
    folder = copy_of(cluster, "lost")
    before = history(cluster)[0]["revision"]
    cluster.fault(cluster.store, loseAnswers=1000)
    status, report = apply(cluster, folder, "--base=%d" % before, "--change=c-lost", "--timeout=20")
    cluster.fault(cluster.store, loseAnswers=0)
    check((status, report["result"]) == (0, "stored"), "a change whose answers were lost is reported as stored")
    check([record["changeId"] for record in history(cluster)].count("c-lost") == 1, "the change is stored once")
    status, report = apply(cluster, folder, "--base=%d" % before, "--change=c-lost")
    check((status, report["result"]) == (0, "stored"), "repeating the change gives the same result")


def store_unavailable(cluster, entry):
    folder = copy_of(cluster, "down")
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 7')
    revision = history(cluster)[0]["revision"]
    cluster.fault(cluster.store, down=True)
    status, report = apply(cluster, folder, "--base=%d" % revision, "--timeout=1")
    check(
        (status, report["result"], report["code"]) == (1, "failed", 6001),
        "apply fails with its result code while the store is down")
    check(
        send_completion(entry, "answer-leader", "x", max_tokens=1).status == 200,
        "the entry serves requests while the store is down")
    cluster.fault(cluster.store, down=False)
    check(apply(cluster, folder, "--base=%d" % revision)[0] == 0, "the same apply succeeds after the store is back")
    wait_until(
        lambda: entry.state()["configurationRevision"] == revision + 1, "the entry has the new revision"
    )


def configuration_of(entry):
    return entry.state()["configuration"]


def propagation(cluster):
    regions = ["lomb-ovest", "lomb-ovest", "lomb-ovest", "veneto-est", "veneto-est"]
    entries = [cluster.entry("s-%d" % i, region=region) for i, region in enumerate(regions)]
    revision = history(cluster)[0]["revision"]
    folder = copy_of(cluster, "spread")
    command = ["apply", str(folder), "--store=" + cluster.store.address(), "--base=%d" % revision]
    result = cluster.run_control(*command)
    check(result.returncode == 0, "apply waits for the instances: " + result.stderr)
    lines = result.stdout.splitlines()
    check(
        lines[0] == "stored: revision %d is accepted" % (revision + 1),
        "the first line reports the stored revision")
    check(
        lines[1:] == ["in force on 6 of 6 instances", "in force everywhere"],
        "the next lines report the revision in force everywhere")
    wait_until(
        lambda: sum(configuration_of(entry)["watcher"] for entry in entries) <= 2,
        "at most two entries, the watchers of the regions, call the store",
    )

    # The store fails as soon as one entry has a new revision. The other entries get it from their
    # peers, and a new process gets it from its seeds.
    replace(folder, "organisations/ganga-tours.json", '"share": 4', '"share": 6')
    base = "--base=%d" % (revision + 1)
    check(apply(cluster, folder, base)[0] == 0, "the change is accepted")
    latest_revision = revision + 2
    wait_until(lambda: configuration_of(entries[0])["revision"] == latest_revision, "one entry has the new revision")
    cluster.fault(cluster.store, down=True)
    for entry in entries:
        wait_until(
            lambda: configuration_of(entry)["revision"] == latest_revision,
            "each entry has the new revision, from its peers")
    seeds = {"seeds": [entries[0].address("peers")]}
    late_entry = cluster.start(
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
    wait_until(
        lambda: configuration_of(late_entry)["revision"] == latest_revision,
        "an entry started without the store gets the revision from its seeds")
    entries[0].kill()
    wait_until(
        lambda: configuration_of(late_entry)["cutOff"],
        "an entry without store and peers reports that it is cut off")
    check(
        configuration_of(late_entry)["revision"] == latest_revision,
        "the entry that is cut off keeps its configuration")
    cluster.fault(cluster.store, down=False)
    wait_until(
        lambda: not configuration_of(late_entry)["cutOff"],
        "the entry is no longer cut off after the store is back")
    for entry in [late_entry, *entries[1:]]:
        check(entry.stop() == 0, entry.name + " ends gracefully")


with Cluster() as cluster:
    invalid_declarations(cluster)
    merges_and_conflicts(cluster)
    concurrent_operators(cluster)
    lost_store_answers(cluster)
    engine = cluster.standin("engine", role="engine", stepMs=5)
    cluster.agent("agent-1", engine, "camp-language")
    entry = cluster.entry("entry-1")
    cluster.wait_ready(entry)
    store_unavailable(cluster, entry)
    propagation(cluster)
print("ok")
