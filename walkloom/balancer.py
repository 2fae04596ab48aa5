"""Hands each event to the parts of the policy that it concerns, and keeps the records. It decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, TypeAlias

from walkloom.messages import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    EndpointId,
    EndpointListUpdate,
    Event,
    LoadReportReceived,
    Request,
    RequestId,
    Settings,
    ShutdownStarted,
    SignalKind,
    TimerFired,
    WatchEndpointList,
)
from walkloom.policy import (
    dispatch,
    endpoint_selection,
    endpoint_watch,
    list_lease,
    load_reports,
    migration,
    outlier_detection,
)
from walkloom.state import BalancerState, LoadEstimator, TimerToken

# An event's handler; each takes the one type of event under which it is listed.
Handler: TypeAlias = Callable[[BalancerState, Any], None]


class Balancer:
    """One balancer: `handle(event, now)` returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        loads = LoadEstimator(
            len(settings.request_classes),
            load_reports.CLASS_LOAD_SMOOTHING,
            load_reports.MEAN_LOAD_WINDOW,
            load_reports.MAX_KNOWN_CLIENTS,
        )
        self.state = BalancerState(settings, Random(seed), loads)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event at `now` (ms), and return what is to be done, in order."""
        self.state.now = now
        self.state.actions = []
        if handler := _HANDLERS.get(type(event)):
            handler(self.state, event)
        return self.state.actions

    def may_send(self, request_id: RequestId, endpoint_id: EndpointId, now: float) -> bool:
        """Whether an attempt's first byte may still go out, for a caller that took time to connect.

        A drain may have been notified since the choice, or the time for a retry have run out. now: ms.
        """
        self.state.now = now
        request = self.state.requests.by_id.get(request_id)
        endpoint = self.state.endpoints.by_id.get(endpoint_id)
        if request is None or endpoint is None or request.is_disconnected:
            return False
        is_allowed = dispatch.may_retry(self.state, request) and list_lease.is_valid(self.state)
        return is_allowed and endpoint_selection.is_within_drain_grace(self.state, endpoint)

    def watch_hold_ms(self, now: float) -> float:
        """How long discovery may hold the next call for the list, ms. now: ms."""
        self.state.now = now
        return endpoint_watch.hold_ms(self.state)

    def list_lease_ms(self, now: float) -> float:
        """How long the endpoint list may still be used, ms; 0: it may not. now: ms."""
        self.state.now = now
        return list_lease.remaining_ms(self.state)


def _receive_request(state: BalancerState, event: Request) -> None:
    if request := state.requests.add(event):
        state.count_request()
        dispatch.place(state, request)


def _receive_adopted(state: BalancerState, event: ConnectionAdopted) -> None:
    """A connection that stood before this balancer started: count it where it stands."""
    endpoint = state.endpoints.by_id.get(event.endpoint_id)
    if endpoint and (request := state.requests.add(event.request)):
        request.attempts = 1
        request.is_established = True
        state.assign(request, endpoint)
        endpoint.recent_placements = []  # it is not new to the endpoint: load reports hold it already


def _receive_established(state: BalancerState, event: AttemptEstablished) -> None:
    if attempt := state.requests.attempt_of(event):
        attempt.request.is_established = True
        was_trial = attempt.end_trial()
        outlier_detection.record_success(state, attempt.endpoint, was_trial)


def _receive_signal(state: BalancerState, event: ConnectionSignal) -> None:
    if (attempt := state.requests.attempt_of(event)) is None:
        return
    if event.kind == SignalKind.LOAD:
        state.record_load(attempt.request, attempt.endpoint, event.value)
    elif event.kind == SignalKind.MESSAGE_DELAY:
        migration.record_delay(state, attempt.endpoint, event.value)


def _receive_load_report(state: BalancerState, event: LoadReportReceived) -> None:
    if endpoint := state.endpoints.by_id.get(event.endpoint_id):
        state.record_report(
            endpoint, event.load_report, load_reports.MIN_CONNECTIONS_FOR_COST, load_reports.COST_SMOOTHING
        )
        _place_reported(state, endpoint.id)


def _place_reported(state: BalancerState, answered_by: EndpointId = None) -> None:
    """Place the requests that poll no longer, as the last has answered or their time is over."""
    for request in state.requests.remove_finished_polls(answered_by, state.now):
        dispatch.place(state, request)


def _disconnect(state: BalancerState, event: ClientDisconnected) -> None:
    state.requests.disconnect(event.request_id)


def _shut_down(state: BalancerState, _: ShutdownStarted) -> None:
    dispatch.shut_down(state)


def _fire_timer(state: BalancerState, event: TimerFired) -> None:
    match event.token:
        case TimerToken.HELD_REQUESTS:
            dispatch.try_held(state)
        case TimerToken.WATCH:
            state.actions.append(WatchEndpointList())
        case TimerToken.DRAIN:
            migration.migrate_from_draining(state)
        case _:
            _place_reported(state)


_HANDLERS: dict[type, Handler] = {
    AttemptEnded: dispatch.receive_ended,
    AttemptEstablished: _receive_established,
    ClientDisconnected: _disconnect,
    ConnectionAdopted: _receive_adopted,
    ConnectionSignal: _receive_signal,
    EndpointListUpdate: endpoint_watch.receive_update,
    LoadReportReceived: _receive_load_report,
    Request: _receive_request,
    ShutdownStarted: _shut_down,
    TimerFired: _fire_timer,
}
