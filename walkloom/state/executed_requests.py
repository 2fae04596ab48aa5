"""The requests that may have run, by the ids that their clients gave them."""

from __future__ import annotations

from typing import NamedTuple

from walkloom.state.endpoint import EndpointState

# Bounds the memory to some ten MB; the requests that ran longest ago are forgotten first.
MAX_REMEMBERED_REQUESTS = 50_000


class Execution(NamedTuple):
    """The first attempt of a request that may have run."""

    # When it was sent, ms.
    sent_at: float

    # The endpoint that it was sent to; None where that does not matter for a repeat.
    endpoint: EndpointState | None


class ExecutedRequests:
    """Remembers requests that may have run after they have ended, as a client may send one again."""

    def __init__(self, max_requests: int = MAX_REMEMBERED_REQUESTS) -> None:
        self._max_requests = max_requests
        self._executions: dict[str, Execution] = {}  # longest ago first

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._executions)

    def find(self, idempotency_key: str | None) -> Execution | None:
        """Return the first attempt that may have run of a request with this key; None if none has."""
        return None if idempotency_key is None else self._executions.get(idempotency_key)

    def record(self, idempotency_key: str, execution: Execution) -> None:
        """Record an attempt that may have run; the first one of a request is kept."""
        self._executions.setdefault(idempotency_key, execution)
        if len(self._executions) > self._max_requests:
            del self._executions[next(iter(self._executions))]
