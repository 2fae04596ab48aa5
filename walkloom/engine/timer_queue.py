"""The policy's timers: a queue ordered by due time, and the loop that fires them.

Timers cannot be cancelled; the policy ignores the token of a timer that it no longer needs.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

import trio


class _Timer(NamedTuple):
    # Absolute time, ms; first, so that the heap orders timers by it.
    fires_at: float

    # Identifies the timer to the policy.
    token: int


class TimerQueue:
    """Fires each timer when it is due, in order of time; timers with equal times fire in order of token."""

    def __init__(self, now: Callable[[], float], fire: Callable[[int], None]) -> None:
        """Create an empty queue.

        now: the clock that the due times refer to, ms. fire: called with the token of each due timer; it may
        add timers.
        """
        self._now = now
        self._fire = fire
        self._heap: list[_Timer] = []
        self._added = trio.Event()

    def add(self, fires_at: float, token: int) -> None:
        """Add a timer that fires at an absolute time, ms; at once if that time has passed."""
        heappush(self._heap, _Timer(fires_at, token))
        self._added.set()

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            # The event is replaced before the wait is computed, with no checkpoint between the two. A timer
            # added before is included in the wait; a timer added later sets the event that is awaited.
            self._added = trio.Event()
            with trio.move_on_after(self._wait_s()):
                await self._added.wait()
            self._fire_due()

    def _wait_s(self) -> float:
        if not self._heap:
            return math.inf
        return max((self._heap[0].fires_at - self._now()) / 1000.0, 0.0)

    def _fire_due(self) -> None:
        # Read the clock and the heap again each time: firing may take time and may add timers.
        while self._heap and self._heap[0].fires_at <= self._now():
            timer = heappop(self._heap)
            self._fire(timer.token)
