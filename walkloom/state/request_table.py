"""All requests that a balancer must answer or whose connections it holds."""

from __future__ import annotations

from typing import NamedTuple

from walkloom.messages import (
    AttemptEnded,
    AttemptEstablished,
    ConnectionSignal,
    EndpointId,
    Request,
    RequestClass,
    RequestId,
)
from walkloom.state.endpoint import EndpointState
from walkloom.state.request import RequestState


class Attempt(NamedTuple):
    """The running or established attempt of a request."""

    request: RequestState
    endpoint: EndpointState

    def end_trial(self) -> bool:
        """Mark the trial, if any, as ended; return whether the attempt was a trial of an ejected endpoint."""
        was_trial = self.request.is_trial
        self.request.is_trial = False
        self.endpoint.is_trial_running &= not was_trial
        return was_trial


class RequestTable:
    """The requests by id.

    A request without a running attempt is held until there is capacity, or polls for load reports.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self._classes = classes
        self.by_id: dict[RequestId, RequestState] = {}
        self.held: dict[RequestId, RequestState] = {}
        self.polling: dict[RequestId, RequestState] = {}

    def add(self, request: Request) -> RequestState | None:
        """Add a request and return its state; None if the id is already known."""
        if request.id in self.by_id:
            return None
        added = RequestState(request, self._classes[request.request_class])
        self.by_id[request.id] = added
        return added

    def remove(self, request_id: RequestId) -> None:
        """Remove a request that has its final answer or whose connection has ended."""
        for table in (self.by_id, self.held, self.polling):
            table.pop(request_id, None)

    def disconnect(self, request_id: RequestId) -> None:
        """Mark a request as disconnected; one with a running attempt stays until the attempt ends."""
        if request := self.by_id.get(request_id):
            request.is_disconnected = True
            if request_id in self.held or request_id in self.polling:
                self.remove(request_id)

    def attempt_of(self, event: AttemptEstablished | AttemptEnded | ConnectionSignal) -> Attempt | None:
        """Return the attempt that an event refers to; None if that is not the current attempt."""
        request = self.by_id.get(event.request_id)
        if request is None or request.endpoint is None or event.attempt != request.attempts - 1:
            return None
        return Attempt(request, request.endpoint)

    def remove_finished_polls(self, endpoint_id: EndpointId, now: float) -> list[RequestState]:
        """Remove and return requests whose polls ended: all endpoints answered, or the wait has timed out.

        Args:
            endpoint_id: the endpoint that has just answered; None: no endpoint.
            now: the current time, ms.
        """
        finished = []
        for request in self.polling.values():
            request.awaited_reports.discard(endpoint_id)
            if not request.awaited_reports or request.awaited_until <= now:
                finished.append(request)
        for request in finished:
            del self.polling[request.id]
        return finished
