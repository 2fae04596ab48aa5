"""Reconnects: pacing after a drain, the retry budget, and the end of a session."""

from __future__ import annotations

import pytest

from tests.client.core_harness import CoreHarness, opening_fields
from walkloom.client.errors import Failed, Interrupted
from walkloom.client.session import SessionState


def test_sessions_reconnect_one_by_one_after_a_drain_highest_priority_first() -> None:
    harness = CoreHarness(setups=1000, returns_per_s=100, seed=3)
    views, edits = (
        [harness.open_established() for _ in range(250)],
        [harness.open_established("label-edit") for _ in range(50)],
    )
    start = len(harness.connects)
    for session in views + edits:
        harness.core.data_received(session, session.connection_id, b"MOVE\r\n", harness.now)
    harness.step()
    drained_at = harness.now
    while any(s.state is not SessionState.ESTABLISHED for s in views + edits):
        harness.advance(5)
        for session in [s for s in views + edits if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 2")
        assert harness.now < drained_at + 10_000
    reconnects = harness.connects[start:]
    assert len(reconnects) == 300 and all(
        connect.session.attributes.request_class == "label-edit" for _, connect in reconnects[:50]
    )
    bins = [0] * (int(reconnects[-1][0] - drained_at) // 100 + 1)
    for at, _ in reconnects:
        bins[int(at - drained_at) // 100] += 1
    assert 2500 < reconnects[-1][0] - drained_at < 3500 and max(bins) < 2 * 300 / len(bins)
    fields = opening_fields(harness, views[0])
    assert fields["again"] == "1" and "r" not in fields
    assert harness.core.figures().counters.reconnected == 300


def test_the_reconnect_window_of_a_drain_is_bounded() -> None:
    harness = CoreHarness(setups=1000, returns_per_s=1, return_window_ms=2000)
    sessions = [harness.open_established() for _ in range(100)]
    for session in sessions:
        harness.deliver(session, "MOVE\r\n")
    drained_at = harness.now
    while any(s.connection_id < 2 for s in sessions):
        harness.advance(5)
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 2")
    assert 1500 <= harness.now - drained_at <= 2600


def test_a_session_without_reconnects_is_interrupted_and_ends() -> None:
    harness = CoreHarness()
    session = harness.open_established(returns=False)
    harness.deliver(session, "MOVE\r\n")
    with pytest.raises(Interrupted) as error:
        harness.take(session)
    assert error.value.over and error.value.why == "moved" and error.value.unanswered == ()
    assert harness.take(session) is None and session.state is SessionState.CLOSED


def test_failed_reconnects_spend_the_retry_budget_and_end_at_their_deadline() -> None:
    harness = CoreHarness(return_for_ms=30_000, retry_reserve=5)
    session = harness.open_established()
    harness.end_connection(session)
    disconnected_at = harness.now
    while session.state is not SessionState.CLOSED:
        if session.state is SessionState.CONNECTING:
            harness.answer(session, "ERR")
        harness.advance(10)
    assert isinstance(session.error, Failed) and 30_000 <= harness.now - disconnected_at <= 31_500
    assert harness.core.figures().counters.lost == 1
    # the initial connection and the first reconnect, which are not retries, and the reserve of 5 for each of
    # the four budget windows that 30 s can touch
    assert len(harness.connects) <= 2 + 5 * 4


def test_reconnects_wait_for_the_gate_of_their_class() -> None:
    harness = CoreHarness(setups=100)
    sessions = [harness.open_established() for _ in range(50)]
    for session in sessions:
        harness.deliver(session, "MOVE\r\n")
    harness.advance(10)
    first = next(s for s in sessions if s.state is SessionState.CONNECTING)
    harness.answer(first, "BUSY 5000")
    attempts_before = len(harness.connects)
    for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
        harness.answer(session, "BUSY 5000")
    harness.advance(4900)
    assert len(harness.connects) <= attempts_before + 1
    for _ in range(300):
        harness.advance(10)
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 1")
    assert all(s.state is SessionState.ESTABLISHED for s in sessions)
    # 50 initial connections, 50 reconnects with a retry share of 0.1, and a retry reserve of 10
    assert len(harness.connects) < 50 + 50 * 1.1 + 10
