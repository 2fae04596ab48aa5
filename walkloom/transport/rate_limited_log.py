"""Log lines for what may come by the thousand: guards the CPU, a line a second for each kind is enough."""

from __future__ import annotations

import logging
import math

import trio

log = logging.getLogger("walkloom")
PAUSE_S = 1.0


class RateLimitedLog:
    def __init__(self, event: str) -> None:
        self._event, self._count, self._told_at = event, 0, -math.inf

    def count(self, last: str) -> None:
        self._count += 1
        if (now := trio.current_time()) - self._told_at >= PAUSE_S:
            log.warning("%s count=%d last=%r", self._event, self._count, last)
            self._count, self._told_at = 0, now
