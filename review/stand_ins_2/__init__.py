"""Stand-ins of the second review: tile servers, discovery, clients and the start of the balancers.

Standard library only. Everything runs on loopback addresses and on the monotonic clock, in one process.
"""
