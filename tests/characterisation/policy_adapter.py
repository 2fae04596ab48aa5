"""Translates the neutral records of the policy's characterisation into the program's values and back.

Only this file knows how the program names things. The records themselves (see `policy_world`) are plain
tuples of words, numbers and ids, so that a renaming in the program leaves scripts and digests as they are.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from walkloom import interface as f
from walkloom.decide import Balancer

Record = tuple[Any, ...]

_IDEMPOTENCY = {"idempotent": f.Effect.SAFE, "keyed": f.Effect.KEYED, "unsafe": f.Effect.UNSAFE}
_SCOPE = {"all": f.Scope.ALL, "zone": f.Scope.ZONE, "cell": f.Scope.CELL}
_LIFECYCLE = {"removed": f.State.GONE, "ready": f.State.READY, "draining": f.State.DRAINING}
_LIST_KIND = {
    "incremental": f.ListKind.DELTA,
    "snapshot": f.ListKind.FULL,
    "cached": f.ListKind.CACHED,
    "failed": f.ListKind.FAILED,
}
_SIGNAL = {"load": f.NoteKind.LOAD, "delay": f.NoteKind.DELAY}
_STATUS = {
    "error": f.Status.ERROR,
    "ok": f.Status.OK,
    "at_capacity": f.Status.FULL,
    "timeout": f.Status.TIMEOUT,
    "connect_failed": f.Status.CONNECT_FAILED,
    "reset": f.Status.RESET,
    "cancelled": f.Status.CANCELLED,
    "not_sent": f.Status.MOOT,
}


class PolicyAdapter:
    """One balancer's policy, driven by neutral records."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self._balancer = Balancer(_settings(settings), seed)

    def handle(self, event: Record, now: float) -> list[Record]:
        """Hand in one event record at `now` (ms); return the records of the actions, in order."""
        return [_action(action) for action in self._balancer.handle(_event(event), now)]

    def may_send(self, request: int, server: str, now: float) -> bool:
        """Whether the attempt's first byte may still go out at `now` (ms)."""
        return bool(self._balancer.may_send(request, server, now))


def _settings(values: Mapping[str, Any]) -> f.Settings:
    classes = tuple(
        f.RequestClass(
            aim=item["objective"],
            worth=item.get("weight", 1.0),
            effect=_IDEMPOTENCY[item.get("idempotency", "idempotent")],
            scope=_SCOPE[item.get("scope", "all")],
            window=item.get("window", 0.0),
            message_aim=item.get("message_objective", 0.0),
        )
        for item in values["classes"]
    )
    return f.Settings(
        classes=classes,
        drain_grace=values["drain_grace"],
        balancers=values["balancers"],
        zone=values["zone"],
        zones=values["zones"],
        tenants=tuple(values["tenants"]),
        asks=values["polls_list"],
        ask_within=values["poll_within"],
        answer_grace=values["answer_grace"],
        cold_from=values["cold_from"],
        cold=values["cold"],
        overload_factor=values["overload_factor"],
        overload_for=values["overload_window"],
        max_attempts=values["attempts"],
        may_probe=values["load_reports"],
        tells_delay=values["latency_reported"],
        groups=values["groups"],
        load_field=values["load_place"],
        held_field=values["held_place"],
        quota=values["quota"],
        live_weights=values["live_weights"],
        move_price=values["move_cost"],
        tick=values["tick"],
        max_retry_after=values["max_retry_after"],
    )


def _event(record: Record) -> f.Event:
    word, *fields = record
    event: f.Event = _EVENTS[word](*fields)
    return event


def _list(kind: str, lines: Sequence[Record]) -> f.Event:
    return f.ServerList(_LIST_KIND[kind], tuple(_line(*line) for line in lines))


def _line(
    server: str, zone: int, machine: int, cell: int, lifecycle: str, weight: float, started: float
) -> f.Server:
    return f.Server(server, zone, machine, cell, _LIFECYCLE[lifecycle], weight, started)


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
) -> f.Request:
    return f.Request(
        id=request,
        cls=request_class,
        deadline=deadline,
        tenant=tenant,
        key=key,
        group=group,
        load=load,
        repeat=is_retry,
        returned=is_reconnect,
    )


def _adopted(request: int, request_class: int, key: int | None, group: int | None, server: str) -> f.Event:
    adopted = f.Request(request, request_class, float("inf"), key=key, group=group, mid_flow=True)
    return f.Adopted(adopted, server)


def _established(request: int, attempt: int, server: str, elapsed: float) -> f.Event:
    return f.Established(request, attempt, server, elapsed)


def _signal(request: int, attempt: int, server: str, kind: str, value: float) -> f.Event:
    return f.Note(request, attempt, server, _SIGNAL[kind], value)


def _ended(request: int, attempt: int, server: str, status: str, elapsed: float, closed: bool) -> f.Event:
    return f.Outcome(request, attempt, server, _STATUS[status], elapsed, closed)


def _report(server: str, status: str, elapsed: float, values: tuple[float, ...]) -> f.Event:
    return f.ProbeResult(server, _STATUS[status], elapsed, values)


_EVENTS: dict[str, Any] = {
    "list": _list,
    "request": _request,
    "adopted": _adopted,
    "established": _established,
    "signal": _signal,
    "ended": _ended,
    "client_left": f.ClientGone,
    "shutdown": f.Stop,
    "timer": f.Timer,
    "report": _report,
}


def _action(action: f.Action) -> Record:
    match action:
        case f.Send():
            return ("send", action.id, action.server, action.timeout)
        case f.Refuse():
            return ("reject", action.id, action.retry_after)
        case f.Fail():
            return ("fail", action.id)
        case f.Move():
            return ("migrate", action.id)
        case f.SetTimer():
            return ("timer", action.at, action.token)
        case f.Probe():
            return ("poll", action.server)
        case f.Watch():
            return ("watch", action.on)
        case f.Log():
            return ("log", action.server)
    raise TypeError(f"no neutral record for {action!r}")
