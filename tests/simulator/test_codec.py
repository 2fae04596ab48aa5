"""The codec of the simulator's wire on hand-written bytes, and the host as a separate process."""

from __future__ import annotations

import os
import struct
import subprocess
import sys

import pytest

from walkloom.messages import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    EndpointListUpdate,
    Fail,
    LoadReportReceived,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    Settings,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)
from walkloom.simulator.decoder import Decoder
from walkloom.simulator.encoder import encode_actions, encode_reply
from walkloom.simulator.errors import SettingsError, WireError
from walkloom.simulator.host import Host
from walkloom.simulator.records import (
    CancelAttempt,
    CloseIdleConnections,
    FetchEndpointList,
    PeerMessageReceived,
    SendPeerMessage,
)
from walkloom.simulator.settings import SettingsReader, flatten_settings, parse_settings_lines, read_settings

SETTINGS_TEXT = """
classes.count=1
classes.0.goal-time=500.0
classes.0.repeat=idempotent
guarantees.drain-grace=2000.0
some.later-key=x
limits.max-attempts=4
family-info.message-aim=250.0
"""
SERVER = bytes.fromhex("0a124a07 2bc3")
ENTRY = bytes.fromhex("0a124a07 2bc3 00 00 0000 01 3f800000 0000000000000000")
REQUEST = bytes.fromhex(
    "03fc 00000030 0003 00093b8c5d3a91c4 0000 0000 91f03b7c55d20a64"
    "40c0e62000000000 4028000000000000 2b8e6401d9f37c10 0001"
)
TIMER_FIRED = bytes.fromhex("042e 00000006 0003 0000004d")
CLIENT_DISCONNECTED = bytes.fromhex("03e8 0000000a 0005 000926ce0e6f2b19")


def record(code: int, body: bytes) -> bytes:
    return struct.pack(">HI", code, len(body)) + body


def frame(*records: bytes, now: float = 8412.0) -> bytes:
    return struct.pack(">dI", now, len(records)) + b"".join(records)


def instance_started(instance: int = 3, settings_text: str = SETTINGS_TEXT) -> bytes:
    text = settings_text.encode()
    return record(1100, struct.pack(">HQI", instance, 7, len(text)) + text)


def endpoint_list(list_number: int, *entries: bytes) -> bytes:
    return record(1080, struct.pack(">II", list_number, len(entries)) + b"".join(entries))


def list_update(instance: int, kind: int, list_number: int) -> bytes:
    return record(1090, struct.pack(">HBII", instance, kind, 41, list_number))


def decode(*records: bytes) -> list[tuple[int, object]]:
    return list(Decoder().decode_batch(frame(*records))[1])


def test_the_example_events_of_the_specification() -> None:
    events = decode(REQUEST, TIMER_FIRED, CLIENT_DISCONNECTED)
    assert events[1:] == [(3, TimerFired(0x4D)), (5, ClientDisconnected(0x926CE0E6F2B19))]
    instance, request = events[0]
    assert instance == 3 and isinstance(request, Request)
    assert request.id == 0x93B8C5D3A91C4 and request.affinity_group == 0x2B8E6401D9F37C10
    assert (request.deadline, request.load, request.is_retry) == (8652.25, 12.0, False)


def test_an_empty_batch_and_an_empty_reply() -> None:
    assert list(Decoder().decode_batch(bytes.fromhex("40c06e2000000000 00000000"))[1]) == []
    assert encode_reply([]) == bytes.fromhex("00000004 00000000")


def test_the_example_actions_of_the_specification() -> None:
    records: list[bytes] = []
    encode_actions(records, 3, [StartAttempt(0x93B8C5D3A91C4, SERVER, 80.0), StartTimer(8912.25, 0x4D)])
    encode_actions(records, 5, [LogMessage("two servers known")])
    assert encode_reply(records) == bytes.fromhex(
        "00000051 00000003 03e8 00000018 0003 00093b8c5d3a91c4 0a124a07 2bc3 4054000000000000"
        "0410 0000000e 0003 40c1682000000000 0000004d"
        "0438 00000015 0005 0011 74776f2073657276657273206b6e6f776e"
    )


@pytest.mark.parametrize(
    ("action", "code", "body"),
    [
        (Reject(9, 250.0), 1010, struct.pack(">HQd", 3, 9, 250.0)),
        (Fail(9), 1020, struct.pack(">HQ", 3, 9)),
        (CancelAttempt(9, 2), 1030, struct.pack(">HQH", 3, 9, 2)),
        (StartTimer(8912.0, 77), 1040, struct.pack(">HdI", 3, 8912.0, 77)),
        (PollLoadReport(SERVER), 1050, struct.pack(">H", 3) + SERVER),
        (CloseIdleConnections(SERVER), 1060, struct.pack(">H", 3) + SERVER),
        (SendPeerMessage(None, b"hi"), 1070, struct.pack(">HIH", 3, 0xFFFFFFFF, 2) + b"hi"),
        (LogMessage("five"), 1080, struct.pack(">HH", 3, 4) + b"five"),
        (LogMessage("up", bytes([10, 0, 0, 7, 1, 0])), 1080, struct.pack(">HH", 3, 16) + b"10.0.0.7:256: up"),
        (WatchEndpointList(True), 1100, struct.pack(">HB", 3, 1)),
        (FetchEndpointList(), 1110, struct.pack(">H", 3)),
        (MigrateConnection(9), 1120, struct.pack(">HQ", 3, 9)),
        (StartAttempt(9, SERVER, 80.0), 1000, struct.pack(">HQ", 3, 9) + SERVER + struct.pack(">d", 80.0)),
    ],
)
def test_each_action_is_encoded(action: Action, code: int, body: bytes) -> None:
    records: list[bytes] = []
    encode_actions(records, 3, [action])
    assert records == [record(code, body)]


def test_each_event_is_decoded() -> None:
    attempt_ended = struct.pack(">HQBdH6sBB2f", 3, 9, 3, 21.5, 1, SERVER, 1, 2, 0.5, 4.0)
    connection_adopted = struct.pack(">HQHHQddQH6s", 3, 8, 0, 1, 0, 0.0, 0.0, 0, 8, SERVER)
    events = [
        event
        for _, event in decode(
            record(1010, attempt_ended + b"later field"),
            record(1030, struct.pack(">HQH6sBf", 3, 9, 1, SERVER, 1, 2500.0)),
            record(1030, struct.pack(">HQH6sBf", 3, 9, 1, SERVER, 2, 80.0)),
            record(1050, struct.pack(">HQd6sH", 3, 9, 12.5, SERVER, 1)),
            record(1120, struct.pack(">HB6sdBf", 3, 1, SERVER, 2.5, 1, 0.25)),
            record(1060, struct.pack(">HIH", 3, 2, 2) + b"hi"),
            record(1040, connection_adopted),
            record(4242, b"an event of a later version"),
        )
    ]
    assert events == [
        AttemptEnded(
            request_id=9,
            attempt=1,
            endpoint_id=SERVER,
            status=AttemptStatus.TIMED_OUT,
            elapsed_ms=21.5,
            request_closed=True,
            load_report=(0.5, 4.0),
        ),
        ConnectionSignal(request_id=9, attempt=1, endpoint_id=SERVER, kind=1, value=2.5),
        ConnectionSignal(request_id=9, attempt=1, endpoint_id=SERVER, kind=2, value=80.0),
        AttemptEstablished(request_id=9, attempt=1, endpoint_id=SERVER, elapsed_ms=12.5),
        LoadReportReceived(endpoint_id=SERVER, status=AttemptStatus.OK, elapsed_ms=2.5, load_report=(0.25,)),
        PeerMessageReceived(2, b"hi"),
        ConnectionAdopted(
            Request(id=8, request_class=0, deadline=0.0, tenant=1, is_established=True), SERVER
        ),
    ]


def test_list_numbers_are_resolved_in_order_and_may_be_reused() -> None:
    other = b"\x0b" + ENTRY[1:]
    events = decode(
        endpoint_list(0, ENTRY),
        list_update(3, 2, 0),
        endpoint_list(0, other),
        list_update(4, 1, 0),
        list_update(5, 3, 9),
    )
    updates = [event for _, event in events if isinstance(event, EndpointListUpdate)]
    assert [update.kind for update in updates] == [UpdateKind.CACHED, UpdateKind.SNAPSHOT, UpdateKind.FAILED]
    assert updates[0].endpoints[0].id == SERVER and updates[1].endpoints[0].id == b"\x0b" + SERVER[1:]


@pytest.mark.parametrize(
    ("bad", "what"),
    [
        (b"\0" * 5, "header cut short"),
        (frame(record(1070, b"\0\0")), "record 0 .code 1070. at byte 12: needs 6 bytes"),
        (frame(TIMER_FIRED)[:-2], "run past"),
        (frame(TIMER_FIRED) + b"x", "left over"),
        (frame(list_update(3, 1, 5)), "list 5 was never given"),
        (frame(record(1080, struct.pack(">II", 0, 3) + ENTRY)), "run past the record"),
        (frame(record(1010, struct.pack(">HQBdH6sBB", 3, 9, 77, 0, 0, SERVER, 0, 0))), "unknown outcome 77"),
    ],
)
def test_a_malformed_frame_raises_an_error_that_names_the_problem(bad: bytes, what: str) -> None:
    with pytest.raises(WireError, match=what):
        Decoder().decode_batch(bad)


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("classes.0.goal-time=soon", "classes.0.goal-time"),
        ("classes.0.repeat=often", "classes.0.repeat"),
        ("limits.may-probe=perhaps", "limits.may-probe"),
        ("membership-mode=guess", "membership-mode"),
    ],
)
def test_an_invalid_setting_raises_an_error_that_names_the_key(line: str, key: str) -> None:
    with pytest.raises(SettingsError, match=key):
        settings(SETTINGS_TEXT + line + "\n")


def settings(text: str) -> Settings:
    return read_settings(SettingsReader(parse_settings_lines(text)))


def test_nested_settings_have_the_same_paths_and_values() -> None:
    nested = {
        "classes": [{"goal-time": 500.0, "repeat": "idempotent"}],
        "guarantees": {"drain-grace": 2000.0},
        "limits": {"max-attempts": 4, "may-probe": False},
        "family-info": {"message-aim": [250.0]},
        "azs": [],
    }
    assert read_settings(SettingsReader(flatten_settings(nested))) == settings(SETTINGS_TEXT)


def test_a_missing_setting_raises_an_error_that_names_the_key() -> None:
    with pytest.raises(SettingsError, match=r"guarantees\.drain-grace"):
        settings(SETTINGS_TEXT.replace("guarantees.drain-grace", "guarantees.other"))


def run_host(stream: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "walkloom.simulator.host"],
        input=stream,
        capture_output=True,
        env=env,
        check=False,
    )


def with_lengths(*frames: bytes) -> bytes:
    return b"".join(struct.pack(">I", len(content)) + content for content in frames)


def example_stream() -> bytes:
    entries = [bytes([n]) + ENTRY[1:] for n in range(10, 20)]
    frames = [frame(instance_started(), endpoint_list(2, *entries), list_update(3, 2, 2), now=0.0)]
    for n in range(60):
        body = struct.pack(">HQHHQddQH", 3, n + 1, 0, 0, 0, n + 3000.0, 0.0, n % 5, 0)
        frames.append(frame(record(1020, body), now=float(n)))
    return with_lengths(
        *frames, frame(record(1110, b"\0\3"), instance_started(), list_update(3, 2, 2), now=99.0)
    )


def test_the_process_answers_every_batch_and_ends_with_its_input() -> None:
    process = run_host(example_stream())
    assert process.returncode == 0 and not process.stderr
    replies, offset = 0, 0
    while offset < len(process.stdout):
        (size,) = struct.unpack_from(">I", process.stdout, offset)
        offset, replies = offset + 4 + size, replies + 1
    assert replies == 62 and process.stdout.count(struct.pack(">HI", 1000, 24)) == 60


def test_a_second_process_with_another_hash_seed_writes_the_same_bytes() -> None:
    assert run_host(example_stream(), "1").stdout == run_host(example_stream(), "2").stdout


@pytest.mark.parametrize(
    "stream", [with_lengths(frame(TIMER_FIRED))[:-3], b"\0\0", with_lengths(frame(TIMER_FIRED)[:-1])]
)
def test_a_malformed_stream_ends_the_process_with_one_line(stream: bytes) -> None:
    process = run_host(stream)
    assert process.returncode != 0 and process.stdout == b""
    assert process.stderr.startswith(b"walkloom: batch 0") and process.stderr.count(b"\n") == 1


def test_a_failure_of_one_instance_is_reported_for_that_instance() -> None:
    bad = SETTINGS_TEXT.replace("classes.0.goal-time=500.0", "")
    process = run_host(
        with_lengths(
            frame(
                instance_started(3, bad), instance_started(4), endpoint_list(0, ENTRY), list_update(4, 2, 0)
            )
        )
    )
    assert process.returncode == 0
    assert process.stdout.count(struct.pack(">H", 1090)) == 1 and b"classes.0.goal-time" in process.stdout


def test_a_peer_message_has_no_effect() -> None:
    message = record(1060, struct.pack(">HIH", 3, 2, 2) + b"hi")
    assert Host().answer(frame(instance_started(), message)) == Host().answer(frame(instance_started()))
