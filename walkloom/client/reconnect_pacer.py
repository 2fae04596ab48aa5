"""Paces the reconnects of sessions that lost their connections together, highest priority class first.

No I/O. The sessions are spread over a window that grows with their number: `1 / rate_per_s` for each, but
at least `initial_spread_ms` and at most `max_window_ms` in total. A client with a single session therefore
waits for a time drawn from 0 to `initial_spread_ms` (less for a class of higher priority), which spreads
independent clients.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Generic, TypeVar

SessionT = TypeVar("SessionT")


class ReconnectPacer(Generic[SessionT]):
    """Holds the sessions that wait to reconnect, and releases them one by one.

    class_weights: the priority weight of each class, in the order in which classes are served.
    """

    def __init__(
        self,
        class_weights: Mapping[str, float],
        rate_per_s: float,
        initial_spread_ms: float,
        max_window_ms: float,
        random: Random,
    ) -> None:
        lowest_weight = min(class_weights.values())
        self._queues: dict[str, deque[SessionT]] = {name: deque() for name in class_weights}
        # by class; scales the delay of the first reconnect
        self._first_delay_factors = {name: lowest_weight / weight for name, weight in class_weights.items()}
        self._interval_ms = 1000.0 / rate_per_s
        self._initial_spread_ms = initial_spread_ms
        self._max_window_ms = max_window_ms
        self._random = random
        self._waiting_count = 0
        # the current burst: its start, its most waiting sessions, and the draw of its first delay
        self._burst_started_at = -math.inf
        self._burst_peak = 0
        self._first_delay_draw = 0.0
        self._last_release_at = -math.inf
        self._gap_factor = 1.0  # scales the gap until the next release; drawn from 0.5 to 1.5

    def add(self, request_class: str, session: SessionT, now: float) -> None:
        """Queue a session for its reconnect."""
        if not self._waiting_count:
            self._burst_started_at = now
            self._burst_peak = 0
            self._first_delay_draw = self._random.random()
        self._queues[request_class].append(session)
        self._waiting_count += 1
        self._burst_peak = max(self._burst_peak, self._waiting_count)

    def discard(self, request_class: str, session: SessionT) -> None:
        """Remove a session if it still waits."""
        try:
            self._queues[request_class].remove(session)
        except ValueError:  # already released
            return
        self._waiting_count -= 1

    def release(self, now: float, admits: Callable[[str], bool]) -> SessionT | None:
        """Return the next due session of a class that `admits` allows; None if there is none."""
        for name, queue in self._queues.items():
            if queue and now >= self._due_at(name) and admits(name):
                self._waiting_count -= 1
                # `now`, not the time at which it was due: a delayed event loop must not catch up with a burst
                self._last_release_at = now
                self._gap_factor = 0.5 + self._random.random()
                return queue.popleft()
        return None

    def next_release_at(self, admitted_at: Callable[[str], float]) -> float:
        """Return when to call `release` again; infinite if no session waits.

        admitted_at: the earliest time at which a session of a class may reconnect.
        """
        return min(
            (max(self._due_at(name), admitted_at(name)) for name, queue in self._queues.items() if queue),
            default=math.inf,
        )

    def _due_at(self, request_class: str) -> float:
        """Return when the next session of that class is due; sessions that join the burst make it earlier."""
        window_ms = max(
            min(self._interval_ms * self._burst_peak, self._max_window_ms), self._initial_spread_ms
        )
        gap_ms = window_ms / max(self._burst_peak, 1)
        first_delay_ms = gap_ms * self._first_delay_draw * self._first_delay_factors[request_class]
        return max(self._burst_started_at + first_delay_ms, self._last_release_at + gap_ms * self._gap_factor)
