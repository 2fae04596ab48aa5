"""Which balancer a try goes to, and which are left out because they do not answer. No I/O.

A balancer that failed FAILS tries in a row (no connection, a break, silence) is left out for a time that
doubles, drawn from its upper half. When that is over one request at a time tries it, until one is answered.
A refusal and an error are answers: they say nothing against the balancer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

FAILS = 2
OUT_MS, OUT_MOST_MS = 250.0, 10_000.0


@dataclass(slots=True, eq=False)
class Target:
    """One balancer (or a front before several), as this client knows it."""

    address: tuple[str, int]
    busy: int = 0  # tries that are out
    fails: int = 0  # in a row
    outs: int = 0  # times left out in a row; 0: it is in
    out_until: float = 0.0
    trial: object = None  # who tries it while it is left out


class Targets:
    def __init__(self, addresses: Sequence[tuple[str, int]], rng: Random) -> None:
        if not addresses:
            raise ValueError("a client needs at least one balancer")
        self.all = tuple(Target(address) for address in dict.fromkeys(addresses))
        self._rng = rng

    def choose(self, now: float, who: object, asked: Sequence[Target], risk: bool) -> Target | None:
        """The balancer for one more try of a request, counted as out there until `ended`; None: wait.

        who: whose try it is, handed back with its outcome.

        asked: those that this request asked already, gone back to only where nobody else is left.
        risk: the request has the time and tries to ask another one afterwards, so it may be a trial.
        """
        sound = [t for t in self.all if not t.outs]
        pool = [t for t in sound if t not in asked] or sound
        due = [t for t in self.all if t.outs and t.trial is None and now >= t.out_until]
        if due and (risk or not pool):
            target = min(due, key=lambda t: (t in asked, t.out_until))
            target.trial = who
        elif pool:
            a, b = self._rng.choice(pool), self._rng.choice(pool)
            target = a if a.busy <= b.busy else b
        else:
            return None
        target.busy += 1
        return target

    def any(self, now: float) -> bool:
        """Whether anybody can be asked now."""
        return any(not t.outs or (t.trial is None and now >= t.out_until) for t in self.all)

    def others(self, target: Target) -> bool:
        """Whether another balancer is in, for a further try."""
        return any(not t.outs for t in self.all if t is not target)

    def ended(self, target: Target) -> None:
        """A try there is over, whatever came of it; `answered` or `failed` tell that."""
        target.busy -= 1

    def answered(self, target: Target) -> bool:
        """It lives. True if it had been left out."""
        back = target.outs > 0
        target.fails, target.outs, target.trial = 0, 0, None
        return back

    def failed(self, target: Target, who: object, now: float) -> bool:
        """A try there brought nothing. True if it is left out from now on."""
        target.fails += 1
        was_out = target.outs > 0
        if target.fails < FAILS if not was_out else target.trial is not who:
            return False  # once may be chance; and a try from before it was left out proves nothing new
        target.trial = None
        target.outs += 1
        wait = min(OUT_MS * 2.0 ** (target.outs - 1), OUT_MOST_MS)
        target.out_until = now + wait * (0.5 + self._rng.random() / 2.0)
        return not was_out

    def unknown(self, target: Target, who: object) -> None:
        """A try there ended by our own will: nothing is learnt, and the next may be the trial."""
        if target.trial is who:
            target.trial = None

    def next_due(self) -> float:
        """When the next one that is left out may be tried; infinite where none waits."""
        return min((t.out_until for t in self.all if t.outs and t.trial is None), default=math.inf)
