"""Admission control for one class of requests: a rejection holds the whole class of this client back.

No I/O. `BUSY MS` closes the gate for MS and up to a tenth more, so that clients rejected together do not
retry together; `BUSY` alone closes it for a backoff that doubles while rejections go on. After that one
attempt is admitted; each success doubles how many may be in flight, up to no limit of the gate's own.
"""

from __future__ import annotations

from random import Random

RETRY_AFTER_JITTER = 0.1  # of the time that the balancer named
MAX_RETRY_AFTER_MS = 600_000.0  # guards a client against one odd line that closes its gate for days
INITIAL_BACKOFF_MS = 200.0  # of a rejection that names no time
MAX_BACKOFF_MS = 5_000.0  # by then the client asks rarely enough, and still notices a recovery soon
MAX_BACKOFF_DOUBLINGS = 16  # far beyond MAX_BACKOFF_MS; keeps the power finite
UNLIMITED_ATTEMPTS = 1 << 20


class AdmissionGate:
    """Decides whether an attempt of its class may start.

    Attributes:
        closed_until: when the gate opens again (ms, the client's clock).
        in_flight: attempts of the class that are in flight.
    """

    def __init__(self, random: Random) -> None:
        self.closed_until = 0.0
        self.in_flight = 0
        self._concurrency_limit = UNLIMITED_ATTEMPTS
        self._untimed_rejections = 0  # in a row
        self._random = random

    def admits(self, now: float) -> bool:
        """Whether one more attempt may start now."""
        return now >= self.closed_until and self.in_flight < self._concurrency_limit

    def record_rejection(self, now: float, retry_after_ms: float | None) -> bool:
        """Close the gate after a rejection; return whether that moved its opening time back.

        retry_after_ms: as the balancer named it, None if it named none.
        """
        wait_ms = self._backoff_ms() if retry_after_ms is None else self._retry_after_ms(retry_after_ms)
        self._concurrency_limit = 1
        extended = now + wait_ms > self.closed_until
        self.closed_until = max(self.closed_until, now + wait_ms)
        return extended

    def record_success(self, now: float) -> None:
        """Let more attempts in after one succeeded.

        One that started before the gate closed says nothing about the time after it.
        """
        if now >= self.closed_until:
            self._untimed_rejections = 0
            self._concurrency_limit = min(self._concurrency_limit * 2, UNLIMITED_ATTEMPTS)

    def _backoff_ms(self) -> float:
        ceiling_ms = min(INITIAL_BACKOFF_MS * 2.0**self._untimed_rejections, MAX_BACKOFF_MS)
        self._untimed_rejections = min(self._untimed_rejections + 1, MAX_BACKOFF_DOUBLINGS)
        return ceiling_ms * (0.5 + self._random.random() / 2.0)

    def _retry_after_ms(self, retry_after_ms: float) -> float:
        return min(retry_after_ms, MAX_RETRY_AFTER_MS) * (1.0 + RETRY_AFTER_JITTER * self._random.random())
