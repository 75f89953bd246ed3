"""Stand-ins of the platform, its engines and its clients for the cases of the review.

They run in the process of a case, on loopback addresses, and speak what PROTOCOL.md describes. The
project's own programs run as separate processes, started as deploy/system.toml says.
"""
