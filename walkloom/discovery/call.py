"""One call to discovery, and what its end shows: queue time, an outage, the end of a watch. No I/O.

Times are in seconds of trio's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from walkloom.discovery.errors import ConnectRefusedError, ResponseIncompleteError, ResponseStatusError
from walkloom.messages import ListFailure

# If discovery is down, it refuses a new call within this time. A later refusal means that the call was
# queued.
# The end of a watch is no refusal, however soon it comes: discovery may have ended the watch alone.
MAX_REFUSAL_DELAY_S = 0.25


# A watch continues if the next call begins within this time after the previous response; the platform allows
# 0.2 s.
MAX_WATCH_GAP_S = 0.15


@dataclass(frozen=True, slots=True)
class Call:
    """A call in progress."""

    started_at: float

    # How long discovery may hold the call; 0: it responds at once.
    hold_ms: float

    # Whether this call began right after the previous response, so that the watch continues without a gap.
    continues_watch: bool

    def queue_ms(self, answered_at: float) -> float:
        """Return how long the call waited in discovery's queue, ms; 0 if that is unknown."""
        excess_ms = (answered_at - self.started_at) * 1000.0 - self.hold_ms
        return 0.0 if self.continues_watch else max(excess_ms, 0.0)

    def to_failed_call(self, error: Exception, now: float) -> FailedCall:
        """Return this call as a failed one."""
        return FailedCall(error, now - self.started_at, self.continues_watch)


@dataclass(frozen=True, slots=True)
class FailedCall:
    """A call that returned no list."""

    error: Exception
    duration_s: float

    # Whether the call continued a watch, as in Call.
    continues_watch: bool

    @property
    def failure(self) -> ListFailure:
        """Whether discovery appears to be down or overloaded, as far as this call shows."""
        if isinstance(self.error, ConnectRefusedError):
            return ListFailure.UNREACHABLE
        if self._is_refusal and not self.continues_watch and self.duration_s <= MAX_REFUSAL_DELAY_S:
            return ListFailure.UNREACHABLE
        return ListFailure.OVERLOADED if self._is_server_error else ListFailure.UNANSWERED

    @property
    def ended_watch(self) -> bool:
        """Whether discovery itself ended a watch.

        This shows the state of discovery at the end of the call only. The watch may have been silent since
        the previous response, and an end by discovery reaches a silent watch, too.
        """
        return self.continues_watch and self._is_refusal

    @property
    def _is_refusal(self) -> bool:
        is_closed_without_response = (
            isinstance(self.error, ResponseIncompleteError) and not self.error.received_bytes
        )
        return is_closed_without_response or self._is_server_error

    @property
    def _is_server_error(self) -> bool:
        if not isinstance(self.error, ResponseStatusError):
            return False
        return self.error.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR
