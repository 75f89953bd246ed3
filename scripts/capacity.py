#!/usr/bin/env python3
"""Computes the load per process at the target of docs/CAPACITY.md from docs/measurements/slopes.json.

Prints Markdown tables for both readings of "380 daemons before 760 engines": in A a daemon runs the
agents of two engines and the entries are separate processes; in B it runs an entry as well.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = json.loads((ROOT / "docs/measurements/slopes.json").read_text())
FRAME_BYTES = SLOPES["frameBytes"]

ENGINES = 760
DAEMONS = 380
REQUESTS_PER_SECOND = 3100
TOKENS_PER_SECOND = 880000
POOLS = 3
REGIONS = 3
ORGANISATIONS = 38000
CONFIGURATION_CHANGES_PER_DAY = 1700
PACKET_OVERHEAD_BYTES = 52  # IP and TCP headers with the timestamp option
DATAGRAM_OVERHEAD_BYTES = 28  # IP and UDP headers
AGENTS_TOLD_OF_A_STREAM = 3
CANDIDATES_PER_REQUEST = 2
ENTRIES_PER_AGENT = 3
MEAN_WAIT_S = 2  # mean waiting time of a request at the peak rate
BUDGET_CPU_PERCENT = 2.3
BUDGET_MEMORY_MB = 64
BUDGET_CONTROL_KB_PER_SECOND = 14


def packet_bytes(kind):
    return FRAME_BYTES[kind] + PACKET_OVERHEAD_BYTES


def heartbeat_bytes():
    """Bytes of one heartbeat in each direction of a connection, with the TCP acknowledgements."""
    return packet_bytes("entryHeartbeat") + packet_bytes("agentHeartbeat") + 2 * PACKET_OVERHEAD_BYTES


def control_bytes_per_request():
    """Bytes of the reserve, withdraw and pull messages of one request, and of the records of its stream."""
    return (
        CANDIDATES_PER_REQUEST * packet_bytes("reserve")
        + (CANDIDATES_PER_REQUEST - 1) * packet_bytes("withdraw")
        + packet_bytes("pull")
        + AGENTS_TOLD_OF_A_STREAM * (FRAME_BYTES["streamRecord"] + DATAGRAM_OVERHEAD_BYTES)
    )


def configuration_bytes_per_second(bundle_kb=20):
    return CONFIGURATION_CHANGES_PER_DAY / 86400 * bundle_kb * 1024


# Prints the table row of one process. is_entry and is_agent are 1 if it has that role, otherwise 0.
def print_role_row(name, requests, tokens, connections, heartbeat_interval_s, is_entry, is_agent):
    request_cpu_us = requests * (is_entry * SLOPES["entryCpuPerRequestUs"] + is_agent * SLOPES["agentCpuPerRequestUs"])
    token_cpu_us = tokens * (is_entry * SLOPES["entryCpuPerTokenUs"] + is_agent * SLOPES["agentCpuPerTokenUs"])
    control_cpu_percent = (
        SLOPES["baseCpuPercent"]
        + connections * SLOPES["cpuPerPeerPercentAtOneBeatASecond"] / heartbeat_interval_s
    )
    memory_mb = SLOPES["baseMemoryMb"] + connections * SLOPES["memoryPerPeerMb"]
    memory_mb += is_entry * requests * MEAN_WAIT_S * SLOPES["memoryPerWaitingRequestKb"] / 1024
    memory_mb += is_entry * ORGANISATIONS * SLOPES["memoryPerOrganisationKb"] / 1024
    heartbeat_kb = connections * heartbeat_bytes() / heartbeat_interval_s / 1024
    request_kb = requests * control_bytes_per_request() / 1024
    configuration_kb = is_entry * configuration_bytes_per_second() / 1024
    total_kb = heartbeat_kb + request_kb + configuration_kb
    print(
        "| %s | %d | %.1f | %.0f | %.2f %s | %.0f %s | %.1f + %.1f + %.1f = %.1f %s | %.1f |"
        % (
            name, connections, requests, tokens,
            control_cpu_percent, budget_verdict(control_cpu_percent, BUDGET_CPU_PERCENT),
            memory_mb, budget_verdict(memory_mb, BUDGET_MEMORY_MB),
            heartbeat_kb, request_kb, configuration_kb, total_kb,
            budget_verdict(total_kb, BUDGET_CONTROL_KB_PER_SECOND),
            (request_cpu_us + token_cpu_us) / 1e4,
        )
    )


def budget_verdict(value, budget):
    return "(holds)" if value <= budget else "(**over**)"


def connections_of_entry(entries, agents_per_pool, agents_per_pool_elsewhere):
    """Agents that one entry connects to.

    In its own region an entry connects to the agents that it selects in each pool, and to those
    assigned to it so that every agent has ENTRIES_PER_AGENT entries.
    """
    agents_of_region = ENGINES / REGIONS
    agents_of_pool = agents_of_region / POOLS
    covered = agents_of_region * min(1, ENTRIES_PER_AGENT / max(1, entries / REGIONS))
    selected = POOLS * min(agents_per_pool, agents_of_pool)
    # Both sets are chosen independently; agents expected in both are counted once.
    in_home_region = covered + selected * (1 - covered / agents_of_region)
    return in_home_region + POOLS * (REGIONS - 1) * agents_per_pool_elsewhere


def print_table(agents_per_pool, agents_per_pool_elsewhere, heartbeat_interval_s):
    print("\n%d agents per pool in the home region, %d in each other region, a heartbeat every %d s:\n"
          % (agents_per_pool, agents_per_pool_elsewhere, heartbeat_interval_s))
    print("| role | connections | requests/s | tokens/s | control, % of a core | MB | control KB/s:"
          " heartbeats + requests + configuration | requests and tokens, % of a core |")
    print("|---|---|---|---|---|---|---|---|")
    requests, tokens = REQUESTS_PER_SECOND / DAEMONS, TOKENS_PER_SECOND / DAEMONS
    for entries in (12, 40):
        connections_per_entry = connections_of_entry(entries, agents_per_pool, agents_per_pool_elsewhere)
        print_role_row("A: one of %d entries" % entries, REQUESTS_PER_SECOND / entries,
                       TOKENS_PER_SECOND / entries, connections_per_entry, heartbeat_interval_s, 1, 0)
        print_role_row("A: agents of 2 engines, %d entries" % entries, requests, tokens,
                       2 * entries * connections_per_entry / ENGINES, heartbeat_interval_s, 0, 1)
    connections_per_entry = connections_of_entry(DAEMONS, agents_per_pool, agents_per_pool_elsewhere)
    print_role_row("B: entry and 2 agents, one of 380", requests, tokens,
                   connections_per_entry + 2 * DAEMONS * connections_per_entry / ENGINES,
                   heartbeat_interval_s, 1, 1)


def main():
    print_table(agents_per_pool=12, agents_per_pool_elsewhere=2, heartbeat_interval_s=1)
    print_table(agents_per_pool=6, agents_per_pool_elsewhere=1, heartbeat_interval_s=5)


if __name__ == "__main__":
    main()
