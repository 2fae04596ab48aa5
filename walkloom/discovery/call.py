"""One call to discovery, and what its end tells: a queue, an outage, until when it was watched. No I/O.

Times are seconds of trio's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from walkloom.discovery.errors import (
    CallStalledError,
    ConnectRefusedError,
    ResponseIncompleteError,
    ResponseStatusError,
)
from walkloom.messages import ListFailure

# A discovery that is down refuses within this time. One that refuses later had the call in its queue.
MAX_REFUSAL_S = 0.25


# A watch goes on where the next call comes so soon after the answer before; the platform allows 0.2 s.
MAX_WATCH_GAP_S = 0.15


@dataclass(frozen=True, slots=True)
class Call:
    """A call that is out."""

    started_at: float

    # How long discovery may hold it; 0: it is answered at once.
    hold_ms: float

    # The answer before came right before, so that this call goes on with a watch.
    continues_watch: bool

    def queue_ms(self, answered_at: float) -> float:
        """Return how long the call waited in discovery's queue; 0 where that is not known."""
        beyond_hold_ms = (answered_at - self.started_at) * 1000.0 - self.hold_ms
        return 0.0 if self.continues_watch else max(beyond_hold_ms, 0.0)

    def ended(self, error: Exception, now: float, *, calls_agent: bool = False) -> EndedCall:
        """Return the call as one that brought no list; calls_agent: to the agent of a pushed list."""
        return EndedCall(error, now - self.started_at, self.continues_watch, calls_agent)


@dataclass(frozen=True, slots=True)
class EndedCall:
    """A call that brought no list."""

    error: Exception
    duration_s: float

    # As in Call.
    continues_watch: bool

    # It went to the agent of a pushed list, which is silent while it learns nothing.
    calls_agent: bool = False

    @property
    def failure(self) -> ListFailure:
        """Whether discovery is down or overloaded, as far as the call shows."""
        if isinstance(self.error, ConnectRefusedError):
            return ListFailure.UNREACHABLE
        if isinstance(self.error, CallStalledError) and self.calls_agent and not self.continues_watch:
            return ListFailure.UNREACHABLE
        if self._is_refusal and self.duration_s <= MAX_REFUSAL_S:
            return ListFailure.UNREACHABLE
        return ListFailure.OVERLOADED if self._is_server_error else ListFailure.UNANSWERED

    @property
    def ended_watch(self) -> bool:
        """Whether discovery itself ended a watch that was open until now."""
        return self.continues_watch and self._is_refusal

    @property
    def _is_refusal(self) -> bool:
        is_silent_end = isinstance(self.error, ResponseIncompleteError) and not self.error.received_bytes
        return is_silent_end or self._is_server_error

    @property
    def _is_server_error(self) -> bool:
        if not isinstance(self.error, ResponseStatusError):
            return False
        return self.error.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR
