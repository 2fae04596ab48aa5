"""What an ended call tells of discovery: whether it is down, and until when it was watched. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from walkloom.discovery.errors import ConnectRefusedError, ResponseIncompleteError, ResponseStatusError
from walkloom.messages import ListFailure

# A discovery that is down refuses within this time. One that refuses later had the call in its queue.
MAX_REFUSAL_S = 0.25


@dataclass(frozen=True, slots=True)
class EndedCall:
    """A call that brought no list."""

    error: Exception
    duration_s: float

    # An answer came over the same connection right before, so that this call went on with a watch.
    continues_watch: bool

    @property
    def failure(self) -> ListFailure:
        """Whether discovery is down or overloaded, as far as the call shows."""
        if isinstance(self.error, ConnectRefusedError):
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
