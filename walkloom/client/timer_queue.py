"""The timers of all sessions of one client, in one heap; each session has at most one timer. No I/O."""

from __future__ import annotations

import math
from collections.abc import Sized
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from walkloom.client.session import Session

MAX_ENTRIES_PER_SESSION = 4  # heap entries per session before stale entries are removed
MIN_CLEANUP_ENTRIES = 1024  # a smaller heap is never cleaned up


class _Entry(NamedTuple):
    due_at: float
    session_id: int
    timer_id: int
    session: Session

    @property
    def is_stale(self) -> bool:
        """Whether the session's timer has been replaced or cancelled since."""
        return self.timer_id != self.session.timer_id


class TimerQueue:
    """Schedules one timer for each session; a new timer replaces the earlier one.

    sessions: the open sessions; their number bounds the size of the heap.
    """

    def __init__(self, sessions: Sized) -> None:
        self._sessions = sessions
        self._heap: list[_Entry] = []
        self._last_timer_id = 0

    def schedule(self, session: Session, due_at: float) -> None:
        """Set the session's timer (ms); infinite for no timer."""
        self._last_timer_id += 1
        session.timer_id = self._last_timer_id
        session.timer_due_at = due_at
        if due_at < math.inf:
            heappush(self._heap, _Entry(due_at, session.session_id, session.timer_id, session))
        if len(self._heap) > MAX_ENTRIES_PER_SESSION * len(self._sessions) + MIN_CLEANUP_ENTRIES:
            self._heap = [entry for entry in self._heap if not entry.is_stale]
            heapify(self._heap)

    def cancel(self, session: Session) -> None:
        """Cancel the session's timer."""
        self.schedule(session, math.inf)

    def pop_due(self, now: float) -> Session | None:
        """Return the next session whose timer is due, and remove the timer; None if no timer is due."""
        while self._heap and self._heap[0].due_at <= now:
            entry = heappop(self._heap)
            if not entry.is_stale:
                entry.session.timer_due_at = math.inf
                return entry.session
        return None

    def next_due_at(self) -> float:
        """Return when the next timer is due; infinite if there is none."""
        while self._heap and self._heap[0].is_stale:
            heappop(self._heap)
        return self._heap[0].due_at if self._heap else math.inf
