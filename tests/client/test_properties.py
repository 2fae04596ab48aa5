"""Properties that hold for any order of events.

Each request has one result, retries stay within the retry budget, and no attempt starts after a deadline.
"""

from __future__ import annotations

import os
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.client.core_harness import ONE, TWO, CoreHarness
from walkloom.client.errors import ClientError
from walkloom.client.retry_budget import SLOT_COUNT, SLOT_MS, RetryBudget
from walkloom.client.session import Session, SessionState
from walkloom.client.wire import MAX_LINE_BYTES, LineBuffer

WIDE = int(os.environ.get("WALKLOOM_EXAMPLES", "150"))  # examples per test; set to more outside CI
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


def act(harness: CoreHarness, sessions: list[Session], op: str, argument: object) -> None:
    if op == "open":
        try:
            sessions.append(harness.open(str(argument)))
        except ClientError:
            harness.step()
        return None
    if op == "wait":
        return harness.advance(float(argument))  # type: ignore[arg-type]
    number, text = argument if isinstance(argument, tuple) else (argument, "")
    if not sessions:
        return None
    session = sessions[number % len(sessions)]
    if op == "accept":
        harness.accept(session)
    elif op == "dead":
        harness.connect_failed(session)
    elif op in ("end", "break"):
        harness.end_connection(session, "broke" if op == "break" else "")
    elif op == "close":
        harness.core.close(session, harness.now)
        harness.step()
    elif op == "send" and harness.core.may_send(session):
        harness.send(session, "line")
    elif op == "take" and harness.core.has_pending(session):
        with suppress(ClientError):
            harness.core.take_pending(session)
    elif op == "say":
        harness.deliver(session, text)
    return None


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(OPS, max_size=120), st.integers(0, 5))
def test_any_order_of_events_keeps_the_invariants(ops: list[tuple[str, object]], seed: int) -> None:
    harness = CoreHarness(
        ONE, TWO, seed=seed, setups=3, retry_reserve=4, return_first_ms=50, return_for_ms=5000
    )
    sessions: list[Session] = []
    for op, what in ops:
        act(harness, sessions, op, what)
        _check(harness, sessions)
    harness.advance(120_000)  # whatever is under way has ended
    _check(harness, sessions)
    assert not any(
        s.state in (SessionState.QUEUED, SessionState.CONNECTING, SessionState.BACKING_OFF) for s in sessions
    )
    assert harness.core._scheduler.in_flight == 0 and all(
        balancer.in_flight == 0 and balancer.probe_owner is None for balancer in harness.core._pool.balancers
    )
    assert all(
        request_class.gate.in_flight == 0 for request_class in harness.core._scheduler.classes.values()
    )


def _check(harness: CoreHarness, sessions: list[Session]) -> None:
    n = harness.core.figures().counters
    under_way = sum(s.state in (SessionState.QUEUED, SessionState.CONNECTING) for s in sessions)
    assert n.requests == n.established + n.rejected + n.timed_out + n.failed + n.abandoned + under_way
    assert n.retries <= 4 * (harness.now // (SLOT_MS * SLOT_COUNT) + 1) + 0.1 * n.established
    assert harness.core._scheduler.in_flight == sum(s.state is SessionState.CONNECTING for s in sessions) <= 3
    for session in sessions:
        assert session.attempts <= 3 and (session.state is SessionState.CONNECTING) <= (
            session.attempt_deadline <= session.request_deadline
        )
        assert (session.state in (SessionState.CONNECTING, SessionState.ESTABLISHED)) == (
            session.session_id in harness.open_connections
        )


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["take", "good", "back"]), st.floats(0, 4000)), max_size=200))
def test_the_retry_budget_matches_a_plain_list(steps: list[tuple[str, float]]) -> None:
    budget, now = RetryBudget(0.25, 2), 0.0
    took: list[int] = []
    good: list[int] = []
    for step, ms in steps:
        now += ms
        first = int(now // SLOT_MS) - SLOT_COUNT + 1
        spent = sum(slot >= first for slot in took)
        if step == "take":
            allowed = spent + 1 <= 2 + 0.25 * sum(slot >= first for slot in good)
            assert budget.try_reserve(now) == allowed
            if allowed:
                took.append(int(now // SLOT_MS))
        elif step == "good":
            budget.record_success(now)
            good.append(int(now // SLOT_MS))
        else:
            budget.release(now)
            if spent:
                took.remove(max(took))


@settings(max_examples=WIDE, deadline=None, derandomize=True)
@given(st.lists(st.text("ab é", max_size=20), max_size=20), st.randoms(use_true_random=False), st.booleans())
def test_lines_do_not_depend_on_how_their_bytes_are_split(lines: list[str], rng: object, crlf: bool) -> None:
    data = "".join(line + ("\r\n" if crlf else "\n") for line in lines).encode()
    buffer, got = LineBuffer(), []
    while data:
        n = rng.randint(1, len(data))  # type: ignore[attr-defined]
        got += buffer.feed(data[:n])
        assert len(buffer._incomplete) <= MAX_LINE_BYTES
        data = data[n:]
    assert got == lines
