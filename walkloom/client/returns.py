"""How sessions that were sent away together come back: one after another, the worthiest class first. No I/O.

The first of a burst waits a time drawn from 0 to `first_ms`, which spreads clients that hold one session
each.
The others follow `1 / per_s` apart (by half to one and a half of it), so the window grows with how many there
are, up to `window_ms`, beyond which they follow faster.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Generic, TypeVar

S = TypeVar("S")


class Returns(Generic[S]):
    def __init__(
        self, classes: Sequence[str], per_s: float, first_ms: float, window_ms: float, rng: Random
    ) -> None:
        """classes: in the order in which they go."""
        self._queues: dict[str, deque[S]] = {name: deque() for name in classes}
        self._gap, self._first, self._window, self._rng = 1000.0 / per_s, first_ms, window_ms, rng
        self._first_at = -math.inf  # when the first of this burst may go
        self._last_at = -math.inf  # when the newest went
        self._share = 1.0  # of the gap that the next keeps from it
        self._count = 0  # those that wait
        self._most = 0  # the most that waited at a time, of this burst

    def add(self, cls: str, session: S, now: float) -> None:
        if not self._count:
            self._first_at, self._most = now + self._rng.random() * self._first, 0
        self._queues[cls].append(session)
        self._count += 1
        self._most = max(self._most, self._count)

    def discard(self, cls: str, session: S) -> None:
        try:
            self._queues[cls].remove(session)
        except ValueError:  # it went already
            return
        self._count -= 1

    def release(self, now: float, admits: Callable[[str], bool]) -> S | None:
        """The next one whose time has come, of a class that may go; None where there is none now."""
        if not self._count or now < self._at():
            return None
        for name, queue in self._queues.items():
            if queue and admits(name):
                self._count -= 1
                # from now, not from when it was due: a loop that is late does not make up for it by a burst
                self._last_at, self._share = now, 0.5 + self._rng.random()
                return queue.popleft()
        return None

    def _at(self) -> float:
        """When the next one may go; the gap shrinks when more are sent away meanwhile."""
        gap = min(self._gap, self._window / max(self._most, 1))
        return max(self._first_at, self._last_at + gap * self._share)

    def next_at(self, holds: Callable[[str], float]) -> float:
        """When to ask again. holds: until when a class may not go."""
        waiting = [holds(name) for name, queue in self._queues.items() if queue]
        return max(self._at(), min(waiting)) if waiting else math.inf
