"""Ranks servers for a group by rendezvous hashing: alike at all balancers, steady as servers change."""

from __future__ import annotations

from bisect import bisect
from math import log

from walkloom.state.endpoint import EndpointState


def mixed(x: int) -> int:
    """28 bits of a hash that is not linear: a linear one gave some servers 300 times the groups of others."""
    x = x * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return (x ^ x >> 32) * 0xD6E8FEB86659FD93 >> 32 & 0xFFFFFFF


class EndpointPool:
    """Servers of one tier, at home or in other zones, on a ring by their salts."""

    def __init__(self, servers: list[EndpointState]) -> None:
        self.servers = sorted(servers, key=lambda s: s.salt)
        self.salts = [s.salt for s in self.servers]
        self.size = sum(s.size for s in servers)

    def homes(self, salt: int, most: int) -> list[EndpointState]:
        """A group's homes, large ones rather first: alike at all balancers, whatever servers come and go.

        Only so many of the ring are ranked, which bounds the work in a large fleet.
        """
        servers, n = self.servers, len(self.servers)
        if n > most:
            at = bisect(self.salts, mixed(salt) << 4)
            servers = servers[at : at + most] + servers[: max(at + most - n, 0)]
        return sorted(servers, key=lambda s: -log((mixed(salt ^ s.salt) | 1) / 0x10000000) / s.size)


def split_by_zone(tier: list[EndpointState], zone: int) -> tuple[EndpointPool, EndpointPool]:
    """Those of a zone, and all others."""
    home = EndpointPool([s for s in tier if s.zone == zone])
    far = EndpointPool([s for s in tier if s.zone != zone])
    return home, far
