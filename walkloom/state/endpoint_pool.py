"""Endpoints of one tier, and how they rank for an affinity group."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from math import log
from typing import NamedTuple, TypeAlias

from walkloom.messages import AffinityGroup
from walkloom.state.endpoint import EndpointState
from walkloom.state.stable_hash import mixed, stable_hash

_HASH_RANGE = 0x10000000  # of mixed()
_MIXED_TO_HASH_BITS = 4  # mixed() has 28 bits, the hashes on the ring 32


# Endpoints in an order that matters to whoever draws from them.
Endpoints: TypeAlias = list[EndpointState]


class EndpointPool:
    """Endpoints on a ring by their hashes; `total_weight` is their capacity together."""

    def __init__(self, endpoints: Sequence[EndpointState]) -> None:
        self.endpoints = sorted(endpoints, key=lambda endpoint: endpoint.hash)
        self.total_weight = sum(endpoint.capacity_weight for endpoint in endpoints)
        self._ring = [endpoint.hash for endpoint in self.endpoints]

    def ranked_for(self, group: AffinityGroup, limit: int) -> Endpoints:
        """The endpoints for a group, best first: alike at all balancers, whatever endpoints come and go.

        Weighted rendezvous hashing; large endpoints tend to rank higher. In a pool of more than `limit`
        only so many neighbours on the ring are ranked, which bounds the work in a fleet of hundreds.
        """
        group_hash = stable_hash(group)
        candidates = self.endpoints
        if len(candidates) > limit:
            start = bisect(self._ring, mixed(group_hash) << _MIXED_TO_HASH_BITS)
            wrapped = max(start + limit - len(candidates), 0)
            candidates = candidates[start : start + limit] + candidates[:wrapped]

        def rank(endpoint: EndpointState) -> float:
            drawn = (mixed(group_hash ^ endpoint.hash) | 1) / _HASH_RANGE
            return -log(drawn) / endpoint.capacity_weight

        return sorted(candidates, key=rank)


class Tier(NamedTuple):
    """The endpoints that a request may use, in the balancer's own zone and in the others."""

    local: EndpointPool
    remote: EndpointPool

    @classmethod
    def split(cls, endpoints: Sequence[EndpointState], zone: int) -> Tier:
        """Split endpoints into those of a zone and all others."""
        return cls(
            EndpointPool([endpoint for endpoint in endpoints if endpoint.zone == zone]),
            EndpointPool([endpoint for endpoint in endpoints if endpoint.zone != zone]),
        )

    @property
    def size(self) -> int:
        """How many endpoints it has."""
        return len(self.local.endpoints) + len(self.remote.endpoints)


class Candidates(NamedTuple):
    """What a request may use of one pool."""

    pool: EndpointPool

    # The best for its group.
    first: EndpointState

    # Those that have capacity and were not tried.
    available: Endpoints
