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
IDLE_BEAT_S = 5
AGENTS_PER_POOL_HOME = 12
AGENTS_PER_POOL_ELSEWHERE = 2
CANDIDATES = 2
WAIT_S = 2  # mean wait of a request at the peak
BUDGET_CPU = 2.3
BUDGET_MB = 64
BUDGET_KB = 14


def packet(kind):
    return FRAME[kind] + PACKET_OVERHEAD


def beat_bytes_per_second():
    """Both directions of one connection, each beat with its TCP acknowledgement."""
    return (packet("entryHeartbeat") + packet("agentHeartbeat") + 2 * PACKET_OVERHEAD) / IDLE_BEAT_S


def control_bytes_per_request():
    """Reservations, withdrawals and the pull of one request."""
    return CANDIDATES * packet("reserve") + (CANDIDATES - 1) * packet("withdraw") + packet("pull")


def configuration_bytes_per_second(bundle_kb=20):
    return CHANGES_PER_DAY / 86400 * bundle_kb * 1024


def role(name, requests, tokens, connections, as_entry, as_agent):
    cpu_request = requests * (as_entry * SLOPES["entryCpuPerRequestUs"] + as_agent * SLOPES["agentCpuPerRequestUs"])
    cpu_token = tokens * (as_entry * SLOPES["entryCpuPerTokenUs"] + as_agent * SLOPES["agentCpuPerTokenUs"])
    cpu_control = SLOPES["baseCpuPercent"] + connections * SLOPES["cpuPerPeerPercentAtOneBeatASecond"] / IDLE_BEAT_S
    memory = SLOPES["baseMemoryMb"] + connections * SLOPES["memoryPerPeerMb"]
    memory += as_entry * requests * WAIT_S * SLOPES["memoryPerWaitingRequestKb"] / 1024
    memory += as_entry * ORGANISATIONS * SLOPES["memoryPerOrganisationKb"] / 1024
    beats = connections * beat_bytes_per_second() / 1024
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


def connections_of_entry():
    return POOLS * (AGENTS_PER_POOL_HOME + (REGIONS - 1) * AGENTS_PER_POOL_ELSEWHERE)


def main():
    print("| role | connections | requests/s | tokens/s | control, % of a core | MB | control KB/s: beats + requests + configuration | requests and tokens, % of a core |")
    print("|---|---|---|---|---|---|---|---|")
    out = connections_of_entry()
    for entries in (12, 40):
        into_agent = entries * out / ENGINES
        role("A: entry, one of %d" % entries, REQUESTS_PER_SECOND / entries, TOKENS_PER_SECOND / entries, out, 1, 0)
        role("A: agent before 2 engines, %d entries" % entries, REQUESTS_PER_SECOND / DAEMONS,
             TOKENS_PER_SECOND / DAEMONS, 2 * into_agent, 0, 1)
    role("B: entry and 2 agents in one of 380", REQUESTS_PER_SECOND / DAEMONS, TOKENS_PER_SECOND / DAEMONS,
         out + 2 * DAEMONS * out / ENGINES, 1, 1)


if __name__ == "__main__":
    main()
