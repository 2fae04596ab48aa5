"""Attempts of a request: deadlines, retries, ejected balancers, the retry budget and the limits."""

from __future__ import annotations

import pytest

from tests.client.core_harness import ONE, TWO, CoreHarness, opening_fields
from walkloom.client.errors import ClientError, Failed, Rejected, TimedOut, TooMany
from walkloom.client.session import SessionState


def test_the_opening_line_carries_the_class_and_the_remaining_time() -> None:
    harness = CoreHarness()
    session = harness.open(tenant="herb-serra", group=0xAB, key=0xCD, load=1.5)
    harness.advance(200)
    harness.accept(session)
    fields = opening_fields(harness, session)
    assert fields | {"id": ""} == {
        "id": "",
        "key": f"{0xCD:016x}",
        "c": "tile-view",
        "t": "herb-serra",
        "d": "1000",
        "g": f"{0xAB:016x}",
        "h": "1.500",
    }


def test_a_retry_goes_to_another_balancer_with_a_retry_mark_a_new_id_and_less_time() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    first = harness.newest_address(session)
    harness.answer(session, "ERR")
    harness.advance(60)  # the backoff before the first retry is at most 50 ms
    assert harness.newest_address(session) != first
    harness.accept(session)
    fields, first_opening_line = opening_fields(harness, session), harness.lines[session.session_id][0]
    assert fields["r"] == "1" and "again" not in fields and fields["id"].encode() not in first_opening_line
    # two latency objectives, because a retry on another balancer could follow
    assert 540 <= int(fields["d"]) <= 600
    harness.deliver(session, "UP 3\r\n")
    assert session.state is SessionState.ESTABLISHED and session.receipt == "3"


def test_a_request_fails_at_once_after_three_failed_attempts() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    for _ in range(3):
        harness.answer(session, "ERR")
        harness.advance(60 if session.attempts < 3 else 0)
    assert (
        session.state is SessionState.CLOSED
        and isinstance(session.error, Failed)
        and harness.now < 1200 + 1000  # ms: the deadline of the class, and the time at which the clock starts
    )


@pytest.mark.parametrize(
    ("at", "kind"), [(1198.0, Rejected), (1199.999, Rejected), (1200.0, TimedOut), (1200.5, TimedOut)]
)
def test_a_rejection_at_the_deadline_gives_one_result_and_no_retry(
    at: float, kind: type[ClientError]
) -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.now += at  # the loop is late: the rejection is handled before the timer
    harness.deliver(session, "BUSY 0\r\n")
    error = session.error
    assert type(error) is kind
    harness.deliver(session, "BUSY 0\r\n", connection_id=1)
    harness.advance(10_000)
    counters = harness.core.figures().counters
    assert len(harness.connects) == 1 and session.error is error
    assert counters.rejected + counters.timed_out == 1 and counters.requests == 1


def test_a_silent_balancer_is_left_for_another_before_the_deadline() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    first = harness.newest_address(session)
    harness.accept(session)
    assert opening_fields(harness, session)["d"] == "600"
    harness.advance(700)
    assert harness.newest_address(session) != first and session.state is SessionState.CONNECTING
    harness.accept(session)
    harness.advance(2000)
    assert isinstance(session.error, TimedOut) and len(harness.disconnects) == 2
    # the harness's clock starts at 1000 ms, and the deadline of the class is 1200 ms
    assert all(at <= 1000 + 1200 for at, _ in harness.disconnects)


def test_a_stalled_connect_ends_at_the_connect_timeout() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    harness.advance(299)
    assert len(harness.connects) == 1
    harness.advance(60)
    assert len(harness.connects) == 2 and session.state is SessionState.CONNECTING


@pytest.mark.parametrize("text", ["", "U", "UP", "BUSY 10", "x" * 100])
def test_an_incomplete_answer_times_out_at_the_deadline(text: str) -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.deliver(session, text)
    harness.advance(1199)
    assert session.state is SessionState.CONNECTING
    harness.advance(15)
    assert isinstance(session.error, TimedOut) and not harness.open_connections


def test_a_dead_balancer_is_ejected_and_probed_by_one_request_at_a_time() -> None:
    harness = CoreHarness(ONE)
    for _ in range(2):
        harness.connect_failed(harness.open())
        harness.advance(0)
    for session in [
        s for _, connect in harness.connects if (s := connect.session).state is SessionState.CONNECTING
    ]:
        harness.connect_failed(session)
    before = len(harness.connects)
    sessions = [harness.open() for _ in range(30)]
    assert len(harness.connects) == before
    for _ in range(20):
        harness.advance(100)
        assert len(harness.open_connections) <= 1
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.connect_failed(session)
    assert all(isinstance(s.error, ClientError) for s in sessions)
    assert 1 <= len(harness.connects) - before <= 8  # in two seconds with 30 waiting requests
    harness.advance(10_000)
    probe, *others = [harness.open() for _ in range(5)]
    assert len(harness.open_connections) == 1
    harness.answer(probe, "BUSY 0")  # a rejection, too, ends the ejection
    assert len(harness.open_connections) == 1  # limited by the gate of the class, no longer by the ejection
    harness.advance(0)
    harness.answer(next(s for s in (probe, *others) if s.state is SessionState.CONNECTING), "UP 1")
    assert len(harness.open_connections) >= 2


def test_requests_fail_at_once_when_the_retry_budget_is_exhausted() -> None:
    harness = CoreHarness(retry_reserve=3, retry_share=0.5)
    for _ in range(8):
        session = harness.open()
        while session.state is not SessionState.CLOSED:
            if session.state is SessionState.CONNECTING:
                harness.answer(session, "ERR")
            harness.advance(1)
    assert len(harness.connects) == 8 + 3 and harness.core.figures().counters.budget_exhausted >= 5
    for _ in range(4):
        harness.open_established()
    session = harness.open()
    while session.state is not SessionState.CLOSED:
        if session.state is SessionState.CONNECTING:
            harness.answer(session, "ERR")
        harness.advance(1)
    assert session.attempts == 3  # four successes allow two more retries


def test_no_attempt_starts_that_could_not_finish() -> None:
    harness = CoreHarness()
    for _ in range(8):
        session = harness.open()
        harness.advance(150)
        harness.answer(session, "UP 1")
    session = harness.open()
    harness.accept(session)
    harness.advance(1100)
    harness.deliver(session, "ERR\r\n")  # 100 ms are left, and set-ups have taken 150 ms
    assert isinstance(session.error, Failed) and len(harness.connects) == 9


def test_the_highest_priority_class_goes_first_when_attempts_are_limited() -> None:
    harness = CoreHarness(setups=1)
    first = harness.open()
    harness.open()
    harness.open("label-edit")
    harness.answer(first, "UP 1")
    assert harness.connects[-1][1].session.attributes.request_class == "label-edit"


def test_sessions_and_attempts_in_flight_are_bounded() -> None:
    harness = CoreHarness(sessions=5, setups=2)
    sessions = [harness.open() for _ in range(5)]
    assert len(harness.open_connections) == 2
    assert isinstance(harness.open_rejected(), TooMany)
    harness.core.close(sessions[0], harness.now)
    harness.step()
    assert len(harness.open_connections) == 2 and harness.open()


def test_a_clock_that_steps_back_or_far_ahead_is_harmless() -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.core.data_received(session, session.connection_id, b"U", harness.now - 1e6)
    harness.core.poll(harness.now - 1e6)
    assert session.state is SessionState.CONNECTING
    harness.now += 3.6e6  # one hour, as after a suspended machine
    harness.step()
    assert (
        isinstance(session.error, TimedOut) and harness.open_established().state is SessionState.ESTABLISHED
    )


def test_events_of_an_older_connection_are_ignored() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    harness.answer(session, "ERR")
    harness.advance(60)
    harness.accept(session)
    harness.deliver(session, "UP 1\r\n", connection_id=1)
    harness.core.connection_ended(session, 1, harness.now, "late")
    harness.core.connect_failed(session, 1, harness.now, "late")
    harness.step()
    assert session.state is SessionState.CONNECTING
    harness.deliver(session, "UP 2\r\n")
    assert session.receipt == "2"
