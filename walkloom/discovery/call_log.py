"""What became of the calls to discovery: counters, the age of the list, and their lines in the log. No I/O.

Times are those of trio's clock, in seconds; the log has milliseconds.
"""

from __future__ import annotations

import logging
import math

log = logging.getLogger("walkloom")

# How often the counters are logged while calls are made.
REPORT_INTERVAL_S = 60.0


class CallLog:
    """Counts the calls of one balancer and logs what an operator needs to follow a stale list."""

    def __init__(self, now: float) -> None:
        """now: when the cached list, if there is one, was loaded."""
        self.answered = 0
        self.failed = 0
        self.stalled = 0
        self._confirmed_at = now
        self._failures_in_a_row = 0
        self._max_list_age_s = 0.0
        self._reported_at = now

    def list_age_s(self, now: float) -> float:
        """Return how long ago discovery last answered."""
        return now - self._confirmed_at

    def record_answer(self, called_at: float, now: float, generation: int, changes: int) -> None:
        """Count a call that brought a list; changes: how many entries it has."""
        age_s = self.list_age_s(now)
        self.answered += 1
        self._max_list_age_s = max(self._max_list_age_s, age_s)
        if self._failures_in_a_row:
            log.info(
                "discovery_recovered generation=%d failures=%d list_age_ms=%.0f call_ms=%.0f",
                generation,
                self._failures_in_a_row,
                age_s * 1000.0,
                (now - called_at) * 1000.0,
            )
        elif changes:
            log.info(
                "discovery_answered generation=%d endpoints=%d list_age_ms=%.0f call_ms=%.0f",
                generation,
                changes,
                age_s * 1000.0,
                (now - called_at) * 1000.0,
            )
        self._failures_in_a_row = 0
        self._confirmed_at = now
        self._report_at_intervals(now)

    def record_failure(
        self, called_at: float, now: float, error: str, lease_ms: float, *, stalled: bool = False
    ) -> None:
        """Count a call that brought no list; error: why. stalled: it was given up without any answer.

        lease_ms: how long the list may still be used.
        """
        self.failed += not stalled
        self.stalled += stalled
        self._failures_in_a_row += 1
        call_ms = max(now - called_at, 0.0) * 1000.0 if math.isfinite(called_at) else 0.0
        log.warning(
            "discovery_failed error=%r call_ms=%.0f list_age_ms=%.0f lease_ms=%.0f failures=%d",
            error,
            call_ms,
            self.list_age_s(now) * 1000.0,
            lease_ms,
            self._failures_in_a_row,
        )

    def record_retry(self, now: float) -> None:
        """Log that the pause after a failed call is over."""
        if self._failures_in_a_row:
            age_ms = self.list_age_s(now) * 1000.0
            log.info("discovery_retry list_age_ms=%.0f failures=%d", age_ms, self._failures_in_a_row)

    def _report_at_intervals(self, now: float) -> None:
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            self.report()

    def report(self) -> None:
        """Log the counters since the start."""
        log.info(
            "discovery_calls answered=%d failed=%d stalled=%d max_list_age_ms=%.0f",
            self.answered,
            self.failed,
            self.stalled,
            self._max_list_age_s * 1000.0,
        )
