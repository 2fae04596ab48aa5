"""All requests that a balancer owes an answer for, or whose connections it holds."""

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
    """The attempt of a request that is out or established."""

    request: RequestState
    endpoint: EndpointState

    def end_trial(self) -> bool:
        """It has its result; returns whether it was the trial of an ejected endpoint."""
        was_trial = self.request.is_trial
        self.request.is_trial = False
        self.endpoint.is_trial_running &= not was_trial
        return was_trial


class RequestTable:
    """The requests by id; those with no attempt out are held for capacity, or polling for load reports."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self._classes = classes
        self.by_id: dict[RequestId, RequestState] = {}
        self.held: dict[RequestId, RequestState] = {}
        self.polling: dict[RequestId, RequestState] = {}

    def add(self, request: Request) -> RequestState | None:
        """Take in a request; None where one of its id is known."""
        if request.id in self.by_id:
            return None
        added = RequestState(request, self._classes[request.request_class])
        self.by_id[request.id] = added
        return added

    def remove(self, request_id: RequestId) -> None:
        """The request has its final answer, or its connection has ended."""
        for table in (self.by_id, self.held, self.polling):
            table.pop(request_id, None)

    def disconnect(self, request_id: RequestId) -> None:
        """Its client has left; a request with an attempt out stays until that ends."""
        if request := self.by_id.get(request_id):
            request.is_over = True
            if request_id in self.held or request_id in self.polling:
                self.remove(request_id)

    def attempt_of(self, event: AttemptEstablished | AttemptEnded | ConnectionSignal) -> Attempt | None:
        """The attempt that an event speaks of; None where it is not the one that is out."""
        request = self.by_id.get(event.request_id)
        if request is None or request.endpoint is None or event.attempt != request.attempts - 1:
            return None
        return Attempt(request, request.endpoint)

    def take_reported(self, endpoint_id: EndpointId, now: float) -> list[RequestState]:
        """Take out those that poll no longer: all their endpoints have answered, or their time is over.

        endpoint_id: who answers now; None: nobody. now: ms.
        """
        taken = []
        for request in self.polling.values():
            request.awaited_reports.discard(endpoint_id)
            if not request.awaited_reports or request.awaited_until <= now:
                taken.append(request)
        for request in taken:
            del self.polling[request.id]
        return taken
