"""The client's core without I/O: deadlines, retries, refusals, moves and bounds."""

from __future__ import annotations

import re

import pytest

from tests.client.core_harness import EDIT, ONE, TWO, VIEW, CoreHarness
from walkloom.client.core import ClientCore
from walkloom.client.errors import ClientError, Failed, Interrupted, Rejected, TimedOut, TooMany
from walkloom.client.session import Session, SessionState
from walkloom.client.settings import ClassPolicy, Limits, parse_address
from walkloom.client.wire import MAX_LINE_BYTES, encode_line


def opening(harness: CoreHarness, session: Session) -> dict[str, str]:
    """The names and values of a session's newest opening line."""
    line = next(x for x in reversed(harness.lines[session.session_id]) if x.startswith(b"OPEN "))
    match = re.fullmatch(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)\r\n", line.decode())
    assert match
    return {"id": match[1], "key": match[2]} | dict(x.split("=") for x in match[3].split(","))


def test_the_opening_line_tells_the_class_and_what_is_left_of_the_time() -> None:
    harness = CoreHarness()
    session = harness.open(tenant="herb-serra", group=0xAB, key=0xCD, load=1.5)
    harness.at(200)
    harness.accept(session)
    told = opening(harness, session)
    assert told | {"id": ""} == {
        "id": "", "key": f"{0xCD:016x}", "c": "tile-view", "t": "herb-serra", "d": "1000",
        "g": f"{0xAB:016x}", "h": "1.500",
    }  # fmt: skip


def test_a_retry_goes_to_another_balancer_is_marked_and_has_a_new_id_and_less_time() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    first = harness.newest_address(session)
    harness.answer(session, "ERR")
    harness.at(60)
    assert harness.newest_address(session) != first
    harness.accept(session)
    told, before = opening(harness, session), harness.lines[session.session_id][0]
    assert told["r"] == "1" and "again" not in told and told["id"].encode() not in before
    assert 540 <= int(told["d"]) <= 600  # two aims: there is time for another balancer after it
    harness.say(session, "UP 3\r\n")
    assert session.state is SessionState.ESTABLISHED and session.receipt == "3"


def test_three_failures_are_the_end_at_once() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    for _ in range(3):
        harness.answer(session, "ERR")
        harness.at(60 if session.attempts < 3 else 0)
    assert (
        session.state is SessionState.CLOSED
        and isinstance(session.error, Failed)
        and harness.now < 1200 + 1000
    )


@pytest.mark.parametrize(
    "at, kind", [(1198.0, Rejected), (1199.999, Rejected), (1200.0, TimedOut), (1200.5, TimedOut)]
)
def test_a_refusal_as_the_deadline_passes_gives_one_result_and_no_further_try(
    at: float, kind: type[ClientError]
) -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.now += at  # the loop is late: the refusal is handled before the timer
    harness.say(session, "BUSY 0\r\n")
    error = session.error
    assert type(error) is kind
    harness.say(session, "BUSY 0\r\n", conn=1)
    harness.at(10_000)
    counters = harness.core.figures().counters
    assert len(harness.connects) == 1 and session.error is error
    assert counters.rejected + counters.timed_out == 1 and counters.requests == 1


def test_a_refusal_holds_its_class_to_the_millisecond_and_no_other() -> None:
    harness = CoreHarness()
    first = harness.open()
    harness.answer(first, "BUSY 700")
    held = harness.now + 700
    assert first.state is SessionState.QUEUED  # there is time for one more try afterwards
    second = harness.open()
    other = harness.established("label-edit")
    assert other.state is SessionState.ESTABLISHED and len(harness.connects) == 2
    harness.at(2000)
    times = [
        at for at, connect in harness.connects if connect.session.attributes.request_class == "tile-view"
    ][1:]
    assert times and held <= times[0] <= held + 70 and second.state is SessionState.CLOSED


def test_after_a_hold_one_try_goes_and_each_success_doubles_how_many_may() -> None:
    harness = CoreHarness(setups=100)
    harness.answer(harness.open(), "BUSY 100")
    waiting = [harness.open() for _ in range(20)]
    harness.at(120)
    counts = []
    while out := [s for s in waiting if s.state is SessionState.CONNECTING]:
        counts.append(len(out))
        for session in out:
            harness.answer(session, "UP 1")
        waiting = [s for s in waiting if s.state is not SessionState.ESTABLISHED]
        assert harness.now < 3000
    assert counts[0] == 1 and counts[1] == 2 and max(counts) >= 4


def test_who_cannot_be_in_time_after_a_hold_hears_so_at_once() -> None:
    harness = CoreHarness(setups=1)
    first, waiting = harness.open(), harness.open()
    harness.answer(first, "BUSY 1500")
    for session in (first, waiting):
        assert isinstance(session.error, Rejected) and 1500 <= session.error.retry_after <= 1650
    error = harness.rejected()
    assert isinstance(error, Rejected) and error.retry_after >= 1500 and len(harness.connects) == 1
    harness.at(1650)
    assert harness.established().state is SessionState.ESTABLISHED


def test_refusals_without_a_time_hold_longer_and_longer() -> None:
    harness = CoreHarness()
    while harness.now < 30_000:
        try:
            session = harness.open()
        except Rejected as error:
            harness.at(error.retry_after)
            continue
        while session.state is not SessionState.CLOSED:
            if session.state is SessionState.CONNECTING:
                harness.answer(session, "BUSY")
            harness.at(1)
    times = [at for at, _ in harness.connects]
    assert 100 <= times[1] - times[0] <= 210 and times[-1] - times[-2] >= 2500 and len(times) < 16


def test_a_time_of_days_is_not_believed() -> None:
    harness = CoreHarness()
    harness.answer(harness.open(), "BUSY 999999999")
    assert harness.core.next_wake_at() >= 0
    error = harness.rejected()
    assert isinstance(error, Rejected) and error.retry_after <= 660_000


def test_a_silent_balancer_is_left_for_another_within_the_time() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    first = harness.newest_address(session)
    harness.accept(session)
    assert opening(harness, session)["d"] == "600"
    harness.at(700)
    assert harness.newest_address(session) != first and session.state is SessionState.CONNECTING
    harness.accept(session)
    harness.at(2000)
    assert isinstance(session.error, TimedOut) and len(harness.disconnects) == 2
    assert all(at <= 1000 + 1200 for at, _ in harness.disconnects)


def test_a_connect_that_stalls_is_given_up_early() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    harness.at(299)
    assert len(harness.connects) == 1
    harness.at(60)
    assert len(harness.connects) == 2 and session.state is SessionState.CONNECTING


@pytest.mark.parametrize("text", ["", "U", "UP", "BUSY 10", "x" * 100])
def test_silence_half_a_line_and_a_trickle_end_with_the_time(text: str) -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.say(session, text)
    harness.at(1199)
    assert session.state is SessionState.CONNECTING
    harness.at(15)
    assert isinstance(session.error, TimedOut) and not harness.open_connections


def test_a_dead_balancer_is_left_out_and_tried_by_one_request_at_a_time() -> None:
    harness = CoreHarness(ONE)
    for _ in range(2):
        harness.connect_failed(harness.open())
        harness.at(0)
    for session in [
        s for _, connect in harness.connects if (s := connect.session).state is SessionState.CONNECTING
    ]:
        harness.connect_failed(session)
    before = len(harness.connects)
    sessions = [harness.open() for _ in range(30)]
    assert len(harness.connects) == before
    for _ in range(20):
        harness.at(100)
        assert len(harness.open_connections) <= 1
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.connect_failed(session)
    assert all(isinstance(s.error, ClientError) for s in sessions)
    assert 1 <= len(harness.connects) - before <= 8  # over two seconds of 30 waiting requests
    harness.at(10_000)
    trial, *others = [harness.open() for _ in range(5)]
    assert len(harness.open_connections) == 1
    harness.answer(trial, "BUSY 0")  # also a refusal shows that it lives
    assert len(harness.open_connections) == 1  # for the class's gate, not for the balancer's sake
    harness.at(0)
    harness.answer(next(s for s in (trial, *others) if s.state is SessionState.CONNECTING), "UP 1")
    assert len(harness.open_connections) >= 2


def test_failures_use_up_the_budget_and_then_end_at_once() -> None:
    harness = CoreHarness(retry_reserve=3, retry_share=0.5)
    for _ in range(8):
        session = harness.open()
        while session.state is not SessionState.CLOSED:
            if session.state is SessionState.CONNECTING:
                harness.answer(session, "ERR")
            harness.at(1)
    assert len(harness.connects) == 8 + 3 and harness.core.figures().counters.budget_exhausted >= 5
    for _ in range(4):
        harness.established()
    session = harness.open()
    while session.state is not SessionState.CLOSED:
        if session.state is SessionState.CONNECTING:
            harness.answer(session, "ERR")
        harness.at(1)
    assert session.attempts == 3  # two successes earned one retry


def test_no_try_is_begun_that_could_not_finish() -> None:
    harness = CoreHarness()
    for _ in range(8):
        session = harness.open()
        harness.at(150)
        harness.answer(session, "UP 1")
    session = harness.open()
    harness.accept(session)
    harness.at(1100)
    harness.say(session, "ERR\r\n")  # 100 ms are left, and set-ups have taken 150
    assert isinstance(session.error, Failed) and len(harness.connects) == 9


def test_the_worthiest_class_goes_first_when_set_ups_are_limited() -> None:
    harness = CoreHarness(setups=1)
    first = harness.open()
    harness.open()
    harness.open("label-edit")
    harness.answer(first, "UP 1")
    assert harness.connects[-1][1].session.attributes.request_class == "label-edit"


def test_a_drain_brings_sessions_back_one_after_another_curators_first() -> None:
    harness = CoreHarness(setups=1000, returns_per_s=100, seed=3)
    views, edits = (
        [harness.established() for _ in range(250)],
        [harness.established("label-edit") for _ in range(50)],
    )
    start = len(harness.connects)
    for session in views + edits:
        harness.core.data_received(session, session.connection_id, b"MOVE\r\n", harness.now)
    harness.step()
    went = harness.now
    while any(s.state is not SessionState.ESTABLISHED for s in views + edits):
        harness.at(5)
        for session in [s for s in views + edits if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 2")
        assert harness.now < went + 10_000
    back = harness.connects[start:]
    assert len(back) == 300 and all(
        connect.session.attributes.request_class == "label-edit" for _, connect in back[:50]
    )
    bins = [0] * (int(back[-1][0] - went) // 100 + 1)
    for at, _ in back:
        bins[int(at - went) // 100] += 1
    assert 2500 < back[-1][0] - went < 3500 and max(bins) < 2 * 300 / len(bins)
    told = opening(harness, views[0])
    assert told["again"] == "1" and "r" not in told
    assert harness.core.figures().counters.reconnected == 300


def test_the_window_of_a_drain_is_bounded() -> None:
    harness = CoreHarness(setups=1000, returns_per_s=1, return_window_ms=2000)
    sessions = [harness.established() for _ in range(100)]
    for session in sessions:
        harness.say(session, "MOVE\r\n")
    went = harness.now
    while any(s.connection_id < 2 for s in sessions):
        harness.at(5)
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 2")
    assert 1500 <= harness.now - went <= 2600


def test_a_move_is_a_whole_line_in_however_many_reads() -> None:
    harness = CoreHarness()
    session = harness.established()
    harness.say(session, "MO")
    assert session.state is SessionState.ESTABLISHED
    harness.say(session, "VE\r")
    assert len(harness.connects) == 1
    harness.say(session, "\nsheet 9\r\n")  # nothing after it counts
    harness.at(15)
    assert len(harness.connects) == 2 and not harness.core.has_pending(session)


@pytest.mark.parametrize("line", ["MOVED", "MOVE 1", "REMOVE", " MOVE", "move", "MOVE MOVE"])
def test_move_within_another_line_is_that_line(line: str) -> None:
    harness = CoreHarness()
    session = harness.established()
    harness.say(session, line + "\r\n")
    assert session.state is SessionState.ESTABLISHED and harness.take(session) == line


def test_up_and_move_in_one_read_is_a_session_that_comes_back() -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.answer(session, "UP 5\r\nMOVE")
    harness.at(300)
    assert harness.core.figures().counters.migrated == 1 and len(harness.connects) == 2


def test_lines_without_an_answer_are_told_once_in_their_place_and_never_sent_again() -> None:
    harness = CoreHarness()
    session = harness.established()
    for line in ("a", "b", "c"):
        harness.send(session, line)
    harness.say(session, "a\r\nLOAD 3.5\r\n")
    harness.end(session, "reset by peer")
    assert session.load == 3.5
    harness.at(15)
    harness.answer(session, "UP 9")
    harness.send(session, "d")
    harness.say(session, "d\r\n")
    assert harness.take(session) == "a"
    with pytest.raises(Interrupted) as error:
        harness.take(session)
    assert error.value.unanswered == ("b", "c") and "reset" in error.value.why and not error.value.over
    assert harness.take(session) == "d" and not harness.core.has_pending(session)
    written = b"".join(harness.lines[session.session_id])
    assert written.count(b"\nb\r\n") == 1 and session.receipt == "9"


def test_a_session_that_shall_not_come_back_says_so_and_ends() -> None:
    harness = CoreHarness()
    session = harness.established(returns=False)
    harness.say(session, "MOVE\r\n")
    with pytest.raises(Interrupted) as error:
        harness.take(session)
    assert error.value.over and error.value.why == "moved" and error.value.unanswered == ()
    assert harness.take(session) is None and session.state is SessionState.CLOSED


def test_bye_is_the_end_in_order_and_owes_what_it_did_not_answer() -> None:
    harness = CoreHarness()
    session, owing = harness.established(), harness.established()
    harness.send(owing, "a")
    for each in (session, owing):
        harness.say(each, "BYE inflight=3\r\n")
        harness.end(each)
    assert harness.take(session) is None
    with pytest.raises(Interrupted) as error:
        harness.take(owing)
    assert error.value.unanswered == ("a",) and error.value.over


def test_an_end_without_a_word_is_a_break_also_after_a_line_like_bye() -> None:
    harness = CoreHarness()
    session = harness.established()
    harness.say(session, "BYE\r\ngoodbye\r\n")
    harness.end(session)
    assert session.state is not SessionState.CLOSED and harness.core.figures().counters.broken == 1


def test_a_line_that_nobody_answers_breaks_the_session_and_an_idle_one_stands() -> None:
    harness = CoreHarness(silence_ms=7000)
    session, idle = harness.established(), harness.established()
    harness.send(session, "a")
    harness.at(6000)
    harness.say(session, "a\r\n")
    harness.send(session, "b")
    harness.at(6999)
    assert session.state is SessionState.ESTABLISHED
    harness.at(15)
    assert session.state is not SessionState.ESTABLISHED and idle.state is SessionState.ESTABLISHED
    harness.at(100_000)
    assert idle.state is SessionState.ESTABLISHED


def test_a_return_that_fails_goes_on_on_the_budget_and_ends_with_its_time() -> None:
    harness = CoreHarness(return_for_ms=30_000, retry_reserve=5)
    session = harness.established()
    harness.end(session)
    went = harness.now
    while session.state is not SessionState.CLOSED:
        if session.state is SessionState.CONNECTING:
            harness.answer(session, "ERR")
        harness.at(10)
    assert isinstance(session.error, Failed) and 30_000 <= harness.now - went <= 31_500
    assert harness.core.figures().counters.lost == 1
    assert len(harness.connects) <= 2 + 5 * 4  # the reserve, for each ten seconds and a bit


def test_returns_wait_while_their_class_is_held_or_no_balancer_is_in() -> None:
    harness = CoreHarness(setups=100)
    sessions = [harness.established() for _ in range(50)]
    for session in sessions:
        harness.say(session, "MOVE\r\n")
    harness.at(10)
    first = next(s for s in sessions if s.state is SessionState.CONNECTING)
    harness.answer(first, "BUSY 5000")
    tried = len(harness.connects)
    for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
        harness.answer(session, "BUSY 5000")
    harness.at(4900)
    assert len(harness.connects) <= tried + 1
    for _ in range(300):
        harness.at(10)
        for session in [s for s in sessions if s.state is SessionState.CONNECTING]:
            harness.answer(session, "UP 1")
    assert all(s.state is SessionState.ESTABLISHED for s in sessions)
    assert len(harness.connects) < 50 + 50 * 1.1 + 10


@pytest.mark.parametrize("data", [b"x" * 5000, b"UP " + b"y" * 5000 + b"\r\n", b"\xff\xfe\r\n", b"a\0b\r\n"])
@pytest.mark.parametrize("standing", [False, True])
def test_rubbish_ends_the_session_with_a_clear_error(data: bytes, standing: bool) -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.established() if standing else harness.open()
    if standing:
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
    if standing:
        with pytest.raises(Interrupted):
            harness.take(session)
    with pytest.raises(Failed):
        harness.take(session)


def test_sixty_megabytes_are_cut_off_after_one_line() -> None:
    harness = CoreHarness()
    session = harness.established()
    for _ in range(60 * 64):  # 60 MB as a driver hands them over, 16 KiB at a time
        harness.core.data_received(session, session.connection_id, b"z" * 16_384, harness.now)
        harness.step()
        assert len(session.line_buffer._incomplete) <= MAX_LINE_BYTES and not session.inbox
    assert session.state is SessionState.CLOSED and len(harness.disconnects) == 1


def test_a_caller_that_does_not_receive_stops_the_reading_and_one_that_floods_waits() -> None:
    harness = CoreHarness(lines_in=4, lines_out=3)
    session = harness.established()
    for n in range(3):
        assert harness.core.wants_data(session)
        harness.send(session, str(n))
    assert not harness.core.may_send(session)
    harness.say(session, "0\r\n1\r\n2\r\n3\r\n")
    assert harness.core.may_send(session) and not harness.core.wants_data(session)
    harness.take(session)
    assert harness.core.wants_data(session)


def test_sessions_and_set_ups_are_bounded() -> None:
    harness = CoreHarness(sessions=5, setups=2)
    sessions = [harness.open() for _ in range(5)]
    assert len(harness.open_connections) == 2
    assert isinstance(harness.rejected(), TooMany)
    harness.core.close(sessions[0], harness.now)
    harness.step()
    assert len(harness.open_connections) == 2 and harness.open()


def test_closing_at_any_moment_leaves_nothing_behind() -> None:
    harness = CoreHarness(ONE, TWO, setups=3)
    sessions = [harness.open() for _ in range(6)]
    harness.answer(sessions[0], "UP 1")
    harness.say(sessions[0], "MOVE\r\n")
    harness.answer(sessions[1], "UP 1")
    harness.answer(sessions[2], "ERR")
    for session in sessions:
        harness.core.close(session, harness.now)
        harness.core.close(session, harness.now)
        harness.step()
    figures = harness.core.figures()
    assert not harness.open_connections and figures.sessions == 0 and harness.core._scheduler.in_flight == 0
    assert all(balancer.in_flight == 0 for balancer in harness.core._pool.balancers)
    harness.at(100_000)
    assert figures.counters.requests == figures.counters.established + figures.counters.abandoned


def test_a_clock_that_steps_back_or_far_ahead_harms_nothing() -> None:
    harness = CoreHarness()
    session = harness.open()
    harness.accept(session)
    harness.core.data_received(session, session.connection_id, b"U", harness.now - 1e6)
    harness.core.poll(harness.now - 1e6)
    assert session.state is SessionState.CONNECTING
    harness.now += 3.6e6  # an hour asleep
    harness.step()
    assert isinstance(session.error, TimedOut) and harness.established().state is SessionState.ESTABLISHED


def test_news_of_an_older_connection_is_passed_over() -> None:
    harness = CoreHarness(ONE, TWO)
    session = harness.open()
    harness.answer(session, "ERR")
    harness.at(60)
    harness.accept(session)
    harness.say(session, "UP 1\r\n", conn=1)
    harness.core.connection_ended(session, 1, harness.now, "late")
    harness.core.connect_failed(session, 1, harness.now, "late")
    harness.step()
    assert session.state is SessionState.CONNECTING
    harness.say(session, "UP 2\r\n")
    assert session.receipt == "2"


def test_figures_tell_counts_and_times() -> None:
    harness = CoreHarness()
    for ms in (10, 20, 400):
        session = harness.open()
        harness.at(ms)
        harness.answer(session, "UP 1")
    harness.send(session, "a")
    harness.at(50)
    harness.say(session, "a\r\n")
    figures = harness.core.figures()
    setup, delay = figures.setup_times["tile-view"], figures.line_delays["tile-view"]
    assert setup.count == 3 and 19 <= setup.p50 <= 21 and 395 <= setup.max <= 405 and 49 <= delay.p99 <= 51
    assert figures.established == figures.sessions == 3 and figures.counters.lines_received == 1


@pytest.mark.parametrize(
    "make, text",
    [
        (lambda: ClassPolicy("a b", 1, 2), "class name"),
        (lambda: ClassPolicy("a", 3, 2), "aim_ms"),
        (lambda: ClassPolicy("a", 1, 2, tries=4), "tries"),
        (lambda: ClassPolicy("a", 1, 2, worth=0), "worth"),
        (lambda: Limits(setups=0), "setups"),
        (lambda: Limits(retry_share=2), "retry_share"),
        (lambda: Limits(backoff_ms=50, backoff_most_ms=10), "backoff_most_ms"),
        (lambda: parse_address("nowhere"), "host:port"),
        (lambda: parse_address("h:0"), "host:port"),
        (lambda: ClientCore([], [VIEW], Limits()), "at least one balancer"),
        (lambda: ClientCore([ONE], [], Limits()), "at least one class"),
        (lambda: ClientCore([ONE], [VIEW, VIEW], Limits()), "each once"),
        (lambda: CoreHarness().open("none"), "no class 'none'"),
        (lambda: CoreHarness().open(tenant="a,b"), "tenant"),
        (lambda: CoreHarness().open(key=1 << 64), "64 bits"),
        (lambda: CoreHarness().open(load=float("nan")), "load"),
        (lambda: encode_line("a\nb"), "line end"),
        (lambda: encode_line("a" * 4095), "bytes"),
    ],
)
def test_what_makes_no_sense_is_told_by_name(make: object, text: str) -> None:
    with pytest.raises(ValueError, match=text):
        make()  # type: ignore[operator]


def test_addresses_take_names_and_both_kinds_of_number() -> None:
    assert parse_address("[::1]:9000") == ("::1", 9000) and parse_address("a.example:1") == ("a.example", 1)
    assert EDIT.worth > VIEW.worth
