"""The balancers of one client: which one an attempt goes to, and which are ejected. No I/O.

A balancer that failed EJECTION_THRESHOLD attempts in a row (no connection, a break, silence) is ejected for
a backoff that doubles, drawn from its upper half. After it one attempt at a time probes the balancer, until
one is answered. A rejection and an error are answers: they say nothing against the balancer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from walkloom.client.errors import InvalidArgumentError

EJECTION_THRESHOLD = 2  # failures in a row; a single one may be chance
INITIAL_EJECTION_MS = 250.0
MAX_EJECTION_MS = 10_000.0  # a balancer that recovers is found again within this


@dataclass(slots=True, eq=False)
class Balancer:
    """One balancer (or a front before several), as this client knows it."""

    address: tuple[str, int]
    in_flight: int = 0  # attempts
    consecutive_failures: int = 0
    consecutive_ejections: int = 0  # 0: it is not ejected
    ejected_until: float = 0.0
    probe_owner: object = None  # whose attempt probes it while it is ejected

    @property
    def is_ejected(self) -> bool:
        """Whether only probes go there."""
        return self.consecutive_ejections > 0

    def awaits_probe(self) -> bool:
        """Whether it is ejected and no probe is under way."""
        return self.is_ejected and self.probe_owner is None

    def may_be_probed(self, now: float) -> bool:
        """Whether an attempt may probe it now."""
        return self.awaits_probe() and now >= self.ejected_until


class BalancerPool:
    """Chooses balancers and learns from the outcome of attempts.

    Raises InvalidArgumentError if there are no addresses.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]], random: Random) -> None:
        if not addresses:
            raise InvalidArgumentError("balancers", addresses, "a client needs at least one balancer")
        self.balancers = tuple(Balancer(address) for address in dict.fromkeys(addresses))
        self._random = random

    def acquire(
        self, now: float, owner: object, attempted: Sequence[Balancer], may_probe: bool
    ) -> Balancer | None:
        """Choose the balancer for one more attempt, in flight there until `release`; None if all must wait.

        owner: whose attempt it is, handed back with its outcome.
        attempted: those that the request was sent to already; chosen again only if no other is left.
        may_probe: the request has the time and attempts to go elsewhere if the probe fails.
        """
        healthy = [balancer for balancer in self.balancers if not balancer.is_ejected]
        candidates = [balancer for balancer in healthy if balancer not in attempted] or healthy
        probe_candidates = [balancer for balancer in self.balancers if balancer.may_be_probed(now)]
        if probe_candidates and (may_probe or not candidates):
            chosen = min(
                probe_candidates, key=lambda balancer: (balancer in attempted, balancer.ejected_until)
            )
            chosen.probe_owner = owner
        elif candidates:
            chosen = self._less_loaded_of_two(candidates)
        else:
            return None
        chosen.in_flight += 1
        return chosen

    def _less_loaded_of_two(self, candidates: Sequence[Balancer]) -> Balancer:
        first = self._random.choice(candidates)
        second = self._random.choice(candidates)
        return first if first.in_flight <= second.in_flight else second

    def has_available(self, now: float) -> bool:
        """Whether any balancer can take an attempt now."""
        return any(not balancer.is_ejected or balancer.may_be_probed(now) for balancer in self.balancers)

    def has_alternative(self, balancer: Balancer) -> bool:
        """Whether another balancer is healthy, for a retry."""
        return any(not other.is_ejected for other in self.balancers if other is not balancer)

    def release(self, balancer: Balancer) -> None:
        """End an attempt, whatever its outcome; a `record_...` method reports that."""
        balancer.in_flight -= 1

    def record_answer(self, balancer: Balancer) -> bool:
        """Record that the balancer answered; return whether it had been ejected."""
        was_ejected = balancer.is_ejected
        balancer.consecutive_failures = 0
        balancer.consecutive_ejections = 0
        balancer.probe_owner = None
        return was_ejected

    def record_failure(self, balancer: Balancer, owner: object, now: float) -> bool:
        """Record an attempt without any answer; return whether the balancer is newly ejected."""
        balancer.consecutive_failures += 1
        was_ejected = balancer.is_ejected
        if was_ejected:
            if balancer.probe_owner is not owner:
                return False  # it started before the ejection and proves nothing new
        elif balancer.consecutive_failures < EJECTION_THRESHOLD:
            return False
        balancer.probe_owner = None
        balancer.consecutive_ejections += 1
        ceiling_ms = min(INITIAL_EJECTION_MS * 2.0 ** (balancer.consecutive_ejections - 1), MAX_EJECTION_MS)
        balancer.ejected_until = now + ceiling_ms * (0.5 + self._random.random() / 2.0)
        return not was_ejected

    def record_cancellation(self, balancer: Balancer, owner: object) -> None:
        """Record an attempt that this client ended itself: nothing is learnt, and the next may probe."""
        if balancer.probe_owner is owner:
            balancer.probe_owner = None

    def next_probe_at(self) -> float:
        """When the next ejected balancer may be probed; infinite if none waits for a probe."""
        waiting = (balancer.ejected_until for balancer in self.balancers if balancer.awaits_probe())
        return min(waiting, default=math.inf)
