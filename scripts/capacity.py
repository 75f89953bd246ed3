#!/usr/bin/env python3
"""Works out the target of docs/CAPACITY.md from the slopes in docs/measurements/slopes.json.

Prints Markdown tables for both readings of "380 daemons before 760 engines".
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = json.loads((ROOT / "docs/measurements/slopes.json").read_text())
FRAME = SLOPES["frameBytes"]

ENGINES = 760
DAEMONS = 380
REQUESTS_PER_SECOND = 3100
TOKENS_PER_SECOND = 880000
POOLS = 3
REGIONS = 3
ORGANISATIONS = 38000
CHANGES_PER_DAY = 1700
PACKET_OVERHEAD = 52  # bytes of IP and TCP header with timestamps
CANDIDATES = 2
ENTRIES_PER_AGENT = 3
WAIT_S = 2  # mean wait of a request at the peak
BUDGET_CPU = 2.3
BUDGET_MB = 64
BUDGET_KB = 14


def packet(kind):
    return FRAME[kind] + PACKET_OVERHEAD


def beat_bytes():
    """One beat in both directions of a connection, each with its TCP acknowledgement."""
    return packet("entryHeartbeat") + packet("agentHeartbeat") + 2 * PACKET_OVERHEAD


def control_bytes_per_request():
    """Reservations, withdrawals and the pull of one request."""
    return CANDIDATES * packet("reserve") + (CANDIDATES - 1) * packet("withdraw") + packet("pull")


def configuration_bytes_per_second(bundle_kb=20):
    return CHANGES_PER_DAY / 86400 * bundle_kb * 1024


def role(name, requests, tokens, connections, beat_s, as_entry, as_agent):
    cpu_request = requests * (as_entry * SLOPES["entryCpuPerRequestUs"] + as_agent * SLOPES["agentCpuPerRequestUs"])
    cpu_token = tokens * (as_entry * SLOPES["entryCpuPerTokenUs"] + as_agent * SLOPES["agentCpuPerTokenUs"])
    cpu_control = SLOPES["baseCpuPercent"] + connections * SLOPES["cpuPerPeerPercentAtOneBeatASecond"] / beat_s
    memory = SLOPES["baseMemoryMb"] + connections * SLOPES["memoryPerPeerMb"]
    memory += as_entry * requests * WAIT_S * SLOPES["memoryPerWaitingRequestKb"] / 1024
    memory += as_entry * ORGANISATIONS * SLOPES["memoryPerOrganisationKb"] / 1024
    beats = connections * beat_bytes() / beat_s / 1024
    per_request = requests * control_bytes_per_request() / 1024
    configuration = as_entry * configuration_bytes_per_second() / 1024
    total = beats + per_request + configuration
    print(
        "| %s | %d | %.1f | %.0f | %.2f %s | %.0f %s | %.1f + %.1f + %.1f = %.1f %s | %.1f |"
        % (
            name, connections, requests, tokens,
            cpu_control, verdict(cpu_control, BUDGET_CPU),
            memory, verdict(memory, BUDGET_MB),
            beats, per_request, configuration, total, verdict(total, BUDGET_KB),
            (cpu_request + cpu_token) / 1e4,
        )
    )


def verdict(value, budget):
    return "(holds)" if value <= budget else "(**over**)"


def connections_of_entry(entries, home, elsewhere):
    """Own choice of each pool, or what the coverage of every agent by three entries asks for."""
    agents_of_region = ENGINES / REGIONS
    per_pool = agents_of_region / POOLS
    covered = agents_of_region * min(1, ENTRIES_PER_AGENT / max(1, entries / REGIONS))
    own = POOLS * min(home, per_pool)
    # The two choices are independent, so what they share counts once.
    at_home = covered + own * (1 - covered / agents_of_region)
    return at_home + POOLS * (REGIONS - 1) * elsewhere


def table(home, elsewhere, beat_s):
    print("\n%d agents of a pool at home, %d in each other region, a beat every %d s:\n" % (home, elsewhere, beat_s))
    print("| role | connections | requests/s | tokens/s | control, % of a core | MB | control KB/s:"
          " beats + requests + configuration | requests and tokens, % of a core |")
    print("|---|---|---|---|---|---|---|---|")
    requests, tokens = REQUESTS_PER_SECOND / DAEMONS, TOKENS_PER_SECOND / DAEMONS
    for entries in (12, 40):
        out = connections_of_entry(entries, home, elsewhere)
        role("A: one of %d entries" % entries, REQUESTS_PER_SECOND / entries, TOKENS_PER_SECOND / entries, out,
             beat_s, 1, 0)
        role("A: agents of 2 engines, %d entries" % entries, requests, tokens, 2 * entries * out / ENGINES,
             beat_s, 0, 1)
    out = connections_of_entry(DAEMONS, home, elsewhere)
    role("B: entry and 2 agents, one of 380", requests, tokens, out + 2 * DAEMONS * out / ENGINES, beat_s, 1, 1)


def main():
    table(home=12, elsewhere=2, beat_s=1)
    table(home=6, elsewhere=1, beat_s=5)


if __name__ == "__main__":
    main()
