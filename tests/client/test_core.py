"""The client's core without I/O: deadlines, retries, refusals, moves and bounds."""

from __future__ import annotations

import re

import pytest

from tests.client.core_harness import EDIT, ONE, TWO, VIEW, Rig
from walkloom.client.core import ClientCore
from walkloom.client.errors import ClientError, Failed, Interrupted, Refused, TimedOut, TooMany
from walkloom.client.session import Session, State
from walkloom.client.settings import ClassPolicy, Limits, address
from walkloom.client.wire import LONGEST, encoded


def opening(rig: Rig, session: Session) -> dict[str, str]:
    """The names and values of a session's newest opening line."""
    line = next(x for x in reversed(rig.lines[session.number]) if x.startswith(b"OPEN "))
    match = re.fullmatch(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)\r\n", line.decode())
    assert match
    return {"id": match[1], "key": match[2]} | dict(x.split("=") for x in match[3].split(","))


def test_the_opening_line_tells_the_class_and_what_is_left_of_the_time() -> None:
    rig = Rig()
    session = rig.open(tenant="herb-serra", group=0xAB, key=0xCD, load=1.5)
    rig.at(200)
    rig.accept(session)
    told = opening(rig, session)
    assert told | {"id": ""} == {
        "id": "", "key": f"{0xCD:016x}", "c": "tile-view", "t": "herb-serra", "d": "1000",
        "g": f"{0xAB:016x}", "h": "1.500",
    }  # fmt: skip


def test_a_retry_goes_to_another_balancer_is_marked_and_has_a_new_id_and_less_time() -> None:
    rig = Rig(ONE, TWO)
    session = rig.open()
    first = rig.asked(session)
    rig.answer(session, "ERR")
    rig.at(60)
    assert rig.asked(session) != first
    rig.accept(session)
    told, before = opening(rig, session), rig.lines[session.number][0]
    assert told["r"] == "1" and "again" not in told and told["id"].encode() not in before
    assert 540 <= int(told["d"]) <= 600  # two aims: there is time for another balancer after it
    rig.say(session, "UP 3\r\n")
    assert session.state is State.UP and session.receipt == "3"


def test_three_failures_are_the_end_at_once() -> None:
    rig = Rig(ONE, TWO)
    session = rig.open()
    for _ in range(3):
        rig.answer(session, "ERR")
        rig.at(60 if session.tries < 3 else 0)
    assert session.state is State.OVER and isinstance(session.error, Failed) and rig.now < 1200 + 1000


@pytest.mark.parametrize(
    "at, kind", [(1198.0, Refused), (1199.999, Refused), (1200.0, TimedOut), (1200.5, TimedOut)]
)
def test_a_refusal_as_the_deadline_passes_gives_one_result_and_no_further_try(
    at: float, kind: type[ClientError]
) -> None:
    rig = Rig()
    session = rig.open()
    rig.accept(session)
    rig.now += at  # the loop is late: the refusal is handled before the timer
    rig.say(session, "BUSY 0\r\n")
    error = session.error
    assert type(error) is kind
    rig.say(session, "BUSY 0\r\n", conn=1)
    rig.at(10_000)
    counters = rig.core.figures().counters
    assert len(rig.dials) == 1 and session.error is error
    assert counters.refused + counters.timed_out == 1 and counters.requests == 1


def test_a_refusal_holds_its_class_to_the_millisecond_and_no_other() -> None:
    rig = Rig()
    first = rig.open()
    rig.answer(first, "BUSY 700")
    held = rig.now + 700
    assert first.state is State.WAITING  # there is time for one more try afterwards
    second = rig.open()
    other = rig.up("label-edit")
    assert other.state is State.UP and len(rig.dials) == 2
    rig.at(2000)
    times = [at for at, dial in rig.dials if dial.session.about.cls == "tile-view"][1:]
    assert times and held <= times[0] <= held + 70 and second.state is State.OVER


def test_after_a_hold_one_try_goes_and_each_success_doubles_how_many_may() -> None:
    rig = Rig(setups=100)
    rig.answer(rig.open(), "BUSY 100")
    waiting = [rig.open() for _ in range(20)]
    rig.at(120)
    counts = []
    while out := [s for s in waiting if s.state is State.TRYING]:
        counts.append(len(out))
        for session in out:
            rig.answer(session, "UP 1")
        waiting = [s for s in waiting if s.state is not State.UP]
        assert rig.now < 3000
    assert counts[0] == 1 and counts[1] == 2 and max(counts) >= 4


def test_who_cannot_be_in_time_after_a_hold_hears_so_at_once() -> None:
    rig = Rig(setups=1)
    first, waiting = rig.open(), rig.open()
    rig.answer(first, "BUSY 1500")
    for session in (first, waiting):
        assert isinstance(session.error, Refused) and 1500 <= session.error.retry_after <= 1650
    error = rig.refused()
    assert isinstance(error, Refused) and error.retry_after >= 1500 and len(rig.dials) == 1
    rig.at(1650)
    assert rig.up().state is State.UP


def test_refusals_without_a_time_hold_longer_and_longer() -> None:
    rig = Rig()
    while rig.now < 30_000:
        try:
            session = rig.open()
        except Refused as error:
            rig.at(error.retry_after)
            continue
        while session.state is not State.OVER:
            if session.state is State.TRYING:
                rig.answer(session, "BUSY")
            rig.at(1)
    times = [at for at, _ in rig.dials]
    assert 100 <= times[1] - times[0] <= 210 and times[-1] - times[-2] >= 2500 and len(times) < 16


def test_a_time_of_days_is_not_believed() -> None:
    rig = Rig()
    rig.answer(rig.open(), "BUSY 999999999")
    assert rig.core.wake_at() >= 0
    error = rig.refused()
    assert isinstance(error, Refused) and error.retry_after <= 660_000


def test_a_silent_balancer_is_left_for_another_within_the_time() -> None:
    rig = Rig(ONE, TWO)
    session = rig.open()
    first = rig.asked(session)
    rig.accept(session)
    assert opening(rig, session)["d"] == "600"
    rig.at(700)
    assert rig.asked(session) != first and session.state is State.TRYING
    rig.accept(session)
    rig.at(2000)
    assert isinstance(session.error, TimedOut) and len(rig.hung) == 2
    assert all(at <= 1000 + 1200 for at, _ in rig.hung)


def test_a_connect_that_stalls_is_given_up_early() -> None:
    rig = Rig(ONE, TWO)
    session = rig.open()
    rig.at(299)
    assert len(rig.dials) == 1
    rig.at(60)
    assert len(rig.dials) == 2 and session.state is State.TRYING


@pytest.mark.parametrize("text", ["", "U", "UP", "BUSY 10", "x" * 100])
def test_silence_half_a_line_and_a_trickle_end_with_the_time(text: str) -> None:
    rig = Rig()
    session = rig.open()
    rig.accept(session)
    rig.say(session, text)
    rig.at(1199)
    assert session.state is State.TRYING
    rig.at(15)
    assert isinstance(session.error, TimedOut) and not rig.live


def test_a_dead_balancer_is_left_out_and_tried_by_one_request_at_a_time() -> None:
    rig = Rig(ONE)
    for _ in range(2):
        rig.dead(rig.open())
        rig.at(0)
    for session in [s for _, d in rig.dials if (s := d.session).state is State.TRYING]:
        rig.dead(session)
    before = len(rig.dials)
    sessions = [rig.open() for _ in range(30)]
    assert len(rig.dials) == before
    for _ in range(20):
        rig.at(100)
        assert len(rig.live) <= 1
        for session in [s for s in sessions if s.state is State.TRYING]:
            rig.dead(session)
    assert all(isinstance(s.error, ClientError) for s in sessions)
    assert 1 <= len(rig.dials) - before <= 8  # over two seconds of 30 waiting requests
    rig.at(10_000)
    trial, *others = [rig.open() for _ in range(5)]
    assert len(rig.live) == 1
    rig.answer(trial, "BUSY 0")  # also a refusal shows that it lives
    assert len(rig.live) == 1  # for the class's gate, not for the balancer's sake
    rig.at(0)
    rig.answer(next(s for s in (trial, *others) if s.state is State.TRYING), "UP 1")
    assert len(rig.live) >= 2


def test_failures_use_up_the_budget_and_then_end_at_once() -> None:
    rig = Rig(retry_reserve=3, retry_share=0.5)
    for _ in range(8):
        session = rig.open()
        while session.state is not State.OVER:
            if session.state is State.TRYING:
                rig.answer(session, "ERR")
            rig.at(1)
    assert len(rig.dials) == 8 + 3 and rig.core.figures().counters.no_budget >= 5
    for _ in range(4):
        rig.up()
    session = rig.open()
    while session.state is not State.OVER:
        if session.state is State.TRYING:
            rig.answer(session, "ERR")
        rig.at(1)
    assert session.tries == 3  # two successes earned one retry


def test_no_try_is_begun_that_could_not_finish() -> None:
    rig = Rig()
    for _ in range(8):
        session = rig.open()
        rig.at(150)
        rig.answer(session, "UP 1")
    session = rig.open()
    rig.accept(session)
    rig.at(1100)
    rig.say(session, "ERR\r\n")  # 100 ms are left, and set-ups have taken 150
    assert isinstance(session.error, Failed) and len(rig.dials) == 9


def test_the_worthiest_class_goes_first_when_set_ups_are_limited() -> None:
    rig = Rig(setups=1)
    first = rig.open()
    rig.open()
    rig.open("label-edit")
    rig.answer(first, "UP 1")
    assert rig.dials[-1][1].session.about.cls == "label-edit"


def test_a_drain_brings_sessions_back_one_after_another_curators_first() -> None:
    rig = Rig(setups=1000, returns_per_s=100, seed=3)
    views, edits = [rig.up() for _ in range(250)], [rig.up("label-edit") for _ in range(50)]
    start = len(rig.dials)
    for session in views + edits:
        rig.core.received(session, session.conn, b"MOVE\r\n", rig.now)
    rig.step()
    went = rig.now
    while any(s.state is not State.UP for s in views + edits):
        rig.at(5)
        for session in [s for s in views + edits if s.state is State.TRYING]:
            rig.answer(session, "UP 2")
        assert rig.now < went + 10_000
    back = rig.dials[start:]
    assert len(back) == 300 and all(d.session.about.cls == "label-edit" for _, d in back[:50])
    bins = [0] * (int(back[-1][0] - went) // 100 + 1)
    for at, _ in back:
        bins[int(at - went) // 100] += 1
    assert 2500 < back[-1][0] - went < 3500 and max(bins) < 2 * 300 / len(bins)
    told = opening(rig, views[0])
    assert told["again"] == "1" and "r" not in told
    assert rig.core.figures().counters.returned == 300


def test_the_window_of_a_drain_is_bounded() -> None:
    rig = Rig(setups=1000, returns_per_s=1, return_window_ms=2000)
    sessions = [rig.up() for _ in range(100)]
    for session in sessions:
        rig.say(session, "MOVE\r\n")
    went = rig.now
    while any(s.conn < 2 for s in sessions):
        rig.at(5)
        for session in [s for s in sessions if s.state is State.TRYING]:
            rig.answer(session, "UP 2")
    assert 1500 <= rig.now - went <= 2600


def test_a_move_is_a_whole_line_in_however_many_reads() -> None:
    rig = Rig()
    session = rig.up()
    rig.say(session, "MO")
    assert session.state is State.UP
    rig.say(session, "VE\r")
    assert len(rig.dials) == 1
    rig.say(session, "\nsheet 9\r\n")  # nothing after it counts
    rig.at(15)
    assert len(rig.dials) == 2 and not rig.core.has_news(session)


@pytest.mark.parametrize("line", ["MOVED", "MOVE 1", "REMOVE", " MOVE", "move", "MOVE MOVE"])
def test_move_within_another_line_is_that_line(line: str) -> None:
    rig = Rig()
    session = rig.up()
    rig.say(session, line + "\r\n")
    assert session.state is State.UP and rig.take(session) == line


def test_up_and_move_in_one_read_is_a_session_that_comes_back() -> None:
    rig = Rig()
    session = rig.open()
    rig.answer(session, "UP 5\r\nMOVE")
    rig.at(300)
    assert rig.core.figures().counters.moved == 1 and len(rig.dials) == 2


def test_lines_without_an_answer_are_told_once_in_their_place_and_never_sent_again() -> None:
    rig = Rig()
    session = rig.up()
    for line in ("a", "b", "c"):
        rig.send(session, line)
    rig.say(session, "a\r\nLOAD 3.5\r\n")
    rig.end(session, "reset by peer")
    assert session.load == 3.5
    rig.at(15)
    rig.answer(session, "UP 9")
    rig.send(session, "d")
    rig.say(session, "d\r\n")
    assert rig.take(session) == "a"
    with pytest.raises(Interrupted) as error:
        rig.take(session)
    assert error.value.unanswered == ("b", "c") and "reset" in error.value.why and not error.value.over
    assert rig.take(session) == "d" and not rig.core.has_news(session)
    written = b"".join(rig.lines[session.number])
    assert written.count(b"\nb\r\n") == 1 and session.receipt == "9"


def test_a_session_that_shall_not_come_back_says_so_and_ends() -> None:
    rig = Rig()
    session = rig.up(returns=False)
    rig.say(session, "MOVE\r\n")
    with pytest.raises(Interrupted) as error:
        rig.take(session)
    assert error.value.over and error.value.why == "moved" and error.value.unanswered == ()
    assert rig.take(session) is None and session.state is State.OVER


def test_bye_is_the_end_in_order_and_owes_what_it_did_not_answer() -> None:
    rig = Rig()
    session, owing = rig.up(), rig.up()
    rig.send(owing, "a")
    for each in (session, owing):
        rig.say(each, "BYE inflight=3\r\n")
        rig.end(each)
    assert rig.take(session) is None
    with pytest.raises(Interrupted) as error:
        rig.take(owing)
    assert error.value.unanswered == ("a",) and error.value.over


def test_an_end_without_a_word_is_a_break_also_after_a_line_like_bye() -> None:
    rig = Rig()
    session = rig.up()
    rig.say(session, "BYE\r\ngoodbye\r\n")
    rig.end(session)
    assert session.state is not State.OVER and rig.core.figures().counters.broken == 1


def test_a_line_that_nobody_answers_breaks_the_session_and_an_idle_one_stands() -> None:
    rig = Rig(silence_ms=7000)
    session, idle = rig.up(), rig.up()
    rig.send(session, "a")
    rig.at(6000)
    rig.say(session, "a\r\n")
    rig.send(session, "b")
    rig.at(6999)
    assert session.state is State.UP
    rig.at(15)
    assert session.state is not State.UP and idle.state is State.UP
    rig.at(100_000)
    assert idle.state is State.UP


def test_a_return_that_fails_goes_on_on_the_budget_and_ends_with_its_time() -> None:
    rig = Rig(return_for_ms=30_000, retry_reserve=5)
    session = rig.up()
    rig.end(session)
    went = rig.now
    while session.state is not State.OVER:
        if session.state is State.TRYING:
            rig.answer(session, "ERR")
        rig.at(10)
    assert isinstance(session.error, Failed) and 30_000 <= rig.now - went <= 31_500
    assert rig.core.figures().counters.lost == 1
    assert len(rig.dials) <= 2 + 5 * 4  # the reserve, for each ten seconds and a bit


def test_returns_wait_while_their_class_is_held_or_no_balancer_is_in() -> None:
    rig = Rig(setups=100)
    sessions = [rig.up() for _ in range(50)]
    for session in sessions:
        rig.say(session, "MOVE\r\n")
    rig.at(10)
    first = next(s for s in sessions if s.state is State.TRYING)
    rig.answer(first, "BUSY 5000")
    tried = len(rig.dials)
    for session in [s for s in sessions if s.state is State.TRYING]:
        rig.answer(session, "BUSY 5000")
    rig.at(4900)
    assert len(rig.dials) <= tried + 1
    for _ in range(300):
        rig.at(10)
        for session in [s for s in sessions if s.state is State.TRYING]:
            rig.answer(session, "UP 1")
    assert all(s.state is State.UP for s in sessions)
    assert len(rig.dials) < 50 + 50 * 1.1 + 10


@pytest.mark.parametrize("data", [b"x" * 5000, b"UP " + b"y" * 5000 + b"\r\n", b"\xff\xfe\r\n", b"a\0b\r\n"])
@pytest.mark.parametrize("standing", [False, True])
def test_rubbish_ends_the_session_with_a_clear_error(data: bytes, standing: bool) -> None:
    rig = Rig(ONE, TWO)
    session = rig.up() if standing else rig.open()
    if standing:
        rig.send(session, "a")
    else:
        rig.accept(session)
    rig.core.received(session, session.conn, data, rig.now)
    rig.step()
    assert session.state is State.OVER and isinstance(session.error, Failed) and not rig.live
    assert "sent a line" in str(session.error)
    if standing:
        with pytest.raises(Interrupted):
            rig.take(session)
    with pytest.raises(Failed):
        rig.take(session)


def test_sixty_megabytes_are_cut_off_after_one_line() -> None:
    rig = Rig()
    session = rig.up()
    for _ in range(60 * 64):  # 60 MB as a driver hands them over, 16 KiB at a time
        rig.core.received(session, session.conn, b"z" * 16_384, rig.now)
        rig.step()
        assert len(session.buffer._rest) <= LONGEST and not session.inbox
    assert session.state is State.OVER and len(rig.hung) == 1


def test_a_caller_that_does_not_receive_stops_the_reading_and_one_that_floods_waits() -> None:
    rig = Rig(lines_in=4, lines_out=3)
    session = rig.up()
    for n in range(3):
        assert rig.core.wants_data(session)
        rig.send(session, str(n))
    assert not rig.core.may_send(session)
    rig.say(session, "0\r\n1\r\n2\r\n3\r\n")
    assert rig.core.may_send(session) and not rig.core.wants_data(session)
    rig.take(session)
    assert rig.core.wants_data(session)


def test_sessions_and_set_ups_are_bounded() -> None:
    rig = Rig(sessions=5, setups=2)
    sessions = [rig.open() for _ in range(5)]
    assert len(rig.live) == 2
    assert isinstance(rig.refused(), TooMany)
    rig.core.close(sessions[0], rig.now)
    rig.step()
    assert len(rig.live) == 2 and rig.open()


def test_closing_at_any_moment_leaves_nothing_behind() -> None:
    rig = Rig(ONE, TWO, setups=3)
    sessions = [rig.open() for _ in range(6)]
    rig.answer(sessions[0], "UP 1")
    rig.say(sessions[0], "MOVE\r\n")
    rig.answer(sessions[1], "UP 1")
    rig.answer(sessions[2], "ERR")
    for session in sessions:
        rig.core.close(session, rig.now)
        rig.core.close(session, rig.now)
        rig.step()
    figures = rig.core.figures()
    assert not rig.live and figures.sessions == 0 and rig.core._out == 0
    assert all(t.busy == 0 for t in rig.core._targets.all)
    rig.at(100_000)
    assert figures.counters.requests == figures.counters.up + figures.counters.abandoned


def test_a_clock_that_steps_back_or_far_ahead_harms_nothing() -> None:
    rig = Rig()
    session = rig.open()
    rig.accept(session)
    rig.core.received(session, session.conn, b"U", rig.now - 1e6)
    rig.core.poll(rig.now - 1e6)
    assert session.state is State.TRYING
    rig.now += 3.6e6  # an hour asleep
    rig.step()
    assert isinstance(session.error, TimedOut) and rig.up().state is State.UP


def test_news_of_an_older_connection_is_passed_over() -> None:
    rig = Rig(ONE, TWO)
    session = rig.open()
    rig.answer(session, "ERR")
    rig.at(60)
    rig.accept(session)
    rig.say(session, "UP 1\r\n", conn=1)
    rig.core.ended(session, 1, rig.now, "late")
    rig.core.not_connected(session, 1, rig.now, "late")
    rig.step()
    assert session.state is State.TRYING
    rig.say(session, "UP 2\r\n")
    assert session.receipt == "2"


def test_figures_tell_counts_and_times() -> None:
    rig = Rig()
    for ms in (10, 20, 400):
        session = rig.open()
        rig.at(ms)
        rig.answer(session, "UP 1")
    rig.send(session, "a")
    rig.at(50)
    rig.say(session, "a\r\n")
    figures = rig.core.figures()
    setup, delay = figures.setup["tile-view"], figures.delay["tile-view"]
    assert setup.count == 3 and 19 <= setup.p50 <= 21 and 395 <= setup.most <= 405 and 49 <= delay.p99 <= 51
    assert figures.standing == figures.sessions == 3 and figures.counters.lines_received == 1


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
        (lambda: address("nowhere"), "host:port"),
        (lambda: address("h:0"), "host:port"),
        (lambda: ClientCore([], [VIEW], Limits()), "at least one balancer"),
        (lambda: ClientCore([ONE], [], Limits()), "at least one class"),
        (lambda: ClientCore([ONE], [VIEW, VIEW], Limits()), "each once"),
        (lambda: Rig().open("none"), "no class 'none'"),
        (lambda: Rig().open(tenant="a,b"), "tenant"),
        (lambda: Rig().open(key=1 << 64), "64 bits"),
        (lambda: Rig().open(load=float("nan")), "load"),
        (lambda: encoded("a\nb"), "line end"),
        (lambda: encoded("a" * 4095), "bytes"),
    ],
)
def test_what_makes_no_sense_is_told_by_name(make: object, text: str) -> None:
    with pytest.raises(ValueError, match=text):
        make()  # type: ignore[operator]


def test_addresses_take_names_and_both_kinds_of_number() -> None:
    assert address("[::1]:9000") == ("::1", 9000) and address("a.example:1") == ("a.example", 1)
    assert EDIT.worth > VIEW.worth
