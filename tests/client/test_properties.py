"""For any order of events: one result for each request, the retry budget kept, no try after the give-up
time."""

from __future__ import annotations

import os
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.client.core_harness import ONE, TWO, Rig
from walkloom.client.errors import ClientError
from walkloom.client.retry_budget import SLOT_MS, SLOTS, RetryBudget
from walkloom.client.session import Session, State
from walkloom.client.wire import LONGEST, LineBuffer

WIDE = int(os.environ.get("WALKLOOM_EXAMPLES", "150"))  # outside CI: more of them
ANSWERS = [
    "UP 1\r\n",
    "UP",
    "BUSY\r\n",
    "BUSY 300\r\n",
    "BUSY 0\r\n",
    "ERR\r\n",
    "what\r\n",
    "\xff",
    "MOVE\r\n",
    "BYE\r\n",
]
OPS = st.one_of(
    st.tuples(st.just("open"), st.sampled_from(["tile-view", "label-edit"])),
    st.tuples(st.just("wait"), st.floats(0, 1500)),
    st.tuples(
        st.sampled_from(["accept", "dead", "end", "break", "close", "send", "take"]), st.integers(0, 30)
    ),
    st.tuples(st.just("say"), st.tuples(st.integers(0, 30), st.sampled_from(ANSWERS))),
)


def act(rig: Rig, sessions: list[Session], op: str, what: object) -> None:
    if op == "open":
        try:
            sessions.append(rig.open(str(what)))
        except ClientError:
            rig.step()
        return
    if op == "wait":
        return rig.at(float(what))  # type: ignore[arg-type]
    number, text = what if isinstance(what, tuple) else (what, "")
    if not sessions:
        return
    session = sessions[number % len(sessions)]
    if op == "accept":
        rig.accept(session)
    elif op == "dead":
        rig.dead(session)
    elif op in ("end", "break"):
        rig.end(session, "broke" if op == "break" else "")
    elif op == "close":
        rig.core.close(session, rig.now)
        rig.step()
    elif op == "send" and rig.core.may_send(session):
        rig.send(session, "line")
    elif op == "take" and rig.core.has_news(session):
        with suppress(ClientError):
            rig.core.take(session)
    elif op == "say":
        rig.say(session, text)


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(OPS, max_size=120), st.integers(0, 5))
def test_any_order_of_events_keeps_the_rules(ops: list[tuple[str, object]], seed: int) -> None:
    rig = Rig(ONE, TWO, seed=seed, setups=3, retry_reserve=4, return_first_ms=50, return_for_ms=5000)
    sessions: list[Session] = []
    for op, what in ops:
        act(rig, sessions, op, what)
        _check(rig, sessions)
    rig.at(120_000)  # whatever is under way has ended
    _check(rig, sessions)
    assert not any(s.state in (State.WAITING, State.TRYING, State.AWAY) for s in sessions)
    assert rig.core._out == 0 and all(t.busy == 0 and t.trial is None for t in rig.core._targets.all)
    assert all(kind.gate.out == 0 for kind in rig.core._classes.values())


def _check(rig: Rig, sessions: list[Session]) -> None:
    n = rig.core.figures().counters
    under_way = sum(s.state in (State.WAITING, State.TRYING) for s in sessions)
    assert n.requests == n.up + n.refused + n.timed_out + n.failed + n.abandoned + under_way
    assert n.retries <= 4 * (rig.now // (SLOT_MS * SLOTS) + 1) + 0.1 * n.up
    assert rig.core._out == sum(s.state is State.TRYING for s in sessions) <= 3
    for session in sessions:
        assert session.tries <= 3 and (session.state is State.TRYING) <= (session.try_until <= session.until)
        assert (session.state in (State.TRYING, State.UP)) == (session.number in rig.live)


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["take", "good", "back"]), st.floats(0, 4000)), max_size=200))
def test_the_retry_budget_is_what_a_plain_list_says(steps: list[tuple[str, float]]) -> None:
    budget, now = RetryBudget(0.25, 2), 0.0
    took: list[int] = []
    good: list[int] = []
    for step, ms in steps:
        now += ms
        first = int(now // SLOT_MS) - SLOTS + 1
        spent = sum(slot >= first for slot in took)
        if step == "take":
            allowed = spent + 1 <= 2 + 0.25 * sum(slot >= first for slot in good)
            assert budget.take(now) == allowed
            if allowed:
                took.append(int(now // SLOT_MS))
        elif step == "good":
            budget.succeeded(now)
            good.append(int(now // SLOT_MS))
        else:
            budget.give_back(now)
            if spent:
                took.remove(max(took))


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(st.text("ab é", max_size=20), max_size=20), st.randoms(use_true_random=False), st.booleans())
def test_lines_are_the_same_however_they_are_cut(lines: list[str], rng: object, crlf: bool) -> None:
    data = "".join(line + ("\r\n" if crlf else "\n") for line in lines).encode()
    buffer, got = LineBuffer(), []
    while data:
        n = rng.randint(1, len(data))  # type: ignore[attr-defined]
        got += buffer.feed(data[:n])
        assert len(buffer._rest) <= LONGEST
        data = data[n:]
    assert got == lines
