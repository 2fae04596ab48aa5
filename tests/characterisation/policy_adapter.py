"""Translates the neutral records of the policy's characterisation into the program's values and back.

Only this file uses names of the program. The records (see `policy_world`) are plain tuples of words, numbers
and ids, so a renaming in the program does not change the scripts or the digests.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from walkloom.balancer import Balancer
from walkloom.messages import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    DeduplicationScope,
    Endpoint,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Lifecycle,
    LoadReportReceived,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    RequestClass,
    Settings,
    ShutdownStarted,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

Record = tuple[Any, ...]

_IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
_SCOPE = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
_LIFECYCLE = {"removed": Lifecycle.REMOVED, "ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}
_UPDATE_KIND = {
    "incremental": UpdateKind.INCREMENTAL,
    "snapshot": UpdateKind.SNAPSHOT,
    "cached": UpdateKind.CACHED,
    "failed": UpdateKind.FAILED,
}
_SIGNAL = {"load": SignalKind.LOAD, "delay": SignalKind.MESSAGE_DELAY}
_STATUS = {
    "error": AttemptStatus.ERROR,
    "ok": AttemptStatus.OK,
    "at_capacity": AttemptStatus.AT_CAPACITY,
    "timeout": AttemptStatus.TIMED_OUT,
    "connect_failed": AttemptStatus.CONNECT_FAILED,
    "reset": AttemptStatus.CONNECTION_RESET,
    "cancelled": AttemptStatus.CANCELLED,
    "not_sent": AttemptStatus.NOT_SENT,
}


class PolicyAdapter:
    """One balancer's policy, driven by neutral records."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self._balancer = Balancer(_settings(settings), seed)

    def handle(self, event: Record, now: float) -> list[Record]:
        """Pass in one event record at `now` (ms); return the records of the actions, in order."""
        return [_action(action) for action in self._balancer.handle(_event(event), now)]

    def may_send(self, request: int, server: str, now: float) -> bool:
        """Return whether the first byte of the attempt may still be sent at `now` (ms)."""
        return bool(self._balancer.may_send(request, server, now))


def _settings(values: Mapping[str, Any]) -> Settings:
    classes = tuple(
        RequestClass(
            latency_objective_ms=request_class["objective"],
            priority_weight=request_class.get("weight", 1.0),
            idempotency=_IDEMPOTENCY[request_class.get("idempotency", "idempotent")],
            deduplication_scope=_SCOPE[request_class.get("scope", "all")],
            deduplication_window_ms=request_class.get("window", 0.0),
            message_latency_objective_ms=request_class.get("message_objective", 0.0),
        )
        for request_class in values["classes"]
    )
    return Settings(
        request_classes=classes,
        drain_grace_ms=values["drain_grace"],
        balancer_count=values["balancers"],
        local_zone=values["zone"],
        zone_count=values["zones"],
        tenant_quotas=tuple(values["tenants"]),
        polls_endpoint_list=values["polls_list"],
        max_poll_interval_ms=values["poll_within"],
        answer_grace_ms=values["answer_grace"],
        slow_start_min_capacity=values["cold_from"],
        slow_start_ms=values["cold"],
        cold_overload_factor=values["overload_factor"],
        cold_overload_window_ms=values["overload_window"],
        max_attempts=values["attempts"],
        load_reports_available=values["load_reports"],
        server_reports_latency=values["latency_reported"],
        affinity_groups=values["groups"],
        load_report_load_index=values["load_place"],
        load_report_connections_index=values["held_place"],
        connection_quota=values["quota"],
        weights_follow_load=values["live_weights"],
        migration_cost=values["move_cost"],
        tick_ms=values["tick"],
        max_retry_after_ms=values["max_retry_after"],
    )


def _event(record: Record) -> Event:
    kind, *fields = record
    event: Event = _EVENTS[kind](*fields)
    return event


def _endpoint_list_update(kind: str, records: Sequence[Record]) -> Event:
    return EndpointListUpdate(_UPDATE_KIND[kind], tuple(_endpoint(*record) for record in records))


def _endpoint(
    server: str, zone: int, machine: int, cell: int, lifecycle: str, weight: float, start_time: float
) -> Endpoint:
    return Endpoint(
        id=server,
        zone=zone,
        machine_type=machine,
        cell=cell,
        lifecycle=_LIFECYCLE[lifecycle],
        capacity_weight=weight,
        started_at=start_time,
    )


def _request(
    request: int,
    request_class: int,
    deadline: float,
    tenant: int,
    key: int | None,
    group: int | None,
    load: float | None,
    is_retry: bool,
    is_reconnect: bool,
) -> Request:
    return Request(
        id=request,
        request_class=request_class,
        deadline=deadline,
        tenant=tenant,
        client_key=key,
        affinity_group=group,
        load=load,
        is_retry=is_retry,
        is_reconnect=is_reconnect,
    )


def _adopted(request: int, request_class: int, key: int | None, group: int | None, server: str) -> Event:
    adopted = Request(
        request, request_class, float("inf"), client_key=key, affinity_group=group, is_established=True
    )
    return ConnectionAdopted(adopted, server)


def _established(request: int, attempt: int, server: str, duration_ms: float) -> Event:
    return AttemptEstablished(request_id=request, attempt=attempt, endpoint_id=server, elapsed_ms=duration_ms)


def _signal(request: int, attempt: int, server: str, kind: str, value: float) -> Event:
    return ConnectionSignal(
        request_id=request, attempt=attempt, endpoint_id=server, kind=_SIGNAL[kind], value=value
    )


def _ended(
    request: int, attempt: int, server: str, status: str, duration_ms: float, is_closed: bool
) -> Event:
    return AttemptEnded(
        request_id=request,
        attempt=attempt,
        endpoint_id=server,
        status=_STATUS[status],
        elapsed_ms=duration_ms,
        request_closed=is_closed,
    )


def _load_report(server: str, status: str, duration_ms: float, values: tuple[float, ...]) -> Event:
    return LoadReportReceived(
        endpoint_id=server, status=_STATUS[status], elapsed_ms=duration_ms, load_report=values
    )


_EVENTS: dict[str, Any] = {
    "list": _endpoint_list_update,
    "request": _request,
    "adopted": _adopted,
    "established": _established,
    "signal": _signal,
    "ended": _ended,
    "client_left": ClientDisconnected,
    "shutdown": ShutdownStarted,
    "timer": TimerFired,
    "report": _load_report,
}


def _action(action: Action) -> Record:
    match action:
        case StartAttempt():
            return ("send", action.request_id, action.endpoint_id, action.timeout_ms)
        case Reject():
            return ("reject", action.request_id, action.retry_after_ms)
        case Fail():
            return ("fail", action.request_id)
        case MigrateConnection():
            return ("migrate", action.request_id)
        case StartTimer():
            return ("timer", action.fires_at, int(action.token))
        case PollLoadReport():
            return ("poll", action.endpoint_id)
        case WatchEndpointList():
            return ("watch", action.enabled)
        case LogMessage():
            return ("log", action.endpoint_id)
    raise TypeError(f"no neutral record for {action!r}")
