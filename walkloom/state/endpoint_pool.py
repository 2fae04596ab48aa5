"""The endpoints of one tier, and their ranking for an affinity group."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from math import log
from typing import NamedTuple, TypeAlias

from walkloom.messages import AffinityGroup
from walkloom.state.endpoint import EndpointState
from walkloom.state.stable_hash import mix_bits, stable_hash

_HASH_RANGE = 0x10000000  # number of values of mix_bits()
_HASH_SHIFT_BITS = 4  # from the 28 bits of mix_bits() to the 32 bits of the hashes on the ring


# Endpoints in a fixed order, which determines the result of a random draw.
Endpoints: TypeAlias = list[EndpointState]


class EndpointPool:
    """Endpoints on a hash ring; `total_weight` is the sum of their capacity weights."""

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        self.endpoints = sorted(endpoints, key=lambda endpoint: endpoint.hash)
        self.total_weight = sum(endpoint.capacity_weight for endpoint in endpoints)
        self._ring = [endpoint.hash for endpoint in self.endpoints]

    def ranked_for(self, group: AffinityGroup, limit: int) -> Endpoints:
        """Return the endpoints for a group, best first.

        Weighted rendezvous hashing: all balancers get the same order, and adding or removing an endpoint does
        not reorder the others. Endpoints with a larger capacity weight tend to rank higher. In a pool of more
        than `limit` endpoints only `limit` neighbours on the ring are ranked, which bounds the work in a
        fleet of hundreds of endpoints.
        """
        group_hash = stable_hash(group)
        candidates = self.endpoints
        if len(candidates) > limit:
            start = bisect(self._ring, mix_bits(group_hash) << _HASH_SHIFT_BITS)
            wrapped = max(start + limit - len(candidates), 0)
            candidates = candidates[start : start + limit] + candidates[:wrapped]

        def rank(endpoint: EndpointState) -> float:
            drawn = (mix_bits(group_hash ^ endpoint.hash) | 1) / _HASH_RANGE
            return -log(drawn) / endpoint.capacity_weight

        return sorted(candidates, key=rank)


class Tier(NamedTuple):
    """The endpoints that a request may use, in the balancer's own zone and in other zones."""

    local: EndpointPool
    remote: EndpointPool

    @classmethod
    def split(cls, endpoints: Sequence[EndpointState], zone: int) -> Tier:
        """Split endpoints into those in a zone and all others."""
        return cls(
            EndpointPool([endpoint for endpoint in endpoints if endpoint.zone == zone]),
            EndpointPool([endpoint for endpoint in endpoints if endpoint.zone != zone]),
        )

    @property
    def size(self) -> int:
        """The number of endpoints."""
        return len(self.local.endpoints) + len(self.remote.endpoints)


class Candidates(NamedTuple):
    """The endpoints of one pool that a request may use."""

    pool: EndpointPool

    # The highest-ranked endpoint for the request's affinity group.
    first: EndpointState

    # The endpoints that have capacity and were not yet attempted.
    available: Endpoints
