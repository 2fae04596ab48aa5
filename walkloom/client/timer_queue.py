"""The timers of all sessions of one client: one heap, and at most one timer for each session. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sized
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from walkloom.client.session import Session

STALE_PER_SESSION = 4  # entries of the heap for each session before the stale ones are dropped
STALE_BASE = 1024  # entries that are not worth a clean-up


class _Entry(NamedTuple):
    due_at: float
    session_id: int
    timer_id: int
    session: Session

    @property
    def is_stale(self) -> bool:
        """Whether the session's timer was set anew since."""
        return self.timer_id != self.session.timer_id


class TimerQueue:
    """Schedules one timer for each session; a new one replaces it.

    sessions: those that are open; their number bounds the heap.
    """

    def __init__(self, sessions: Sized) -> None:
        self._sessions = sessions
        self._heap: list[_Entry] = []
        self._newest_timer_id = 0

    def schedule(self, session: Session, due_at: float) -> None:
        """Set the session's timer (ms); infinite: it has none."""
        self._newest_timer_id += 1
        session.timer_id = self._newest_timer_id
        session.timer_due_at = due_at
        if due_at < math.inf:
            heappush(self._heap, _Entry(due_at, session.session_id, session.timer_id, session))
        if len(self._heap) > STALE_PER_SESSION * len(self._sessions) + STALE_BASE:
            self._heap = [entry for entry in self._heap if not entry.is_stale]
            heapify(self._heap)

    def cancel(self, session: Session) -> None:
        """Drop the session's timer."""
        self.schedule(session, math.inf)

    def pop_due(self, now: float) -> Session | None:
        """Return the next session whose timer is due; None if no timer is."""
        while self._heap and self._heap[0].due_at <= now:
            entry = heappop(self._heap)
            if not entry.is_stale:
                entry.session.timer_due_at = math.inf
                return entry.session
        return None

    def next_due_at(self) -> float:
        """When the next timer is due; infinite if there is none."""
        while self._heap and self._heap[0].is_stale:
            heappop(self._heap)
        return self._heap[0].due_at if self._heap else math.inf
