"""Decodes the simulator's batches into events. Names in backquotes are those of the wire's specification.

A batch is a header (clock in ms, number of records) and the records (code, length of the fields in bytes,
fields).
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
_US_PER_MS = 1000.0  # the wire's loads are in microseconds of work per second

# Flags of the field `attrs` of a request.
_HAS_LOAD = 1
_IS_RETRY = 2
_IS_ESTABLISHED = 8
_IS_RECONNECT = 16

# Codes of records, with the name of each in the wire's specification.
_CLIENT_DISCONNECTED = 1000  # `Lapsed`
_ATTEMPT_ENDED = 1010  # `Ended`
_REQUEST = 1020  # `Submit`
_CONNECTION_SIGNAL = 1030  # `Note`
_CONNECTION_ADOPTED = 1040  # `Handover`
_ATTEMPT_ESTABLISHED = 1050  # `First`
_PEER_MESSAGE_RECEIVED = 1060  # `Memo`
_TIMER_FIRED = 1070  # `Timer`
_ENDPOINT_LIST = 1080  # `Sheet`
_LIST_UPDATE = 1090  # `Update`
_INSTANCE_STARTED = 1100  # `Attach`
_INSTANCE_STOPPED = 1110  # `Halt`
_LOAD_REPORT_RECEIVED = 1120  # `Echo`

# Layout of the fixed fields of each record.
_LAYOUTS = {
    _CLIENT_DISCONNECTED: struct.Struct(">HQ"),
    _ATTEMPT_ENDED: struct.Struct(">HQBdH6sBB"),
    _REQUEST: struct.Struct(">HQHHQddQH"),
    _CONNECTION_SIGNAL: struct.Struct(">HQH6sBf"),
    _CONNECTION_ADOPTED: struct.Struct(">HQHHQddQH6s"),
    _ATTEMPT_ESTABLISHED: struct.Struct(">HQd6sH"),
    _PEER_MESSAGE_RECEIVED: struct.Struct(">HIH"),
    _TIMER_FIRED: struct.Struct(">HI"),
    _ENDPOINT_LIST: struct.Struct(">II"),
    _LIST_UPDATE: struct.Struct(">HBII"),
    _INSTANCE_STARTED: struct.Struct(">HQI"),
    _INSTANCE_STOPPED: struct.Struct(">H"),
    _LOAD_REPORT_RECEIVED: struct.Struct(">HB6sdB"),
}

_STATUSES = tuple(AttemptStatus(number) for number in range(len(AttemptStatus)))
_LIFECYCLES = tuple(Lifecycle(number) for number in range(len(Lifecycle)))
_UPDATE_KINDS = tuple(UpdateKind(number) for number in range(len(UpdateKind)))


class InstanceEvent(NamedTuple):
    """An event and the number of the balancer that receives it (`balancer-id`)."""

    instance: int
    event: WireEvent


class Batch(NamedTuple):
    """The events of one point in time; `now` is the simulated clock, ms."""

    now: float
    events: Iterator[InstanceEvent]


class _Record(NamedTuple):
    """The fixed fields of a record and the bounds of its variable part, as offsets into the frame."""

    fields: tuple[Any, ...]
    frame: bytes
    variable_start: int
    end: int

    def content(self, length: int) -> bytes:
        """Return `length` bytes after the fixed fields; raises WireError if the record is shorter."""
        if self.variable_start + length > self.end:
            raise WireError(f"{length} bytes of content run past the record")
        return self.frame[self.variable_start : self.variable_start + length]

    def load_report(self, length: int) -> tuple[float, ...]:
        """Return the values after the fixed fields (`stats`), empty without a report. Raises WireError."""
        if not length:
            return ()
        if self.variable_start + 4 * length > self.end:
            raise WireError(f"{length} load values run past the record")
        return struct.unpack_from(f">{length}f", self.frame, self.variable_start)


class Decoder:
    """Decodes batches; stores the numbered endpoint lists, which all balancers of the process share."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def decode_batch(self, frame: bytes) -> Batch:
        """Return the clock and the events, in order, of one frame (without its length field).

        The complete frame is decoded before any event is returned, so that a malformed frame causes no
        partial reply. Raises WireError, which names the record and its offset.
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
        """Append the event of a record, if it has one; return the offset of the next record."""
        if start + _RECORD_HEADER.size > len(frame):
            raise WireError(f"{name} of {count} at byte {start}: header past the end of the frame")
        code, size = _RECORD_HEADER.unpack_from(frame, start)
        fields_start = start + _RECORD_HEADER.size
        end: int = fields_start + size
        location = f"{name} (code {code}) at byte {start}"
        if end > len(frame):
            raise WireError(f"{location}: {size} bytes run past its end, {len(frame)}")
        if code in _LAYOUTS:  # unknown codes are events of a later version of the wire
            try:
                self._decode_fields(code, frame, fields_start, end, events)
            except (struct.error, IndexError, UnicodeDecodeError, WireError) as error:
                raise WireError(f"{location}: {error}") from error
        return end

    def _decode_fields(
        self, code: int, frame: bytes, fields_start: int, end: int, events: list[InstanceEvent]
    ) -> None:
        layout = _LAYOUTS[code]
        if fields_start + layout.size > end:
            raise WireError(f"needs {layout.size} bytes, has {end - fields_start}")
        record = _Record(layout.unpack_from(frame, fields_start), frame, fields_start + layout.size, end)
        if code == _ENDPOINT_LIST:
            self._store_list(record)
            return
        event = self._decode_list_update(record) if code == _LIST_UPDATE else _DECODERS[code](record)
        events.append(InstanceEvent(record.fields[0], event))

    def _store_list(self, record: _Record) -> None:
        """Store a numbered endpoint list (`Sheet`), which replaces the previous list of that number."""
        number, length = record.fields
        if record.variable_start + length * _LIST_ENTRY.size > record.end:
            raise WireError(f"{length} list lines run past the record")
        offsets = range(
            record.variable_start, record.variable_start + length * _LIST_ENTRY.size, _LIST_ENTRY.size
        )
        self._lists[number] = tuple(
            _decode_endpoint(_LIST_ENTRY.unpack_from(record.frame, offset)) for offset in offsets
        )

    def _decode_list_update(self, record: _Record) -> EndpointListUpdate:
        """Decode `Update`: a result of discovery that refers to a list by its number."""
        _, kind_number, _, list_number = record.fields
        kind = _lookup(_UPDATE_KINDS, kind_number, "list kind")
        if kind is UpdateKind.FAILED:
            return EndpointListUpdate(kind)
        if list_number not in self._lists:
            raise WireError(f"list {list_number} was never given")
        return EndpointListUpdate(kind, self._lists[list_number])


def _lookup(values: tuple[_T, ...], number: int, label: str) -> _T:
    if number >= len(values):
        raise WireError(f"unknown {label} {number}")
    return values[number]


def _decode_endpoint(entry: tuple[Any, ...]) -> Endpoint:
    server, zone, machine_type_index, cell_number, lifecycle_number, weight, started_at_ms = entry
    return Endpoint(
        id=server,
        zone=zone,
        machine_type=machine_type_index,
        cell=cell_number,
        lifecycle=_lookup(_LIFECYCLES, lifecycle_number, "server state"),
        capacity_weight=weight,
        started_at=started_at_ms,
    )


def _decode_request(record: _Record) -> Request:
    """Decode `Submit`, or the leading fields of `Handover`, which are the same."""
    _, request_id, class_index, tenant_index, key, deadline_at_ms, expected_load, group, attributes = (
        record.fields[:9]
    )
    return Request(
        id=request_id,
        request_class=class_index,
        deadline=deadline_at_ms,
        tenant=tenant_index,
        client_key=key or None,
        affinity_group=group or None,
        load=expected_load if attributes & _HAS_LOAD else None,
        is_retry=bool(attributes & _IS_RETRY),
        is_established=bool(attributes & _IS_ESTABLISHED),
        is_reconnect=bool(attributes & _IS_RECONNECT),
    )


def _decode_connection_adopted(record: _Record) -> ConnectionAdopted:
    """Decode `Handover`."""
    return ConnectionAdopted(_decode_request(record), record.fields[9])


def _decode_client_disconnected(record: _Record) -> ClientDisconnected:
    """Decode `Lapsed`."""
    return ClientDisconnected(record.fields[1])


def _decode_attempt_established(record: _Record) -> AttemptEstablished:
    """Decode `First`."""
    _, request_id, duration_ms, server, attempt_number = record.fields
    return AttemptEstablished(request_id, attempt=attempt_number, endpoint_id=server, elapsed_ms=duration_ms)


def _decode_attempt_ended(record: _Record) -> AttemptEnded:
    """Decode `Ended`."""
    _, request_id, status_number, duration_ms, attempt_number, server, is_request_closed, report_length = (
        record.fields
    )
    return AttemptEnded(
        request_id=request_id,
        attempt=attempt_number,
        endpoint_id=server,
        status=_lookup(_STATUSES, status_number, "outcome"),
        elapsed_ms=duration_ms,
        request_closed=is_request_closed != 0,
        load_report=record.load_report(report_length),
    )


def _decode_connection_signal(record: _Record) -> ConnectionSignal:
    """Decode `Note`."""
    _, request_id, attempt_number, server, kind, wire_value = record.fields
    value = wire_value / _US_PER_MS if kind == SignalKind.LOAD else wire_value
    return ConnectionSignal(
        request_id=request_id, attempt=attempt_number, endpoint_id=server, kind=kind, value=value
    )


def _decode_load_report_received(record: _Record) -> LoadReportReceived:
    """Decode `Echo`."""
    _, status_number, server, duration_ms, report_length = record.fields
    return LoadReportReceived(
        endpoint_id=server,
        status=_lookup(_STATUSES, status_number, "outcome"),
        elapsed_ms=duration_ms,
        load_report=record.load_report(report_length),
    )


def _decode_timer_fired(record: _Record) -> TimerFired:
    """Decode `Timer`."""
    return TimerFired(record.fields[1])


def _decode_peer_message_received(record: _Record) -> PeerMessageReceived:
    """Decode `Memo`."""
    _, sender, length = record.fields
    return PeerMessageReceived(sender, record.content(length))


def _decode_instance_started(record: _Record) -> InstanceStarted:
    """Decode `Attach`."""
    _, seed, length = record.fields
    return InstanceStarted(seed, record.content(length).decode())


def _decode_instance_stopped(_: _Record) -> InstanceStopped:
    """Decode `Halt`."""
    return InstanceStopped()


# `Sheet` and `Update` are decoded by Decoder, which stores the lists.
_DECODERS: dict[int, Callable[[_Record], WireEvent]] = {
    _CLIENT_DISCONNECTED: _decode_client_disconnected,
    _ATTEMPT_ENDED: _decode_attempt_ended,
    _REQUEST: _decode_request,
    _CONNECTION_SIGNAL: _decode_connection_signal,
    _CONNECTION_ADOPTED: _decode_connection_adopted,
    _ATTEMPT_ESTABLISHED: _decode_attempt_established,
    _PEER_MESSAGE_RECEIVED: _decode_peer_message_received,
    _TIMER_FIRED: _decode_timer_fired,
    _INSTANCE_STARTED: _decode_instance_started,
    _INSTANCE_STOPPED: _decode_instance_stopped,
    _LOAD_REPORT_RECEIVED: _decode_load_report_received,
}
