"""Admission control for one class of requests: after a rejection, the whole class of this client waits.

No I/O. `BUSY MS` closes the gate for MS and up to a tenth more, so that clients rejected together do not
retry together. `BUSY` without a time closes it for a backoff that doubles with each further rejection.
After that, one attempt is admitted, and each success doubles the number of attempts that may be in flight,
until the gate imposes no limit.
"""

from __future__ import annotations

from random import Random

RETRY_AFTER_JITTER = 0.1  # largest extra wait, as a share of the time that the balancer gave
MAX_RETRY_AFTER_MS = 600_000.0  # a single faulty answer must not close the gate for days
INITIAL_BACKOFF_MS = 200.0  # after a rejection without a time
MAX_BACKOFF_MS = 5_000.0  # rare enough to add little load, short enough to notice a recovery soon
MAX_BACKOFF_DOUBLINGS = 16  # far beyond MAX_BACKOFF_MS; prevents an overflow of the power
UNLIMITED_ATTEMPTS = 1 << 20


class AdmissionGate:
    """Decides whether an attempt of its class may start.

    Attributes:
        closed_until: time at which the gate opens again (ms, the client's clock).
        in_flight: attempts of the class that are in flight.
    """

    def __init__(self, random: Random) -> None:
        self.closed_until = 0.0
        self.in_flight = 0
        self._concurrency_limit = UNLIMITED_ATTEMPTS
        self._rejections_without_retry_after = 0  # in a row
        self._random = random

    def admits(self, now: float) -> bool:
        """Whether another attempt may start now."""
        return now >= self.closed_until and self.in_flight < self._concurrency_limit

    def record_rejection(self, now: float, retry_after_ms: float | None) -> bool:
        """Close the gate after a rejection; return whether it now opens later than before.

        retry_after_ms: the time that the balancer gave; None if it gave none.
        """
        wait_ms = (
            self._next_backoff_ms()
            if retry_after_ms is None
            else self._jittered_retry_after_ms(retry_after_ms)
        )
        self._concurrency_limit = 1
        extended = now + wait_ms > self.closed_until
        self.closed_until = max(self.closed_until, now + wait_ms)
        return extended

    def record_success(self, now: float) -> None:
        """Admit more attempts after a success.

        A success while the gate is closed is ignored: its attempt started before the rejection.
        """
        if now >= self.closed_until:
            self._rejections_without_retry_after = 0
            self._concurrency_limit = min(self._concurrency_limit * 2, UNLIMITED_ATTEMPTS)

    def _next_backoff_ms(self) -> float:
        ceiling_ms = min(INITIAL_BACKOFF_MS * 2.0**self._rejections_without_retry_after, MAX_BACKOFF_MS)
        self._rejections_without_retry_after = min(
            self._rejections_without_retry_after + 1, MAX_BACKOFF_DOUBLINGS
        )
        return ceiling_ms * (0.5 + self._random.random() / 2.0)

    def _jittered_retry_after_ms(self, retry_after_ms: float) -> float:
        return min(retry_after_ms, MAX_RETRY_AFTER_MS) * (1.0 + RETRY_AFTER_JITTER * self._random.random())
