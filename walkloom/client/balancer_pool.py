"""The balancers of one client: the choice of a balancer for an attempt, and ejection. No I/O.

A balancer is ejected after EJECTION_THRESHOLD failed attempts in a row (no connection, a lost connection or
no answer). The ejection lasts for a random part, at least half, of a backoff that doubles with each
ejection. After that, one attempt at a time probes the balancer, until one is answered. Rejections and
errors are answers and do not count against the balancer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from walkloom.client.errors import InvalidArgumentError

EJECTION_THRESHOLD = 2  # failures in a row; a single failure may be accidental
INITIAL_EJECTION_MS = 250.0
MAX_EJECTION_MS = 10_000.0  # longest time until a balancer that has recovered is probed


@dataclass(slots=True, eq=False)
class Balancer:
    """One balancer address (possibly shared by several balancers), and its health as seen by this client."""

    address: tuple[str, int]
    in_flight: int = 0  # attempts
    consecutive_failures: int = 0
    consecutive_ejections: int = 0  # 0: not ejected
    ejected_until: float = 0.0
    probe_owner: object = None  # owner of the attempt that probes it while it is ejected

    @property
    def is_ejected(self) -> bool:
        """Whether it is given no attempts but probes."""
        return self.consecutive_ejections > 0

    def awaits_probe(self) -> bool:
        """Whether it is ejected and no probe is in flight."""
        return self.is_ejected and self.probe_owner is None

    def may_be_probed(self, now: float) -> bool:
        """Whether an attempt may probe it now."""
        return self.awaits_probe() and now >= self.ejected_until


class BalancerPool:
    """Chooses balancers, and ejects them by the outcome of attempts.

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
        """Choose the balancer for an attempt, in flight there until `release`; None if none is available.

        owner: the owner of the attempt, passed again when its outcome is recorded.
        attempted: the balancers that the request has tried; chosen again only if there is no other.
        may_probe: whether the request has the time and attempts for another balancer if the probe fails.
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
        """Whether another balancer is not ejected and can take a retry."""
        return any(not other.is_ejected for other in self.balancers if other is not balancer)

    def release(self, balancer: Balancer) -> None:
        """End an attempt; a `record_...` method records its outcome."""
        balancer.in_flight -= 1

    def record_answer(self, balancer: Balancer) -> bool:
        """Record that the balancer answered; return whether it had been ejected."""
        was_ejected = balancer.is_ejected
        balancer.consecutive_failures = 0
        balancer.consecutive_ejections = 0
        balancer.probe_owner = None
        return was_ejected

    def record_failure(self, balancer: Balancer, owner: object, now: float) -> bool:
        """Record an attempt without any answer; return whether this ejects the balancer."""
        balancer.consecutive_failures += 1
        was_ejected = balancer.is_ejected
        if was_ejected:
            if balancer.probe_owner is not owner:
                return False  # it started before the ejection, so it is not a failed probe
        elif balancer.consecutive_failures < EJECTION_THRESHOLD:
            return False
        balancer.probe_owner = None
        balancer.consecutive_ejections += 1
        ceiling_ms = min(INITIAL_EJECTION_MS * 2.0 ** (balancer.consecutive_ejections - 1), MAX_EJECTION_MS)
        balancer.ejected_until = now + ceiling_ms * (0.5 + self._random.random() / 2.0)
        return not was_ejected

    def record_cancellation(self, balancer: Balancer, owner: object) -> None:
        """Record an attempt that this client cancelled; if it was a probe, another may follow."""
        if balancer.probe_owner is owner:
            balancer.probe_owner = None

    def next_probe_at(self) -> float:
        """Return when the next ejected balancer may be probed; infinite if none waits for a probe."""
        waiting = (balancer.ejected_until for balancer in self.balancers if balancer.awaits_probe())
        return min(waiting, default=math.inf)
