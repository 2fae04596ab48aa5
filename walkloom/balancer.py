"""Dispatches each event to the modules of the policy and updates the state. It takes no decisions."""

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
    DiscoveryChanged,
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
    retry_safety,
)
from walkloom.state import BalancerState, LoadEstimator, TimerToken

# Handles the type of event under which it is listed in _HANDLERS.
Handler: TypeAlias = Callable[[BalancerState, Any], None]


class Balancer:
    """The core of one balancer, without I/O: takes events, returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        loads = LoadEstimator(
            len(settings.request_classes),
            load_reports.CLASS_LOAD_SMOOTHING,
            load_reports.MEAN_LOAD_WINDOW,
            load_reports.MAX_KNOWN_CLIENTS,
        )
        self.state = BalancerState(settings, Random(seed), loads)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event at `now` (ms); return the actions to carry out, in order."""
        self.state.now = now
        self.state.actions = []
        if handler := _HANDLERS.get(type(event)):
            handler(self.state, event)
        return self.state.actions

    def may_send(self, request_id: RequestId, endpoint_id: EndpointId, now: float) -> bool:
        """Whether an attempt may still send its first byte after its connection took time to set up.

        Since the endpoint was chosen, a drain may have been notified, the list lease may have expired, or the
        deduplication window may have ended. now: ms.
        """
        self.state.now = now
        request = self.state.requests.by_id.get(request_id)
        endpoint = self.state.endpoints.by_id.get(endpoint_id)
        if request is None or endpoint is None or request.is_disconnected:
            return False
        is_allowed = retry_safety.may_retry(self.state, request) and list_lease.is_valid(self.state)
        return is_allowed and endpoint_selection.is_within_drain_grace(self.state, endpoint)

    def watch_hold_ms(self, now: float) -> float:
        """Return how long discovery may hold the next call for the endpoint list, ms. now: ms."""
        self.state.now = now
        return endpoint_watch.hold_ms(self.state)

    def list_lease_ms(self, now: float) -> float:
        """Return how long the endpoint list may still be used, ms; 0 if its lease has expired. now: ms."""
        self.state.now = now
        return list_lease.remaining_ms(self.state)


def _receive_request(state: BalancerState, event: Request) -> None:
    if request := state.requests.add(event):
        state.count_request(request)
        retry_safety.recall_execution(state, request)
        dispatch.place(state, request)


def _receive_connection_adopted(state: BalancerState, event: ConnectionAdopted) -> None:
    """Count a connection that was established before this balancer started."""
    endpoint = state.endpoints.by_id.get(event.endpoint_id)
    if endpoint and (request := state.requests.add(event.request)):
        request.attempts = 1
        request.is_established = True
        state.assign(request, endpoint)
        endpoint.recent_placements = []  # not recent: load reports already contain the connection


def _receive_attempt_established(state: BalancerState, event: AttemptEstablished) -> None:
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


def _receive_discovery_changed(state: BalancerState, _: DiscoveryChanged) -> None:
    endpoint_watch.receive_discovery_change(state)


def _receive_load_report(state: BalancerState, event: LoadReportReceived) -> None:
    if endpoint := state.endpoints.by_id.get(event.endpoint_id):
        state.record_report(
            endpoint, event.load_report, load_reports.MIN_CONNECTIONS_FOR_COST, load_reports.COST_SMOOTHING
        )
        _place_polled(state, endpoint.id)


def _place_polled(state: BalancerState, reported_by: EndpointId = None) -> None:
    """Place the requests whose polls have all been answered or timed out."""
    for request in state.requests.remove_finished_polls(reported_by, state.now):
        dispatch.place(state, request)


def _receive_client_disconnected(state: BalancerState, event: ClientDisconnected) -> None:
    state.requests.disconnect(event.request_id)


def _receive_shutdown_started(state: BalancerState, _: ShutdownStarted) -> None:
    dispatch.shut_down(state)


def _receive_timer_fired(state: BalancerState, event: TimerFired) -> None:
    match event.token:
        case TimerToken.HELD_REQUESTS:
            dispatch.place_held(state)
        case TimerToken.WATCH:
            state.actions.append(WatchEndpointList())
        case TimerToken.DRAIN:
            migration.migrate_from_draining(state)
        case _:
            _place_polled(state)


_HANDLERS: dict[type, Handler] = {
    AttemptEnded: dispatch.receive_attempt_ended,
    AttemptEstablished: _receive_attempt_established,
    ClientDisconnected: _receive_client_disconnected,
    ConnectionAdopted: _receive_connection_adopted,
    ConnectionSignal: _receive_signal,
    DiscoveryChanged: _receive_discovery_changed,
    EndpointListUpdate: endpoint_watch.receive_update,
    LoadReportReceived: _receive_load_report,
    Request: _receive_request,
    ShutdownStarted: _receive_shutdown_started,
    TimerFired: _receive_timer_fired,
}
