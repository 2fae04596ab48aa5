"""Established sessions: lines, migrations, goodbyes, lost connections and malformed data."""

from __future__ import annotations

import pytest

from tests.client.core_harness import ONE, TWO, CoreHarness
from walkloom.client.errors import Failed, Interrupted
from walkloom.client.session import SessionState
from walkloom.client.wire import MAX_LINE_BYTES


def test_a_migration_line_is_recognised_across_reads() -> None:
    harness = CoreHarness()
    session = harness.open_established()
    harness.deliver(session, "MO")
    assert session.state is SessionState.ESTABLISHED
    harness.deliver(session, "VE\r")
    assert len(harness.connects) == 1
    harness.deliver(session, "\nsheet 9\r\n")  # lines after the migration are ignored
    harness.advance(15)
    assert len(harness.connects) == 2 and not harness.core.has_pending(session)


@pytest.mark.parametrize("line", ["MOVED", "MOVE 1", "REMOVE", " MOVE", "move", "MOVE MOVE"])
def test_a_line_that_contains_move_is_delivered(line: str) -> None:
    harness = CoreHarness()
    session = harness.open_established()
    harness.deliver(session, line + "\r\n")
    assert session.state is SessionState.ESTABLISHED and harness.take(session) == line


def test_a_session_established_and_migrated_in_one_read_reconnects() -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.answer(session, "UP 5\r\nMOVE")
    harness.advance(300)
    assert harness.core.figures().counters.migrated == 1 and len(harness.connects) == 2


def test_unanswered_lines_are_reported_once_in_order_and_never_resent() -> None:
    harness = CoreHarness()
    session = harness.open_established()
    for line in ("a", "b", "c"):
        harness.send(session, line)
    harness.deliver(session, "a\r\nLOAD 3.5\r\n")
    harness.end_connection(session, "reset by peer")
    assert session.load == 3.5
    harness.advance(15)
    harness.answer(session, "UP 9")
    harness.send(session, "d")
    harness.deliver(session, "d\r\n")
    assert harness.take(session) == "a"
    with pytest.raises(Interrupted) as error:
        harness.take(session)
    assert error.value.unanswered == ("b", "c") and "reset" in error.value.why and not error.value.over
    assert harness.take(session) == "d" and not harness.core.has_pending(session)
    written = b"".join(harness.lines[session.session_id])
    assert written.count(b"\nb\r\n") == 1 and session.receipt == "9"


def test_goodbye_ends_the_session_regularly_and_reports_unanswered_lines() -> None:
    harness = CoreHarness()
    session, with_unanswered = harness.open_established(), harness.open_established()
    harness.send(with_unanswered, "a")
    for ended in (session, with_unanswered):
        harness.deliver(ended, "BYE inflight=3\r\n")
        harness.end_connection(ended)
    assert harness.take(session) is None
    with pytest.raises(Interrupted) as error:
        harness.take(with_unanswered)
    assert error.value.unanswered == ("a",) and error.value.over


def test_an_end_without_goodbye_is_a_break_even_after_an_earlier_goodbye() -> None:
    harness = CoreHarness()
    session = harness.open_established()
    harness.deliver(session, "BYE\r\ngoodbye\r\n")
    harness.end_connection(session)
    assert session.state is not SessionState.CLOSED and harness.core.figures().counters.broken == 1


def test_an_unanswered_line_breaks_the_session_and_an_idle_session_stays() -> None:
    harness = CoreHarness(silence_ms=7000)
    session, idle = harness.open_established(), harness.open_established()
    harness.send(session, "a")
    harness.advance(6000)
    harness.deliver(session, "a\r\n")
    harness.send(session, "b")
    harness.advance(6999)
    assert session.state is SessionState.ESTABLISHED
    harness.advance(15)
    assert session.state is not SessionState.ESTABLISHED and idle.state is SessionState.ESTABLISHED
    harness.advance(100_000)
    assert idle.state is SessionState.ESTABLISHED


def test_a_poll_exactly_at_the_answer_deadline_breaks_the_session() -> None:
    """A rounded difference of the times is below the limit; the timer must not be due again without end."""
    harness = CoreHarness(silence_ms=2500)
    session = harness.open_established()
    harness.now = 14761.534776674447
    harness.send(session, "a")
    harness.now = 17261.534776674445
    assert harness.now - 14761.534776674447 < 2500  # by rounding; the limit of 2500 ms is reached
    harness.core.poll(harness.now)
    assert session.state is not SessionState.ESTABLISHED


@pytest.mark.parametrize("data", [b"x" * 5000, b"UP " + b"y" * 5000 + b"\r\n", b"\xff\xfe\r\n", b"a\0b\r\n"])
@pytest.mark.parametrize("is_established", [False, True])
def test_malformed_data_ends_the_session_with_a_clear_error(data: bytes, is_established: bool) -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open_established() if is_established else harness.open()
    if is_established:
        harness.send(session, "a")
    else:
        harness.accept(session)
    harness.core.data_received(session, session.connection_id, data, harness.now)
    harness.step()
    assert (
        session.state is SessionState.CLOSED
        and isinstance(session.error, Failed)
        and not harness.open_connections
    )
    assert "sent a line" in str(session.error)
    if is_established:
        with pytest.raises(Interrupted):
            harness.take(session)
    with pytest.raises(Failed):
        harness.take(session)


def test_sixty_megabytes_without_a_line_end_are_cut_off_at_the_line_limit() -> None:
    harness = CoreHarness()
    session = harness.open_established()
    for _ in range(60 * 64):  # 60 MB in reads of 16 KiB, the largest read of a driver
        harness.core.data_received(session, session.connection_id, b"z" * 16_384, harness.now)
        harness.step()
        assert len(session.line_buffer._incomplete) <= MAX_LINE_BYTES and not session.inbox
    assert session.state is SessionState.CLOSED and len(harness.disconnects) == 1


def test_a_caller_that_does_not_receive_stops_the_reading_and_one_that_floods_waits() -> None:
    harness = CoreHarness(lines_in=4, lines_out=3)
    session = harness.open_established()
    for n in range(3):
        assert harness.core.wants_data(session)
        harness.send(session, str(n))
    assert not harness.core.may_send(session)
    harness.deliver(session, "0\r\n1\r\n2\r\n3\r\n")
    assert harness.core.may_send(session) and not harness.core.wants_data(session)
    harness.take(session)
    assert harness.core.wants_data(session)
