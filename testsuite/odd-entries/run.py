"""Entries of other writers in the store: no process ends, sound targets stay in use, and no other server is used."""

import base64
import json
import pathlib
import tempfile
import threading
import time

from harness import check, wait_until
from platformdeployment import Client, Deployment
from platformstandin import Server, format_answer, read_request


class OtherServer(Server):
    """Has nothing to do with the deployment and answers each request with 200."""

    def __init__(self):
        self.received = []
        super().__init__()

    def serve(self, connection):
        data = b""
        while (request := read_request(connection, data)) is not None:
            self.received.append(request[:3])
            data = request[4]
            connection.sendall(format_answer(200, [("Content-Type", "application/json")], b'{"status":"up"}'))


def odd_values(sound, other):
    """Returns values that name no target. sound is a target's record, other the address of another server."""
    record = dict(sound, address=other, slots=2)
    text = json.dumps(record)
    values = [text.replace('"slots": 2', '"slots": ' + number) for number in (
        "99999999999999999999", "1e999", "-1", "0", "4294967296", "null", '"2"')]
    values += [text.replace('"seq": 1', '"seq": ' + number) for number in ("1e999", "[1]", "-5")]
    values += [text.replace(other, other.rsplit(":", 1)[0] + port) for port in (":65536", ":-1", ":0", ":", "", ":8e1")]
    values += [json.dumps({key: value for key, value in record.items() if key != left_out}) for left_out in record]
    values += [json.dumps(dict(record, **change)) for change in (
        {"state": "asleep"}, {"zone": "nowhere"}, {"version": 3}, {"born": "yesterday"}, {"coldLeftMs": {}})]
    values += [
        "", "null", "7", "[]", "{", text[:-1], text + "}", "\0" + text, "x" * 300_000,
        "[" * 200_000, "[" * 200_000 + "]" * 200_000, '{"a":' * 100_000 + "1" + "}" * 100_000,
        text.replace('"slots"', '"models": ' + "[" * 5_000 + "]" * 5_000 + ', "slots"')]
    return values


def put_bytes(store, key, value):
    """Writes bytes that are no text."""
    with store.changed:
        store.put(key, "")
        store.items[key] = (base64.b64encode(value).decode(),) + store.items[key][1:]


def check_alive(deployment, what):
    for node in deployment.nodes:
        check(node.popen.poll() is None, "no process ended: " + what)


def check_served(deployment, what, count=12):
    client = Client(deployment.entry)
    for _ in range(count):
        reply = client.exchange("/look/plain")
        check(reply.status == 200 and reply.body == b"whole answer", "%s: a call is served, got %s" % (what, reply.status))
        reply = client.exchange("/ask/x")
        check(reply.status == 200 and reply.complete, "%s: a stream is served, got %s" % (what, reply.status))
    check_alive(deployment, what)


def check_list_is_followed(deployment, what):
    """A target that is listed now is known a moment later, and is forgotten when it is removed."""
    service = deployment.plain_services[0]
    key = "servers/probe"
    deployment.store.put(key, dict(service.instance_record("plain"), address="127.0.0.9:9", state="draining"))
    known = lambda: any(target["id"] == "probe" for target in deployment.entry.state()["targets"])
    wait_until(known, what + ": a new entry is read")
    deployment.store.remove(key)
    wait_until(lambda: not known(), what + ": its removal is read")


def values_one_after_another(deployment, other):
    values = odd_values(deployment.plain_services[0].instance_record("plain"), other.address)
    for value in values:
        deployment.store.put("servers/odd-3", value)
        time.sleep(0.02)
    check_served(deployment, "odd values one after another", 4)
    for number, value in enumerate(values):
        deployment.store.put("servers/odd-%d" % number, value)
    put_bytes(deployment.store, "servers/odd-bytes", b"\xff\xfe\x00{")
    check_list_is_followed(deployment, "odd values at once")
    check_served(deployment, "odd values at once")
    started = deployment.start_entry("entry-odd", "127.0.0.2")
    check(Client(started).exchange("/look/plain").status == 200, "an entry that starts beside odd values serves")


def sound_to_odd_and_back(deployment, other):
    engine = deployment.engines[0]
    key = "servers/" + engine.instance
    usable = lambda: any(
        target["id"] == engine.instance and target["usable"] for target in deployment.entry.state()["targets"])
    for value in ("[" * 100_000, dict(engine.instance_record("engines"), slots="2"), "{}"):
        deployment.store.put(key, value)
        wait_until(lambda: not usable(), "a target whose entry turned odd is not used")
        check_served(deployment, "an entry turned odd", 2)
        deployment.store.put(key, engine.instance_record("engines"))
        wait_until(usable, "it is used again once its entry is sound")


def odd_keys(deployment, other):
    """Keys that mean something in a query or a header field, at the ends of pages."""
    store = deployment.store
    sound = deployment.plain_services[0].instance_record("plain")
    names = ["a b", "a+b", "a&prefix=x", "a%2", "a#b", "a\r\nTenant: other", "a=1;2", "\u00e9t\u00e9", "z" * 190]
    for name in names:
        store.put("servers/" + name, dict(sound, address=other.address, zone="nowhere"))
    injected = "i\r\nSmuggled: 1"
    store.put("servers/" + injected, deployment.plain_services[0].instance_record("plain"))
    for page_size in (1, 2, 3, 7):
        store.page_size = page_size
        node = deployment.start_entry("entry-pages-%d" % page_size, "127.0.0.%d" % (page_size + 2))
        expected = {engine.instance for engine in deployment.engines + deployment.plain_services}
        wait_until(lambda: expected <= {target["id"] for target in node.state()["targets"] if target["usable"]},
                   "pages of %d entries: all targets are known" % page_size)
        check(Client(node).exchange("/look/plain").status == 200, "pages of %d entries: calls are served" % page_size)
    store.page_size = 500
    check_served(deployment, "odd keys")
    for engine in deployment.engines + deployment.plain_services:
        for run in engine.runs:
            check("Smuggled" not in run["headers"], "no key became a header field")


def address_of_a_sound_target(deployment, other):
    """An entry of another id that names the address of a sound target, and a later start."""
    service = deployment.plain_services[0]
    claim = dict(service.instance_record("plain"), born=int(time.time() * 1000) + 3_600_000)
    running = True

    def write():
        while running:
            deployment.store.put("servers/claim", claim)
            for target in deployment.plain_services:
                deployment.store.put("servers/" + target.instance, target.instance_record("plain"))
            time.sleep(0.3)

    thread = threading.Thread(target=write, daemon=True)
    thread.start()
    time.sleep(1.5)
    client = Client(deployment.entry)
    before = len(service.runs)
    statuses = []
    for _ in range(200):
        statuses.append(client.exchange("/look/plain").status)
        time.sleep(0.02)
    running = False
    thread.join()
    deployment.store.remove("servers/claim")
    check(statuses.count(200) >= 190, "calls are served beside it: %d of 200" % statuses.count(200))
    check(len(service.runs) - before >= 40, "the sound target is used: %d of 200" % (len(service.runs) - before))


def odd_configuration(deployment, other):
    before = deployment.entry.state()["configuration"]
    for value in ("[" * 200_000, "{}", '{"version":1e999}', '{"version":-1}', '{"version":"9"}', ""):
        deployment.store.put("op/config", value)
        time.sleep(1.2)  # More than the entry's interval between two watch calls.
        check(deployment.entry.state()["configuration"] == before, "an odd configuration is not in force: " + value[:30])
    check_served(deployment, "odd configurations", 4)


def sound_record_of_another_server(deployment, other):
    """A record like a target's names another server. It is sent requests, but its answers reach no caller."""
    service = deployment.plain_services[0]
    deployment.store.put("servers/stranger", dict(service.instance_record("plain"), address=other.address))
    wait_until(lambda: any(target["id"] == "stranger" for target in deployment.entry.state()["targets"]),
               "the record is read")
    client = Client(deployment.entry)
    for _ in range(60):
        for path in ("/look/plain", "/book/plain"):
            reply = client.exchange(path)
            check(reply.status != 200 or "Server-Stamp" in reply.headers, "no success without a signature reaches a caller")
    check(other.received, "it was sent requests")
    deployment.store.remove("servers/stranger")


def main():
    with tempfile.TemporaryDirectory() as folder, Deployment(pathlib.Path(folder)) as deployment:
        other = OtherServer()
        cases = (values_one_after_another, sound_to_odd_and_back, odd_keys, address_of_a_sound_target, odd_configuration)
        for case in cases:
            print(case.__name__, flush=True)
            case(deployment, other)
            check(not other.received, "no request reached another server: %s" % other.received[:2])
        sound_record_of_another_server(deployment, other)
        other.close()
    print("odd entries: all checks passed")


main()
