"""Encodes actions as records of the simulator's wire. The words in backquotes are those of its page.

Every record begins with its code, the length of its fields and the number of the balancer.
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
_MAX_TEXT_BYTES = 60_000  # the length of a text has 16 bits

# Codes of records, named as on the page.
_DISPATCH = 1000
_REJECT = 1010
_FAIL = 1020
_REVOKE = 1030
_DEFER = 1040
_TEST = 1050
_LET_GO = 1060
_TELL = 1070
_JOURNAL_LINE = 1080
_BUG = 1090
_WATCH = 1100
_READ_LIST = 1110
_GO_AWAY = 1120

_REPLY_HEADER = struct.Struct(">II")
_HEADER_BYTES = 6  # code and length, which the length does not count
_BARE_RECORD = struct.Struct(">HIH")
_REQUEST_RECORD = struct.Struct(">HIHQ")
_ATTEMPT_RECORD = struct.Struct(">HIHQH")
_DISPATCH_RECORD = struct.Struct(">HIHQ6sd")
_REJECT_RECORD = struct.Struct(">HIHQd")
_TIMER_RECORD = struct.Struct(">HIHdI")
_ENDPOINT_RECORD = struct.Struct(">HIH6s")
_PEER_RECORD = struct.Struct(">HIHIH")
_TEXT_RECORD = struct.Struct(">HIHH")
_FLAG_RECORD = struct.Struct(">HIHB")


def encode_actions(records: list[bytes], instance: int, actions: Sequence[WireAction]) -> None:
    """Append one record for each action of a balancer, those that come most often first."""
    for action in actions:
        if isinstance(action, StartAttempt):
            records.append(
                _pack(
                    _DISPATCH_RECORD,
                    _DISPATCH,
                    instance,
                    action.request_id,
                    action.endpoint_id,
                    action.timeout_ms,
                )
            )
        elif isinstance(action, StartTimer):
            records.append(_pack(_TIMER_RECORD, _DEFER, instance, action.fires_at, action.token))
        elif isinstance(action, PollLoadReport):
            records.append(_pack(_ENDPOINT_RECORD, _TEST, instance, action.endpoint_id))
        else:
            records.append(_encode_rare(instance, action))


def _pack(layout: struct.Struct, code: int, instance: int, *fields: object) -> bytes:
    return layout.pack(code, layout.size - _HEADER_BYTES, instance, *fields)


def _encode_rare(instance: int, action: WireAction) -> bytes:
    match action:
        case Reject():
            return _pack(_REJECT_RECORD, _REJECT, instance, action.request_id, action.retry_after_ms)
        case Fail():
            return _pack(_REQUEST_RECORD, _FAIL, instance, action.request_id)
        case MigrateConnection():
            return _pack(_REQUEST_RECORD, _GO_AWAY, instance, action.request_id)
        case WatchEndpointList():
            return _pack(_FLAG_RECORD, _WATCH, instance, action.enabled)
        case LogMessage(text, endpoint_id):
            place = "" if endpoint_id is None else f"{_address(endpoint_id)}: "
            return _encode_text(_JOURNAL_LINE, instance, place + text)
    return _encode_unused(instance, action)


def _encode_unused(instance: int, action: WireAction) -> bytes:
    """Actions that the wire knows and the policy never asks for."""
    match action:
        case CancelAttempt():
            return _pack(_ATTEMPT_RECORD, _REVOKE, instance, action.request_id, action.attempt)
        case CloseIdleConnections():
            return _pack(_ENDPOINT_RECORD, _LET_GO, instance, action.endpoint_id)
        case SendPeerMessage(peer, data):
            peer = _ALL_PEERS if peer is None else peer
            length = _PEER_RECORD.size - _HEADER_BYTES + len(data)
            return _PEER_RECORD.pack(_TELL, length, instance, peer, len(data)) + data
        case FetchEndpointList():
            return _pack(_BARE_RECORD, _READ_LIST, instance)
    raise TypeError(f"not an action: {action!r}")


def _address(endpoint_id: EndpointId) -> str:
    """The address and port that an endpoint's six bytes stand for; other ids as they are."""
    if not isinstance(endpoint_id, bytes) or len(endpoint_id) != 6:
        return str(endpoint_id)
    host = ".".join(str(byte) for byte in endpoint_id[:4])
    return f"{host}:{int.from_bytes(endpoint_id[4:])}"


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:_MAX_TEXT_BYTES]
    length = _TEXT_RECORD.size - _HEADER_BYTES + len(data)
    return _TEXT_RECORD.pack(code, length, instance, len(data)) + data


def encode_failure(instance: int, text: str) -> bytes:
    """The record `Bug`, which reports a failure of the decision code."""
    return _encode_text(_BUG, instance, text)


def encode_reply(records: list[bytes]) -> bytes:
    """The reply to one batch."""
    body = b"".join(records)
    return _REPLY_HEADER.pack(_REPLY_HEADER.size - 4 + len(body), len(records)) + body
