"""The timetable of faults of a soak, drawn from its seed alone."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class Fault:
    at_s: float  # since the start of the traffic
    kind: str
    subject: str  # "entry-N", "agent-N", "engine-N", "plain-N", "store" or "operator"
    for_s: float
    amount: float  # in [0, 1); what it scales depends on the kind

    def __str__(self):
        return "%7.2f s  %-14s %-10s for %.2f s, amount %.2f" % (
            self.at_s, self.kind, self.subject, self.for_s, self.amount)


# Kinds of fault of each sort of subject: weight, shortest and longest duration in seconds.
PROCESS_KINDS = {
    "term": (3, 0, 1), "kill": (3, 0, 2), "freeze": (3, 0.2, 4), "hangup": (1, 0, 0),
}
LINK_KINDS = {
    "reset": (2, 0, 0), "delay": (2, 0.5, 3), "split": (2, 1, 4), "cut-up": (1, 0.5, 3),
    "cut-down": (1, 0.5, 3), "silence": (1, 0, 0),
}
KINDS = {
    "entry": {**PROCESS_KINDS, **LINK_KINDS, "store-cut": (1, 1, 4), "store-reset": (1, 0, 0),
              "store-silence": (1, 0, 0)},
    "agent": PROCESS_KINDS,
    "engine": {**LINK_KINDS, "crash": (4, 0.3, 3), "drain": (3, 0.5, 2), "replace": (2, 0, 0), "pause": (4, 1, 4),
               "torn": (4, 1, 4), "twice": (2, 1, 4), "garbage": (2, 1, 3), "endless": (1, 0.5, 2),
               "unframed": (2, 1, 4), "error": (2, 1, 4), "refuse": (2, 1, 4)},
    "store": {"slow": (2, 1, 4), "silent": (2, 1, 4), "busy": (2, 1, 4), "lossy": (2, 1, 4),
              "forget": (2, 0, 0), "back": (1, 0.3, 1.5)},
    "operator": {"config": (3, 0, 0), "revoke": (3, 0, 0), "quota": (1, 0, 0)},
}
KINDS["plain"] = KINDS["engine"]
# Each of these is drawn apart from the others, so that the seeds recorded before it still play the same faults:
# draws a second, and the kinds.
LATER_KINDS = {
    "later": (0.25, {
        "engine": {"half-event": (3, 1, 4), "half-unframed": (3, 1, 4)},
        "callers": {"crashing-part": (2, 6, 12)},
    }),
    "requests": (0.1, {"callers": {"crashing-request": (1, 8, 14)}}),
    "sizes": (0.08, {"operator": {"grow": (1, 0, 0)}}),
    "limits": (0.15, {"engine": {"limit": (2, 7, 14)}, "plain": {"limit": (1, 7, 14)}}),
    "releases": (0.12, {"engine": {"release": (1, 0, 0)}}),
    "unseen": (0.1, {"entry": {"release-unseen": (1, 1, 4)}}),
    "ends": (0.3, {"engine": {"killed": (2, 0.5, 2)}, "plain": {"killed": (1, 0.5, 2)}}),
    "answers": (0.3, {
        "engine": {"unsound-head": (2, 1, 4), "early-reset": (2, 1, 4)},
        "plain": {"unsound-head": (1, 1, 4), "early-reset": (1, 1, 4)},
    }),
    "bodies": (0.15, {"plain": {"joined": (2, 1, 4), "quote": (1, 1, 4)}}),
    "odd-bodies": (0.15, {"plain": {"joined-odd": (1, 1, 4)}}),
    "silence": (0.1, {"operator": {"freeze-agents": (1, 0.3, 1)}}),
    "all-processes": (0.08, {"operator": {"kill-all": (1, 0.1, 4)}}),
    "heads": (0.15, {"engine": {"half-head": (2, 1, 4)}, "plain": {"half-head": (1, 1, 4)}}),
}
SORT_WEIGHTS = {"entry": 5, "agent": 3, "engine": 6, "plain": 3, "store": 2, "operator": 4}

SERIES_SHARE = 0.25  # of the draws, that come as a series on one subject
SERIES_MAXIMUM = 4
SERIES_GAP_S = 1.2


GROUPS = ("base", *LATER_KINDS)


def make_plan(seed, duration_s, counts, groups=GROUPS):
    """Returns the faults of the groups, ordered by time. Without "base", machines are mostly in touch.

    counts gives the number of subjects of each sort that has numbers. Faults overlap freely: a large
    deployment gets more of them at once.
    """
    faults = draw_base_kinds(seed, duration_s, counts) if "base" in groups else []
    for name in LATER_KINDS:
        if name in groups:
            faults += draw_later_kinds(name, seed, duration_s, counts)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_base_kinds(seed, duration_s, counts):
    rng = random.Random("plan-%d" % seed)
    faults = []
    per_second = 1.5 + 0.03 * sum(counts.values())
    at_s = 0.0
    while True:
        at_s += rng.expovariate(per_second)
        if at_s >= duration_s:
            return faults
        sort = rng.choices(list(SORT_WEIGHTS), SORT_WEIGHTS.values())[0]
        subject = "%s-%d" % (sort, rng.randrange(counts[sort]) + 1) if sort in counts else sort
        repeats = rng.randint(2, SERIES_MAXIMUM) if rng.random() < SERIES_SHARE else 1
        moment_s = at_s
        for _ in range(repeats):
            kinds = KINDS[sort]
            kind = rng.choices(list(kinds), [weight for weight, _, _ in kinds.values()])[0]
            _, shortest_s, longest_s = kinds[kind]
            fault = Fault(
                round(moment_s, 3), kind, subject, round(rng.uniform(shortest_s, longest_s), 3),
                round(rng.random(), 3))
            if fault.at_s + fault.for_s < duration_s:
                faults.append(fault)
            moment_s += rng.uniform(0.05, SERIES_GAP_S)


def draw_later_kinds(name, seed, duration_s, counts):
    """Returns faults of the kinds that were added after seeds had been recorded."""
    rng = random.Random("plan-%d-%s" % (seed, name))
    per_s, by_sort = LATER_KINDS[name]
    kinds = [(sort, kind) for sort, of_sort in by_sort.items() for kind in of_sort]
    weights = [by_sort[sort][kind][0] for sort, kind in kinds]
    faults = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(per_s)
        if at_s >= duration_s:
            return faults
        sort, kind = rng.choices(kinds, weights)[0]
        subject = "%s-%d" % (sort, rng.randrange(counts[sort]) + 1) if sort in counts else sort
        _, shortest_s, longest_s = by_sort[sort][kind]
        for_s = min(rng.uniform(shortest_s, longest_s), duration_s - at_s)
        faults.append(Fault(round(at_s, 3), kind, subject, round(for_s, 3), round(rng.random(), 3)))
