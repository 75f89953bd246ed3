"""Checks the promises of the platform's pages on what callers and engines saw."""

import collections
import re

from callers import PROMISES
from deployment import (
    CONFIG_APPLY_S, CONTACT_S, DOWNGRADE_S, DRAIN_S, QUOTA_EXCESS, QUOTA_SLACK, QUOTA_WINDOW_S, RECOVERY_S,
    RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S, REVOKE_S, ROUTES)
from limitedrates import WINDOW_S, allowed, most_in_a_window

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)/(\d+)/(\S+)\n\n")
SLOWED_FACTOR = 8  # how much longer a slowed machine may take until it keeps to a configuration
DENIED_ALLOWED, DENIED_SHARE = 5, 1 / 500
RUNS_OVER_BUDGET = 3
RETRY_AFTER_SLACK_S = 0.5
BOUND_STEP_S = 0.25
RETRY_AFTER_ARRIVALS = 2
LIMIT_TOLD_S = 0.5  # after an answer that names a limit, from which on its process is counted
LATE_REQUESTS_WITH_PART = 3
LATE_SENDS_OF_REQUEST = 3
FEWEST_FOR_SHARE = 20
FEWEST_TAKEN_UP = 12

Finding = collections.namedtuple("Finding", "promise request text")


class Promises:
    """attempts is what callers saw; recovered_at is the end of the last fault."""

    def __init__(self, deployment, attempts, recovered_at):
        self.deployment = deployment
        self.operator = deployment.operator
        self.journal = deployment.journal
        self.disturbances = deployment.disturbances
        self.recovered_at = recovered_at
        self.attempts = {attempt.id: attempt for attempt in attempts if attempt.sent_at is not None}
        self.runs = collections.defaultdict(list)
        for run in self.journal.runs:
            self.runs[run.attempt].append(run)
        self.findings = [Finding(*broken) for broken in deployment.broken]

    def add(self, promise, request, text, *values):
        self.findings.append(Finding(promise, request, text % values if values else text))

    def check(self):
        for attempt in self.attempts.values():
            runs = self.runs[attempt.id]
            self.check_runs(attempt, runs)
            self.check_answer(attempt, runs)
            self.check_keys(attempt, runs)
            self.check_loss(attempt, runs)
        for request in set(self.runs) - set(self.attempts):
            self.add("UNASKED", request, "no caller sent this request")
        self.check_versions()
        self.check_taken_up()
        self.check_denials()
        self.check_attempts()
        self.check_drains()
        self.check_leaving()
        self.check_pauses()
        for limit in self.journal.limits:
            self.check_limit(*limit)
        self.check_configurations()
        self.check_retries()
        self.check_quota()
        self.check_recovery()
        for part in sorted(self.journal.crashing_parts):
            self.check_crashing_part(part)
        for request in sorted(self.journal.crashing_requests):
            self.check_crashing_request(request)
        self.check_held()
        return self.findings

    def check_runs(self, attempt, runs):
        if attempt.kind in ("book", "draft"):
            if len(runs) > 1:
                self.add("TWICE", attempt.id, "ran at %s", [run.stamp for run in runs])
            if runs and attempt.complete and attempt.status in PROMISES:
                self.add("REFUSED", attempt.id, "answered %d, but ran at %s", attempt.status, runs[0].stamp)
        for run in runs:
            method, target, body = run.request
            if (method, target) != attempt.request[:2] or body not in (None, attempt.request[2]):
                self.add("UNASKED", attempt.id, "%r reached %s as %r", attempt.request, run.stamp, run.request)
            if attempt.tokens and run.headers.get("Token-Count") != "%d,%d" % attempt.tokens:
                self.add("UNASKED", attempt.id, "Token-Count is %s", run.headers.get("Token-Count"))

    def check_answer(self, attempt, runs):
        stamp = attempt.headers.get("Server-Stamp")
        run = next((run for run in runs if run.stamp == stamp), None)
        if attempt.status is None or (stamp is None and attempt.status >= 300):
            return
        if run is None:
            self.add("MIXED", attempt.id, "status %d with stamp %s, but ran at %s", attempt.status, stamp,
                     [run.stamp for run in runs])
        elif attempt.status != run.status:
            self.add("MIXED", attempt.id, "status %d, but %s answered %s", attempt.status, stamp, run.status)
        elif attempt.kind in ("ask", "draft") and run.status == 200:
            self.check_stream(attempt, runs)
        elif attempt.complete and (attempt.body != run.body or not run.whole) and not self.cut_by_end(attempt):
            self.add("MIXED", attempt.id, "%d bytes look complete; %s sent %d, %s", len(attempt.body), stamp,
                     len(run.body), "whole" if run.whole else "not whole")
        elif not run.body.startswith(attempt.body):
            self.add("MIXED", attempt.id, "%r is not the start of the answer of %s", attempt.body[:200], stamp)

    def check_stream(self, attempt, runs):
        stamps = [run.stamp for run in runs]
        expected, position, seen = attempt.first_event, 0, []
        for match in EVENT.finditer(attempt.body):
            number, request, data, stamp = match.groups()
            if match.start() != position or int(number) != expected or int(data) != expected \
                    or request.decode() != attempt.id or stamp.decode() not in stamps:
                break
            if not seen or seen[-1] != stamp.decode():
                seen.append(stamp.decode())
            position = match.end()
            expected += 1
        rest = attempt.body[position:]
        starts = [b"id: %d\ndata: %s/%d/%s\n\n" % (expected, attempt.id.encode(), expected, stamp.encode())
                  for stamp in stamps]
        last = int(attempt.target.split("n=")[1])
        if rest and (attempt.complete or not any(start.startswith(rest) for start in starts)):
            self.add("ORDER", attempt.id, "after event %d of %d comes %r", expected - 1, last, rest[:120])
        elif attempt.complete and expected <= last and not self.cut_by_end(attempt):
            self.add("ORDER", attempt.id, "ends as complete after event %d of %d", expected - 1, last)
        if len(set(seen)) != len(seen) or (attempt.kind == "draft" and len(seen) > 1):
            self.add("ORDER", attempt.id, "pieces of the runs %s are joined", seen)
        if seen and seen[0] != attempt.headers["Server-Stamp"] and len(runs) == 1:
            self.add("MIXED", attempt.id, "stamp %s, events of %s", attempt.headers["Server-Stamp"], seen)

    def check_versions(self):
        """A stream holds events of one software version, over all tries of its caller."""
        versions = collections.defaultdict(set)
        for attempt in self.attempts.values():
            stamps = {match.group(4).decode() for match in EVENT.finditer(attempt.body)}
            versions[attempt.origin or attempt.id] |= {
                run.version for run in self.runs[attempt.id] if run.stamp in stamps}
        for request, of_stream in versions.items():
            if len(of_stream) > 1:
                self.add("ORDER", request, "the stream has events of versions %s", sorted(of_stream))

    def check_taken_up(self):
        """Streams that callers take up go on at least half as often as new ones begin."""
        asked = [attempt for attempt in self.attempts.values()
                 if attempt.kind == "ask" and attempt.key == "key-stable" and attempt.entry is not None
                 and attempt.status not in (401, 429) and self.disturbances.in_touch(attempt.entry, attempt.sent_at)]
        taken_up = [attempt for attempt in asked if attempt.origin and self.has_two_engines(attempt)]
        began = [attempt for attempt in asked if not attempt.origin]
        if len(taken_up) < FEWEST_TAKEN_UP or not began:
            return
        went_on = sum(attempt.status == 200 for attempt in taken_up) / len(taken_up)
        new = sum(attempt.status == 200 for attempt in began) / len(began)
        if went_on < 0.5 * new:
            lost = next(attempt for attempt in taken_up if attempt.status != 200)
            self.add("LOST", lost.id, "%.2f of %d streams that were taken up went on, %.2f of %d new ones began",
                     went_on, len(taken_up), new, len(began))

    def has_two_engines(self, attempt):
        """Returns whether two sound engines of the version that began a stream served when it was taken up."""
        began = next(iter(self.runs[attempt.origin]), None)
        latest = {name: version for at, name, version in self.journal.versions if at <= attempt.sent_at}
        names = [name for name, version in latest.items() if began is not None and version == began.version
                 and self.disturbances.calm((name,), attempt.sent_at - CONTACT_S, attempt.ended_at)]
        return len(names) >= 2

    def cut_by_end(self, attempt):
        """The kernel ends the connections of a killed process in order: without a length, all looks well."""
        return attempt.version_1_0 and any(
            subject == attempt.entry and what in ("kill", "term")
            and begun <= attempt.ended_at and ended >= attempt.sent_at
            for subject, what, begun, ended in self.disturbances.spans)

    def check_keys(self, attempt, runs):
        tenants = {"key-metered": "metered", None: None}
        for run in runs:
            tenant = run.headers.get("Tenant")
            if tenant != tenants.get(attempt.key, "ganga"):
                self.add("UNASKED", attempt.id, "tenant %s for key %s", tenant, attempt.key)
            if any(attempt.key and attempt.key in value for value in run.headers.values()):
                self.add("UNASKED", attempt.id, "the key reached %s", run.stamp)
            if attempt.key == "never-issued":
                self.add("ROUTE", attempt.id, "ran with a key that was never issued")
        revoked_at = self.operator.revoked.get(attempt.key)
        if runs and revoked_at is not None and attempt.sent_at > revoked_at + REVOKE_S:
            self.add("CONFIG", attempt.id, "ran at %s, %.2f s after %s was revoked", runs[0].stamp,
                     attempt.sent_at - revoked_at, attempt.key)

    def check_loss(self, attempt, runs):
        """Around a SIGTERM, with no other fault nearby, no request that ran whole loses its answer."""
        if attempt.complete or attempt.entry is None or attempt.status in PROMISES or not runs or not runs[-1].whole:
            return
        spans = [span for span in self.disturbances.spans
                 if span[2] <= attempt.ended_at and span[3] >= attempt.sent_at - CONTACT_S]
        if spans and all(span[:2] == [attempt.entry, "term"] for span in spans):
            self.add("LOST", attempt.id, "%s ran it whole, its caller saw %s %s around a SIGTERM", runs[-1].stamp,
                     attempt.status, attempt.trouble)

    def check_denials(self):
        denials = {True: [], False: []}
        sound = [a for a in self.attempts.values() if a.key in ("key-stable", "key-metered")]
        for attempt in sound:
            if attempt.status is not None and 300 <= attempt.status < 500 and attempt.status not in PROMISES \
                    and "Server-Stamp" not in attempt.headers:
                denials[self.disturbances.in_touch(attempt.entry, attempt.ended_at)].append(attempt)
        for in_touch, denied in denials.items():
            allowed = DENIED_ALLOWED + DENIED_SHARE * len(sound) if in_touch else 2 * DENIED_ALLOWED
            if len(denied) > allowed:
                self.add("DENIED", denied[-1].id, "%d of %d proper requests got a status like %d, in touch: %s",
                         len(denied), len(sound), denied[-1].status, in_touch)

    def check_attempts(self):
        over = []
        for attempt in self.attempts.values():
            engines = {run.engine.name for run in self.runs[attempt.id]
                       if self.disturbances.calm((run.engine.name,), run.at - CONTACT_S, attempt.ended_at)}
            if len(engines) > (ROUTES[attempt.kind][2] if attempt.kind in ROUTES else 2):
                over.append(attempt.id)
        if len(over) > RUNS_OVER_BUDGET:
            self.add("BUDGET", over[-1], "%d requests ran on more engines than their route allows", len(over))

    def check_drains(self):
        drained = {instance: (at, name) for at, name, instance in self.journal.drains}
        for arrival in self.journal.arrivals:
            at, engine = drained.get(arrival.instance, (None, None))
            attempt = self.attempts.get(arrival.attempt)
            if at is None or attempt is None or arrival.outcome == 421 or arrival.at <= at + DRAIN_S:
                continue
            # The store was stable at its acknowledgement, and neither machine nor link was disturbed since.
            if self.disturbances.calm(("store",), at - CONTACT_S, at) \
                    and self.disturbances.in_touch(attempt.entry, arrival.at) \
                    and self.disturbances.calm((engine,), arrival.at - CONTACT_S, arrival.at):
                self.add("DRAIN", attempt.id, "reached %s from %s %.2f s after it was draining", arrival.instance,
                         attempt.incarnation, arrival.at - at)

    def check_leaving(self):
        """A process that passed on that an engine leaves sends it nothing later, in touch or not."""
        passed = {}
        for attempt in self.attempts.values():
            for run in self.runs[attempt.id]:
                if run.leaving and run.stamp == attempt.headers.get("Server-Stamp"):
                    sender = (attempt.incarnation, run.stamp.rsplit(".", 1)[0])
                    passed[sender] = min(passed.get(sender, attempt.ended_at), attempt.ended_at)
        for arrival in self.journal.arrivals:
            attempt = self.attempts.get(arrival.attempt)
            at = attempt and passed.get((attempt.incarnation, arrival.instance))
            if at and arrival.outcome != 421 and attempt.sent_at > at + DRAIN_S \
                    and not self.frozen(attempt.entry, at, arrival.at):
                self.add("DRAIN", attempt.id, "reached %s from %s %.2f s after that had passed on its leaving",
                         arrival.instance, attempt.incarnation, attempt.sent_at - at)

    def check_pauses(self):
        """An engine that refuses with Retry-After wants nothing from that process for so long."""
        arrivals = collections.defaultdict(list)
        for arrival in self.journal.arrivals:
            attempt = self.attempts.get(arrival.attempt)
            if attempt is not None and attempt.incarnation is not None:
                arrivals[attempt.incarnation, arrival.instance].append(arrival)
        for (incarnation, instance), at_engine in arrivals.items():
            for refusal in at_engine:
                start, end = refusal.at + RETRY_AFTER_SLACK_S, refusal.at + refusal.retry_after_s
                late = [arrival for arrival in at_engine if start < arrival.at < end]
                if len(late) > RETRY_AFTER_ARRIVALS and self.disturbances.calm(
                        (incarnation.rsplit(".", 1)[0], "harness"), refusal.at - CONTACT_S, end):
                    self.add("BUDGET", late[-1].attempt,
                             "%d requests reached %s from %s within the %.1f s it asked for", len(late), instance,
                             incarnation, refusal.retry_after_s)
                    break

    def check_limit(self, instance, limit, begun, ended):
        """An engine gets no more than it names, from all processes that have passed on an answer that names it."""
        told = {}  # by process: when it passed on such an answer
        for attempt in self.attempts.values():
            if attempt.answered_at and attempt.headers.get("Server-Limit") \
                    and attempt.headers.get("Server-Stamp", "").rsplit(".", 1)[0] == instance:
                at = told.get(attempt.incarnation, attempt.answered_at)
                told[attempt.incarnation] = min(at, attempt.answered_at)
        arrivals = []
        for arrival in self.journal.arrivals:
            attempt = self.attempts.get(arrival.attempt)
            if arrival.instance == instance and arrival.outcome != 421 and attempt is not None \
                    and arrival.at >= told.get(attempt.incarnation, float("inf")) + LIMIT_TOLD_S \
                    and self.disturbances.calm((attempt.entry, "harness"), arrival.at - CONTACT_S, arrival.at):
                arrivals.append(arrival.at)
        most = most_in_a_window(arrivals, begun + CONTACT_S, ended)
        if most > allowed(limit):
            self.add("LIMIT", "-", "%s names %g a second and gets %d requests in %.0f s, %d allowed", instance, limit, most,
                     WINDOW_S, allowed(limit))

    def frozen(self, entry, start, end):
        return any(subject == entry and what == "freeze" and begun <= end and ended >= start
                   for subject, what, begun, ended in self.disturbances.spans)

    def check_configurations(self):
        """Each version has a route of its own, which shows the version that a process has in force."""
        acknowledged, sent = self.operator.acknowledged, self.operator.sent
        versions = sorted(sent)
        following = dict(zip(versions, versions[1:]))
        seen = collections.defaultdict(list)  # by process: (when an engine saw it, version)
        for run in self.journal.runs:
            attempt = self.attempts.get(run.attempt)
            if attempt is not None and attempt.kind == "probe":
                seen[attempt.incarnation].append((run.at, int(attempt.target.split("/")[1][1:])))
        for attempt in self.attempts.values():
            if attempt.kind != "probe" or attempt.status not in (200, 404) or attempt.incarnation is None:
                continue
            version = int(attempt.target.split("/")[1][1:])
            ran = bool(self.runs[attempt.id])
            newer = following.get(version)
            calm = self.disturbances.calm((attempt.entry, "harness"), attempt.sent_at - CONTACT_S, attempt.sent_at)
            margin_s = DOWNGRADE_S * (1 if calm else SLOWED_FACTOR)
            known = max([v for at, v in seen[attempt.incarnation] if at + margin_s < attempt.sent_at], default=0)
            # What only an older version allows: the route of one replaced, or no route of one in force.
            if (ran and known > version) or (not ran and attempt.status == 404 and known >= version
                                             and (newer is None or sent[newer] > attempt.ended_at)):
                self.add("CONFIG", attempt.id, "%s got %d at %s, which had version %d in force before",
                         attempt.target, attempt.status, attempt.incarnation, known)
            in_touch = self.disturbances.in_touch(attempt.entry, attempt.ended_at)
            if in_touch and ran and newer in acknowledged and attempt.sent_at > acknowledged[newer] + CONFIG_APPLY_S:
                self.add("CONFIG", attempt.id, "%s ran at %s, %.2f s after version %d", attempt.target,
                         attempt.incarnation, attempt.sent_at - acknowledged[newer], newer)
            if in_touch and not ran and attempt.status == 404 and version in acknowledged \
                    and attempt.sent_at > acknowledged[version] + CONFIG_APPLY_S \
                    and (newer is None or sent[newer] > attempt.ended_at):
                self.add("CONFIG", attempt.id, "%s got 404 at %s, %.2f s after its version", attempt.target,
                         attempt.incarnation, attempt.sent_at - acknowledged[version])

    def check_retries(self):
        for service in ("engines", "plain"):
            requests = sorted(a.sent_at for a in self.attempts.values()
                              if a.kind == "probe" and service == "plain" or ROUTES.get(a.kind, " " * 2)[1] == service)
            arrived, excess = set(), []
            for arrival in sorted(self.journal.arrivals, key=lambda each: each.at):
                if arrival.service == service:
                    if arrival.attempt in arrived:
                        excess.append(arrival)
                    arrived.add(arrival.attempt)
            for index, arrival in enumerate(excess):
                end = arrival.at
                count = sum(end - RETRY_WINDOW_S <= other.at for other in excess[:index + 1])
                asked = max(sum(end - shift - RETRY_WINDOW_S <= at <= end - shift for at in requests)
                            for shift in (0, RETRY_WINDOW_S, RETRY_WINDOW_S / 2))
                if count > RETRY_RATIO * asked + RETRY_SLACK:
                    self.add("BUDGET", arrival.attempt, "%d repeats at %s beside %d requests in a window", count,
                             service, asked)
                    break

    def check_quota(self):
        metered = []  # (sent at, first run at, tokens); a request that runs again counts once
        for attempt in self.attempts.values():
            if attempt.key == "key-metered" and self.runs[attempt.id]:
                metered.append((attempt.sent_at, self.runs[attempt.id][0].at, sum(attempt.tokens)))
        self.rates_bound = self.find_bounds(max((sent for sent, _, _ in metered), default=0))
        for start, _, _ in metered:
            used = sum(tokens for sent, at, tokens in metered if sent >= start and at <= start + QUOTA_WINDOW_S)
            rate = self.highest_rate(start, start + QUOTA_WINDOW_S)
            allowed = (rate * QUOTA_WINDOW_S + rate) * (1 + QUOTA_EXCESS) + QUOTA_SLACK
            if used > allowed:
                self.add("QUOTA", "-", "%d tokens ran in a window, %d allowed", used, allowed)
                return

    def highest_rate(self, start, end):
        rates = [rate for at, rate in self.operator.rates if at <= end]
        for index, bound in enumerate(self.rates_bound):
            if bound + QUOTA_WINDOW_S <= start:
                rates = [rate for at, rate in self.operator.rates[index:] if at <= end]
        return max(rates)

    def find_bounds(self, end):
        """A rate binds one window after all entries were in touch past its acknowledgement; returns when they were."""
        bounds = []
        for at, _ in self.operator.rates:
            bound = at + CONFIG_APPLY_S
            while bound < end and not all(
                    self.disturbances.in_touch(entry, bound) for entry in self.deployment.entries):
                bound += BOUND_STEP_S
            bounds.append(bound)
        return bounds

    def check_crashing_part(self, part):
        """A part that ends engines is known to all entries in touch, and sound requests go on."""
        ends = sorted(at for at, parts, _ in self.journal.part_ends if part in parts)
        with_part = [attempt for attempt in self.attempts.values() if part in attempt.parts]
        if len(ends) >= 5:
            late = {run.attempt for attempt in with_part for run in self.runs[attempt.id]
                    if run.at > ends[4] + CONTACT_S and self.disturbances.in_touch(attempt.entry, run.at)}
            if len(late) > LATE_REQUESTS_WITH_PART:
                self.add("BUDGET", sorted(late)[-1], "%d requests with part %s reached engines %.0f s after five had ended; "
                         "%d ended", len(late), part, CONTACT_S, len(ends))
        if not ends:
            return
        known = ends[min(4, len(ends) - 1)] + 2 * CONTACT_S
        last = max(attempt.sent_at for attempt in with_part)
        undisturbed = self.begun_share(0, min(begun for _, _, begun, _ in self.disturbances.spans))
        meanwhile = self.begun_share(known, last)
        if undisturbed and meanwhile and meanwhile < undisturbed / 2:
            self.add("LOST", "-", "sound requests begin in %.2f of the cases while part %s is held, before in %.2f",
                     meanwhile, part, undisturbed)

    def check_crashing_request(self, request):
        """A request that ends servers is known to all entries in touch once it has ended three."""
        ends = sorted(at for at, ended_by, _ in self.journal.request_ends if ended_by == request)
        late = [run.attempt for attempt in self.attempts.values() if getattr(attempt, "request", None) == request
                for run in self.runs[attempt.id] if len(ends) >= 3 and run.at > ends[2] + CONTACT_S
                and self.disturbances.in_touch(attempt.entry, run.at)]
        if len(late) > LATE_SENDS_OF_REQUEST:
            self.add("BUDGET", late[-1], "%s %s reached servers %d times %.0f s after it had ended three; %d ended",
                     request[0], request[1], len(late), CONTACT_S, len(ends))

    def begun_share(self, start, end):
        """Returns how many of the sound first attempts of streams began; None for too few of them."""
        begun = [bool(self.runs[attempt.id]) for attempt in self.attempts.values()
                 if attempt.kind == "ask" and attempt.key == "key-stable" and not attempt.is_retry
                 and not attempt.gives_up_s and not self.journal.crashing_parts.intersection(attempt.parts)
                 and start <= attempt.sent_at < end and self.disturbances.in_touch(attempt.entry, attempt.sent_at)]
        return sum(begun) / len(begun) if len(begun) >= FEWEST_FOR_SHARE else None

    def check_held(self):
        """Where no part ends engines, whatever else ends them, nothing is held back."""
        held = [attempt for attempt in self.attempts.values() if b"PartsHeld" in attempt.body]
        if held and not self.journal.crashing_parts:
            self.add("HELD", held[0].id, "%d requests are held back though no part ends engines", len(held))
        sound = [attempt for attempt in self.attempts.values()
                 if b"RequestHeld" in attempt.body and attempt.request not in self.journal.crashing_requests]
        if sound:
            self.add("HELD", sound[0].id, "%d requests are held back that end no server", len(sound))

    def check_recovery(self):
        late = [a for a in self.attempts.values()
                if a.key == "key-stable" and a.sent_at > self.recovered_at + RECOVERY_S]
        served = sum(attempt.served() for attempt in late)
        if late and served < len(late) / 4:
            self.add("RECOVER", late[-1].id, "%d of %d requests are served after the faults", served, len(late))
