"""Logs frequent events as one line a second with their count."""

from __future__ import annotations

import logging
import math

import trio

log = logging.getLogger("walkloom")

# One line for each of thousands of events a second would take the CPU time that connections need.
MIN_INTERVAL_S = 1.0


class RateLimitedLog:
    """Logs one kind of event at most once a second, as `event count=N last='...'`."""

    def __init__(self, event: str) -> None:
        self._event = event
        self._count_since_logged = 0
        self._logged_at = -math.inf

    def count(self, last: str) -> None:
        """Count one event, and log the count if the interval is over; last: description of this event."""
        self._count_since_logged += 1
        now = trio.current_time()
        if now - self._logged_at >= MIN_INTERVAL_S:
            log.warning("%s count=%d last=%r", self._event, self._count_since_logged, last)
            self._count_since_logged = 0
            self._logged_at = now
