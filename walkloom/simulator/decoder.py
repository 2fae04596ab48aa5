"""Decodes the simulator's batches into events. The words in backquotes are those of the wire's page.

A batch is a header (clock in ms, number of records) and records (code, length of the fields, fields).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeVar

from walkloom.messages import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    EndpointListUpdate,
    Lifecycle,
    LoadReportReceived,
    Request,
    SignalKind,
    TimerFired,
    UpdateKind,
)
from walkloom.simulator.errors import WireError
from walkloom.simulator.records import InstanceStarted, InstanceStopped, PeerMessageReceived, WireEvent

_T = TypeVar("_T")
_BATCH_HEADER = struct.Struct(">dI")
_RECORD_HEADER = struct.Struct(">HI")
_LIST_ENTRY = struct.Struct(">6sBBHBfd")
_US_PER_MS = 1000.0  # loads come in microseconds of work a second

# `attrs` of a request
_HAS_LOAD = 1
_IS_RETRY = 2
_IS_ESTABLISHED = 8
_IS_RECONNECT = 16

# Codes of records, named as on the page.
_LAPSED = 1000
_ENDED = 1010
_SUBMIT = 1020
_NOTE = 1030
_HANDOVER = 1040
_FIRST = 1050
_MEMO = 1060
_TIMER = 1070
_SHEET = 1080
_UPDATE = 1090
_ATTACH = 1100
_HALT = 1110
_ECHO = 1120

# The fixed fields of each.
_LAYOUTS = {
    _LAPSED: struct.Struct(">HQ"),
    _ENDED: struct.Struct(">HQBdH6sBB"),
    _SUBMIT: struct.Struct(">HQHHQddQH"),
    _NOTE: struct.Struct(">HQH6sBf"),
    _HANDOVER: struct.Struct(">HQHHQddQH6s"),
    _FIRST: struct.Struct(">HQd6sH"),
    _MEMO: struct.Struct(">HIH"),
    _TIMER: struct.Struct(">HI"),
    _SHEET: struct.Struct(">II"),
    _UPDATE: struct.Struct(">HBII"),
    _ATTACH: struct.Struct(">HQI"),
    _HALT: struct.Struct(">H"),
    _ECHO: struct.Struct(">HB6sdB"),
}

_STATUSES = tuple(AttemptStatus(number) for number in range(len(AttemptStatus)))
_LIFECYCLES = tuple(Lifecycle(number) for number in range(len(Lifecycle)))
_UPDATE_KINDS = tuple(UpdateKind(number) for number in range(len(UpdateKind)))


class InstanceEvent(NamedTuple):
    """An event, and the number of the balancer that it is for (`balancer-id`)."""

    instance: int
    event: WireEvent


class Batch(NamedTuple):
    """What happened at one moment; `now` is the clock, ms."""

    now: float
    events: Iterator[InstanceEvent]


class _Record(NamedTuple):
    """The fixed fields of a record, and where its variable part lies in the frame."""

    fields: tuple[Any, ...]
    frame: bytes
    rest: int
    end: int

    def content(self, length: int) -> bytes:
        """The bytes after the fixed fields; WireError where there are fewer."""
        if self.rest + length > self.end:
            raise WireError(f"{length} bytes of content run past the record")
        return self.frame[self.rest : self.rest + length]

    def load_report(self, length: int) -> tuple[float, ...]:
        """The values after the fixed fields (`stats`); none: no report came."""
        if not length:
            return ()
        if self.rest + 4 * length > self.end:
            raise WireError(f"{length} load values run past the record")
        return struct.unpack_from(f">{length}f", self.frame, self.rest)


class Decoder:
    """Decodes batches; keeps the numbered endpoint lists, which belong to the process as a whole."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def decode_batch(self, frame: bytes) -> Batch:
        """The clock and the events of one frame (without its length field), in order.

        The complete frame is decoded before anything is handed out, so that a malformed one leaves no half
        reply. Raises WireError, which names the record and its place.
        """
        if len(frame) < _BATCH_HEADER.size:
            raise WireError(f"batch header cut short: {len(frame)} bytes of {_BATCH_HEADER.size}")
        now, count = _BATCH_HEADER.unpack_from(frame)
        position = _BATCH_HEADER.size
        events: list[InstanceEvent] = []
        for number in range(count):
            position = self._decode_record(frame, position, f"record {number}", count, events)
        if position != len(frame):
            left = len(frame) - position
            raise WireError(f"{left} bytes left over after record {count} at byte {position}")
        return Batch(now, iter(events))

    def _decode_record(
        self, frame: bytes, start: int, name: str, count: int, events: list[InstanceEvent]
    ) -> int:
        """Append what the record says, and return where the next one begins."""
        if start + _RECORD_HEADER.size > len(frame):
            raise WireError(f"{name} of {count} at byte {start}: header past the end of the frame")
        code, size = _RECORD_HEADER.unpack_from(frame, start)
        begin = start + _RECORD_HEADER.size
        end: int = begin + size
        place = f"{name} (code {code}) at byte {start}"
        if end > len(frame):
            raise WireError(f"{place}: {size} bytes run past its end, {len(frame)}")
        if code in _LAYOUTS:  # others are events of a later version
            try:
                self._decode_fields(code, frame, begin, end, events)
            except (struct.error, IndexError, UnicodeDecodeError, WireError) as error:
                raise WireError(f"{place}: {error}") from error
        return end

    def _decode_fields(
        self, code: int, frame: bytes, begin: int, end: int, events: list[InstanceEvent]
    ) -> None:
        layout = _LAYOUTS[code]
        if begin + layout.size > end:
            raise WireError(f"needs {layout.size} bytes, has {end - begin}")
        record = _Record(layout.unpack_from(frame, begin), frame, begin + layout.size, end)
        if code == _SHEET:
            self._store_list(record)
            return
        event = self._list_update(record) if code == _UPDATE else _DECODERS[code](record)
        events.append(InstanceEvent(record.fields[0], event))

    def _store_list(self, record: _Record) -> None:
        """`Sheet`: a numbered list, which replaces the one before of that number."""
        number, length = record.fields
        if record.rest + length * _LIST_ENTRY.size > record.end:
            raise WireError(f"{length} list lines run past the record")
        places = range(record.rest, record.rest + length * _LIST_ENTRY.size, _LIST_ENTRY.size)
        self._lists[number] = tuple(_endpoint(_LIST_ENTRY.unpack_from(record.frame, at)) for at in places)

    def _list_update(self, record: _Record) -> EndpointListUpdate:
        """`Update`: what discovery reports, by the number of a list."""
        _, kind_number, _, list_number = record.fields
        kind = _pick(_UPDATE_KINDS, kind_number, "list kind")
        if kind is UpdateKind.FAILED:
            return EndpointListUpdate(kind)
        if list_number not in self._lists:
            raise WireError(f"list {list_number} was never given")
        return EndpointListUpdate(kind, self._lists[list_number])


def _pick(values: tuple[_T, ...], number: int, what: str) -> _T:
    if number >= len(values):
        raise WireError(f"unknown {what} {number}")
    return values[number]


def _endpoint(entry: tuple[Any, ...]) -> Endpoint:
    server, zone, family_type, bay, status, heft, since = entry
    return Endpoint(
        id=server,
        zone=zone,
        machine_type=family_type,
        cell=bay,
        lifecycle=_pick(_LIFECYCLES, status, "server state"),
        capacity_weight=heft,
        started_at=since,
    )


def _request(record: _Record) -> Request:
    """Decode `Submit`, or the first fields of `Handover`."""
    _, request_id, priority, org, path_key, due, cost_guess, room, attributes = record.fields[:9]
    return Request(
        id=request_id,
        request_class=priority,
        deadline=due,
        tenant=org,
        client_key=path_key or None,
        affinity_group=room or None,
        load=cost_guess if attributes & _HAS_LOAD else None,
        is_retry=bool(attributes & _IS_RETRY),
        is_established=bool(attributes & _IS_ESTABLISHED),
        is_reconnect=bool(attributes & _IS_RECONNECT),
    )


def _connection_adopted(record: _Record) -> ConnectionAdopted:
    """Decode `Handover`."""
    return ConnectionAdopted(_request(record), record.fields[9])


def _client_disconnected(record: _Record) -> ClientDisconnected:
    """Decode `Lapsed`."""
    return ClientDisconnected(record.fields[1])


def _attempt_established(record: _Record) -> AttemptEstablished:
    """Decode `First`."""
    _, request_id, rtt, server, send_number = record.fields
    return AttemptEstablished(request_id, attempt=send_number, endpoint_id=server, elapsed_ms=rtt)


def _attempt_ended(record: _Record) -> AttemptEnded:
    """Decode `Ended`."""
    _, request_id, reason, rtt, send_number, server, finished, report_length = record.fields
    return AttemptEnded(
        request_id=request_id,
        attempt=send_number,
        endpoint_id=server,
        status=_pick(_STATUSES, reason, "outcome"),
        elapsed_ms=rtt,
        request_closed=finished != 0,
        load_report=record.load_report(report_length),
    )


def _connection_signal(record: _Record) -> ConnectionSignal:
    """Decode `Note`."""
    _, request_id, send_number, server, kind, amount = record.fields
    value = amount / _US_PER_MS if kind == SignalKind.LOAD else amount
    return ConnectionSignal(
        request_id=request_id, attempt=send_number, endpoint_id=server, kind=kind, value=value
    )


def _load_report_received(record: _Record) -> LoadReportReceived:
    """Decode `Echo`."""
    _, reason, server, rtt, report_length = record.fields
    return LoadReportReceived(
        endpoint_id=server,
        status=_pick(_STATUSES, reason, "outcome"),
        elapsed_ms=rtt,
        load_report=record.load_report(report_length),
    )


def _timer_fired(record: _Record) -> TimerFired:
    """Decode `Timer`."""
    return TimerFired(record.fields[1])


def _peer_message_received(record: _Record) -> PeerMessageReceived:
    """Decode `Memo`."""
    _, sender, length = record.fields
    return PeerMessageReceived(sender, record.content(length))


def _instance_started(record: _Record) -> InstanceStarted:
    """Decode `Attach`."""
    _, seed, length = record.fields
    return InstanceStarted(seed, record.content(length).decode())


def _instance_stopped(_: _Record) -> InstanceStopped:
    """Decode `Halt`."""
    return InstanceStopped()


# `Sheet` and `Update` are not here: the decoder keeps the lists that they speak of.
_DECODERS: dict[int, Callable[[_Record], WireEvent]] = {
    _LAPSED: _client_disconnected,
    _ENDED: _attempt_ended,
    _SUBMIT: _request,
    _NOTE: _connection_signal,
    _HANDOVER: _connection_adopted,
    _FIRST: _attempt_established,
    _MEMO: _peer_message_received,
    _TIMER: _timer_fired,
    _ATTACH: _instance_started,
    _HALT: _instance_stopped,
    _ECHO: _load_report_received,
}
