"""Encodes actions as records of the simulator's wire. Names in backquotes are those of its specification.

Every record begins with its code, the length of its fields in bytes and the number of the balancer.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from walkloom.messages import (
    EndpointId,
    Fail,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    StartAttempt,
    StartTimer,
    WatchEndpointList,
)
from walkloom.simulator.records import (
    CancelAttempt,
    CloseIdleConnections,
    FetchEndpointList,
    SendPeerMessage,
    WireAction,
)

_ALL_PEERS = 0xFFFFFFFF
_MAX_TEXT_BYTES = 60_000  # the length of a text is a field of 16 bits

# Codes of records, with the name of each in the wire's specification.
_START_ATTEMPT = 1000  # `Dispatch`
_REJECT = 1010  # `Reject`
_FAIL = 1020  # `Fail`
_CANCEL_ATTEMPT = 1030  # `Revoke`
_START_TIMER = 1040  # `Defer`
_POLL_LOAD_REPORT = 1050  # `Test`
_CLOSE_IDLE_CONNECTIONS = 1060  # `LetGo`
_SEND_PEER_MESSAGE = 1070  # `Tell`
_LOG_MESSAGE = 1080  # `JournalLine`
_FAILURE = 1090  # `Bug`
_WATCH_ENDPOINT_LIST = 1100  # `Watch`
_FETCH_ENDPOINT_LIST = 1110  # `ReadList`
_MIGRATE_CONNECTION = 1120  # `GoAway`

_REPLY_HEADER = struct.Struct(">II")
_HEADER_BYTES = 6  # code and length: not included in the length
_EMPTY_RECORD = struct.Struct(">HIH")
_REQUEST_RECORD = struct.Struct(">HIHQ")
_ATTEMPT_RECORD = struct.Struct(">HIHQH")
_START_ATTEMPT_RECORD = struct.Struct(">HIHQ6sd")
_REJECT_RECORD = struct.Struct(">HIHQd")
_TIMER_RECORD = struct.Struct(">HIHdI")
_ENDPOINT_RECORD = struct.Struct(">HIH6s")
_PEER_RECORD = struct.Struct(">HIHIH")
_TEXT_RECORD = struct.Struct(">HIHH")
_FLAG_RECORD = struct.Struct(">HIHB")


def encode_actions(records: list[bytes], instance: int, actions: Sequence[WireAction]) -> None:
    """Append one record for each action of a balancer.

    The most frequent types of action are checked first.
    """
    for action in actions:
        if isinstance(action, StartAttempt):
            records.append(
                _pack(
                    _START_ATTEMPT_RECORD,
                    _START_ATTEMPT,
                    instance,
                    action.request_id,
                    action.endpoint_id,
                    action.timeout_ms,
                )
            )
        elif isinstance(action, StartTimer):
            records.append(_pack(_TIMER_RECORD, _START_TIMER, instance, action.fires_at, action.token))
        elif isinstance(action, PollLoadReport):
            records.append(_pack(_ENDPOINT_RECORD, _POLL_LOAD_REPORT, instance, action.endpoint_id))
        else:
            records.append(_encode_other(instance, action))


def _pack(layout: struct.Struct, code: int, instance: int, *fields: object) -> bytes:
    return layout.pack(code, layout.size - _HEADER_BYTES, instance, *fields)


def _encode_other(instance: int, action: WireAction) -> bytes:
    match action:
        case Reject():
            return _pack(_REJECT_RECORD, _REJECT, instance, action.request_id, action.retry_after_ms)
        case Fail():
            return _pack(_REQUEST_RECORD, _FAIL, instance, action.request_id)
        case MigrateConnection():
            return _pack(_REQUEST_RECORD, _MIGRATE_CONNECTION, instance, action.request_id)
        case WatchEndpointList():
            return _pack(_FLAG_RECORD, _WATCH_ENDPOINT_LIST, instance, action.enabled)
        case LogMessage(text, endpoint_id):
            prefix = "" if endpoint_id is None else f"{_format_endpoint_id(endpoint_id)}: "
            return _encode_text(_LOG_MESSAGE, instance, prefix + text)
    return _encode_unused(instance, action)


def _encode_unused(instance: int, action: WireAction) -> bytes:
    """Encode an action that the wire defines and the policy never uses; raises TypeError for any other."""
    match action:
        case CancelAttempt():
            return _pack(_ATTEMPT_RECORD, _CANCEL_ATTEMPT, instance, action.request_id, action.attempt)
        case CloseIdleConnections():
            return _pack(_ENDPOINT_RECORD, _CLOSE_IDLE_CONNECTIONS, instance, action.endpoint_id)
        case SendPeerMessage(peer, data):
            peer = _ALL_PEERS if peer is None else peer
            length = _PEER_RECORD.size - _HEADER_BYTES + len(data)
            return _PEER_RECORD.pack(_SEND_PEER_MESSAGE, length, instance, peer, len(data)) + data
        case FetchEndpointList():
            return _pack(_EMPTY_RECORD, _FETCH_ENDPOINT_LIST, instance)
    raise TypeError(f"not an action: {action!r}")


def _format_endpoint_id(endpoint_id: EndpointId) -> str:
    """Return the address and port that an endpoint id of six bytes encodes; other ids as text."""
    if not isinstance(endpoint_id, bytes) or len(endpoint_id) != 6:
        return str(endpoint_id)
    host = ".".join(str(byte) for byte in endpoint_id[:4])
    return f"{host}:{int.from_bytes(endpoint_id[4:])}"


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:_MAX_TEXT_BYTES]
    length = _TEXT_RECORD.size - _HEADER_BYTES + len(data)
    return _TEXT_RECORD.pack(code, length, instance, len(data)) + data


def encode_failure(instance: int, text: str) -> bytes:
    """Return the record `Bug`, which reports an exception raised while a balancer handled an event."""
    return _encode_text(_FAILURE, instance, text)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply to one batch."""
    body = b"".join(records)
    return _REPLY_HEADER.pack(_REPLY_HEADER.size - 4 + len(body), len(records)) + body
