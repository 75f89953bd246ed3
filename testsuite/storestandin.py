"""Stand-in of the users' platform's store."""

import base64
import json
import threading
import time
import urllib.parse

from standinserver import Server, format_answer, read_request


class Store(Server):
    """Stores keys with revisions and serves reads, ranges, watches, transactions and leases.

    mode is "ok", "busy" (answers 503 to everything) or "silent" (holds back every answer).
    go_back() sets it to an older copy of itself; the era in all its answers then rises by one.
    fault(), if set, is called with method and path of each call and returns what happens to it: None, a
    status that is answered without doing anything, "lost" (executed, and the connection ends instead of
    the answer), a number of seconds in a float that the answer takes after the execution, or ("late",
    seconds): the connection ends, and the call is executed that much later.
    """

    lease_minimum_ms = 1000

    def __init__(self):
        self.items = {}  # key: (value, revision, revision of its creation, lease or 0)
        self.removed = {}
        self.revision = 1
        self.era = 1
        self.copies = []
        self.leases = {}  # id: [when it lapses, time in milliseconds]
        self.lease_count = 0
        self.calls = []  # (when, method, path with its query) of each call
        self.changed = threading.Condition()
        self.mode = "ok"
        self.fault = None
        self.page_size = 500
        super().__init__()

    def put(self, key, value):
        with self.changed:
            text = value if isinstance(value, str) else json.dumps(value)
            self.write([(key, base64.b64encode(text.encode()).decode(), 0)], [])

    def remove(self, key):
        with self.changed:
            self.write([], [key])

    def write(self, puts, removals):
        """Makes changes at one revision. The caller holds the lock."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.removed.pop(key, None)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.removed[key] = self.revision
        self.keep_copy()
        self.changed.notify_all()

    def order_rollout(self, service, target, duration_s):
        """Writes an operator's order."""
        self.put("op/rollout/" + service, {"backend": service, "target": target, "durationS": duration_s})

    def value(self, key):
        """Returns the JSON value of a key, None when it does not exist."""
        with self.changed:
            self.end_lapsed_leases()
            return json.loads(base64.b64decode(self.items[key][0])) if key in self.items else None

    def keep_copy(self):
        self.copies.append((time.monotonic(), dict(self.items), dict(self.removed), self.revision))

    def go_back(self, seconds):
        """Forgets what was written in the last seconds: values, removals and revisions."""
        with self.changed:
            moment = time.monotonic() - seconds
            _, items, removed, self.revision = [copy for copy in self.copies if copy[0] <= moment][-1]
            self.items, self.removed = dict(items), dict(removed)
            self.copies = [copy for copy in self.copies if copy[0] <= moment]
            self.era += 1
            self.changed.notify_all()

    def end_lapsed_leases(self):
        """Ends the leases whose time is over, and keys of leases that are not there. The caller holds the lock."""
        now = time.monotonic()
        self.leases = {lease: record for lease, record in self.leases.items() if record[0] > now}
        keys = [key for key, item in self.items.items() if item[3] and item[3] not in self.leases]
        if keys:
            self.write([], keys)

    def records(self, prefix, after=0):
        return [
            {"key": key, "value": value, "rev": revision, "createdRev": created, "lease": lease}
            for key, (value, revision, created, lease) in sorted(self.items.items())
            if key.startswith(prefix) and revision > after
        ]

    def changes_after(self, prefix, after):
        return self.records(prefix, after) + [
            {"key": key, "rev": revision, "removed": True}
            for key, revision in sorted(self.removed.items())
            if key.startswith(prefix) and revision > after
        ]

    def reply(self, method, target, body):
        url = urllib.parse.urlparse(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            self.end_lapsed_leases()
            if method == "POST" or method == "DELETE":
                return self.reply_to_change(method, url.path, json.loads(body or b"{}"))
            if url.path == "/kv-key":
                records = [record for record in self.records(query["key"]) if record["key"] == query["key"]]
                if not records:
                    return 404, {}
                return 200, dict(records[0], currentRev=self.revision)
            if url.path == "/kv-range":
                records = [record for record in self.records(query["prefix"]) if record["key"] > query.get("after", "")]
                return 200, {
                    "entries": records[:self.page_size], "hasMore": len(records) > self.page_size,
                    "currentRev": self.revision}
            if int(query["after"]) > self.revision:
                return 410, {}
            deadline = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                records = self.changes_after(query["prefix"], int(query["after"]))
                remaining_s = deadline - time.monotonic()
                if records or remaining_s <= 0:
                    return 200, {"events": records, "currentRev": self.revision}
                self.changed.wait(remaining_s)

    def reply_to_change(self, method, path, body):
        """Executes a call that changes something. The caller holds the lock."""
        call, _, lease = path[1:].partition("/")
        if (method, call) == ("POST", "kv-txn"):
            return self.execute_transaction(body)
        if (method, call) == ("POST", "kv-lease"):
            if body["ttlMs"] < self.lease_minimum_ms:
                return 400, {}
            self.lease_count += 1
            self.leases[self.lease_count] = [time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"]]
            return 200, {"lease": self.lease_count, "ttlMs": body["ttlMs"]}
        record = self.leases.get(int(lease)) if lease.isdigit() else None
        if (method, call) not in (("POST", "kv-keep"), ("DELETE", "kv-lease-end")) or record is None:
            return 404, {}
        if call == "kv-keep":
            record[0] = time.monotonic() + record[1] / 1000
            return 200, {"lease": int(lease), "ttlMs": record[1]}
        del self.leases[int(lease)]
        self.end_lapsed_leases()
        return 200, {}

    def execute_transaction(self, body):
        expected = body.get("expect", [])
        if any(row["rev"] != (self.items[row["key"]][1] if row["key"] in self.items else 0) for row in expected):
            entries = [record for row in expected for record in self.records(row["key"]) if record["key"] == row["key"]]
            return 412, {"entries": entries, "currentRev": self.revision}
        puts = [(put["key"], put["value"], put.get("lease", 0)) for put in body.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        for _, value, _ in puts:
            base64.b64decode(value, validate=True)
        self.write(puts, body.get("remove", []))
        return 200, {"rev": self.revision}

    def serve(self, connection):
        data = b""
        while True:
            request = read_request(connection, data)
            if request is None:
                return
            method, target, _, body, data = request
            self.calls.append((time.monotonic(), method, target))
            fault = self.fault(method, target.split("?")[0]) if self.fault else None
            if isinstance(fault, tuple):
                threading.Timer(fault[1], self.reply, (method, target, body)).start()
                return
            if self.mode == "busy" and method != "GET":
                fault = 503  # without having done anything
            status, answer = (fault, {}) if isinstance(fault, int) else self.reply(method, target, body)
            if fault == "lost":
                return
            if isinstance(fault, float):
                time.sleep(fault)
            while self.mode == "silent":
                time.sleep(0.05)
            if self.mode == "busy":
                status, answer = 503, {}
            headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
            connection.sendall(format_answer(status, headers, json.dumps(answer).encode()))
