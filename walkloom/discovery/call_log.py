"""Counts and logs the results of the calls to discovery, and the age of the endpoint list. No I/O.

Times are in seconds of trio's clock; the log has milliseconds.
"""

from __future__ import annotations

import logging
import math

log = logging.getLogger("walkloom")

# Interval at which the counters are logged while discovery answers calls.
REPORT_INTERVAL_S = 60.0


class CallLog:
    """Counts the calls of one balancer and logs what an operator needs to diagnose a stale list."""

    def __init__(self, now: float) -> None:
        """now: the time at which the cached list, if there is one, was loaded."""
        self.answered = 0
        self.failed = 0
        self.stalled = 0
        self._confirmed_at = now
        self._consecutive_failures = 0
        self._max_list_age_s = 0.0
        self._reported_at = now

    def list_age_s(self, now: float) -> float:
        """Return the time since discovery last answered."""
        return now - self._confirmed_at

    def record_answer(self, called_at: float, now: float, generation: int, entry_count: int) -> None:
        """Count a call that returned a list; entry_count: the number of its entries."""
        age_s = self.list_age_s(now)
        self.answered += 1
        self._max_list_age_s = max(self._max_list_age_s, age_s)
        if self._consecutive_failures:
            log.info(
                "discovery_recovered generation=%d failures=%d list_age_ms=%.0f call_ms=%.0f",
                generation,
                self._consecutive_failures,
                age_s * 1000.0,
                (now - called_at) * 1000.0,
            )
        elif entry_count:
            log.info(
                "discovery_answered generation=%d endpoints=%d list_age_ms=%.0f call_ms=%.0f",
                generation,
                entry_count,
                age_s * 1000.0,
                (now - called_at) * 1000.0,
            )
        self._consecutive_failures = 0
        self._confirmed_at = now
        self._report_if_due(now)

    def record_failure(
        self, called_at: float, now: float, error: str, lease_ms: float, *, stalled: bool = False
    ) -> None:
        """Count a call that returned no list; error: the reason. stalled: it timed out without a response.

        lease_ms: how long the list may still be used.
        """
        self.failed += not stalled
        self.stalled += stalled
        self._consecutive_failures += 1
        call_ms = max(now - called_at, 0.0) * 1000.0 if math.isfinite(called_at) else 0.0
        log.warning(
            "discovery_failed error=%r call_ms=%.0f list_age_ms=%.0f lease_ms=%.0f failures=%d",
            error,
            call_ms,
            self.list_age_s(now) * 1000.0,
            lease_ms,
            self._consecutive_failures,
        )

    def record_retry(self, now: float) -> None:
        """Log that calls resume after the pause that followed a failed call."""
        if self._consecutive_failures:
            age_ms = self.list_age_s(now) * 1000.0
            log.info("discovery_retry list_age_ms=%.0f failures=%d", age_ms, self._consecutive_failures)

    def _report_if_due(self, now: float) -> None:
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
