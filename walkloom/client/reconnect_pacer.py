"""How sessions that were sent away together come back: one after another, the worthiest class first. No I/O.

They are spread over a window that grows with how many they are: `1 / per_s` for each, but no less than
`first_ms` and no more than `window_ms` for all. A client with a single session so draws a time from 0 to
`first_ms` (a shorter one for a class of more worth), which spreads clients that know nothing of each other.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Generic, TypeVar

S = TypeVar("S")


class Returns(Generic[S]):
    def __init__(
        self, classes: Mapping[str, float], per_s: float, first_ms: float, window_ms: float, rng: Random
    ) -> None:
        """classes: with the worth of each, in the order in which they go."""
        self._queues: dict[str, deque[S]] = {name: deque() for name in classes}
        least = min(classes.values())
        self._scale = {name: least / worth for name, worth in classes.items()}  # of the first one's time
        self._each, self._first, self._window, self._rng = 1000.0 / per_s, first_ms, window_ms, rng
        self._count = 0  # those that wait
        # of this burst: when it began, the most that waited at a time, and what was drawn for its first
        self._began, self._most, self._draw = -math.inf, 0, 0.0
        self._last_at = -math.inf  # when the newest went
        self._share = 1.0  # of the gap that the next keeps from it, half to one and a half

    def add(self, cls: str, session: S, now: float) -> None:
        if not self._count:
            self._began, self._most, self._draw = now, 0, self._rng.random()
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
        for name, queue in self._queues.items():
            if queue and now >= self._at(name) and admits(name):
                self._count -= 1
                # from now, not from when it was due: a loop that is late does not make up for it by a burst
                self._last_at, self._share = now, 0.5 + self._rng.random()
                return queue.popleft()
        return None

    def next_at(self, holds: Callable[[str], float]) -> float:
        """When to ask again. holds: until when a class may not go."""
        return min(
            (max(self._at(name), holds(name)) for name, queue in self._queues.items() if queue),
            default=math.inf,
        )

    def _at(self, cls: str) -> float:
        """When the next one may go, if it is of that class; sooner if more are sent away meanwhile."""
        window = max(min(self._each * self._most, self._window), self._first)
        gap = window / max(self._most, 1)
        return max(self._began + gap * self._draw * self._scale[cls], self._last_at + gap * self._share)
