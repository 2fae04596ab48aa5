"""How long a call may take before it counts as stalled."""

from __future__ import annotations

import pytest

from walkloom.discovery.call import Call
from walkloom.discovery.call_timeout import CallTimeout

# Discovery holds a call for this long while nothing changes.
HOLD_S = 0.5
STARTED_AT = 10.0
HELD = Call(STARTED_AT, HOLD_S * 1000.0, continues_watch=True)
OPENING = Call(STARTED_AT, 0.0, continues_watch=False)


def test_a_silent_watch_is_reopened_early_and_a_call_in_the_queue_is_waited_for() -> None:
    timeout = CallTimeout(drain_grace_ms=500.0)
    assert timeout.limit_s(HELD) == pytest.approx(1.0)
    # Discovery's own limit for a call in the queue is 3 s.
    assert timeout.limit_s(OPENING) > 3.0


def test_a_slow_discovery_does_not_cause_a_new_watch_for_each_call() -> None:
    timeout = CallTimeout(drain_grace_ms=500.0)
    timeout.record_stall(HELD)
    for _ in range(3):
        assert timeout.limit_s(HELD) == pytest.approx(2.3)
        timeout.record_answer(OPENING, STARTED_AT + 0.01)
        timeout.record_answer(HELD, STARTED_AT + HOLD_S + 1.5)
    timeout.record_answer(HELD, STARTED_AT + HOLD_S + 0.01)
    assert timeout.limit_s(HELD) == pytest.approx(1.0)


def test_the_agent_of_a_pushed_list_must_answer_within_a_part_of_the_drain_grace() -> None:
    assert CallTimeout(drain_grace_ms=500.0).agent_timeout_s == 0.25
    assert CallTimeout(drain_grace_ms=60_000.0).agent_timeout_s == 1.8
    assert CallTimeout(drain_grace_ms=500.0, is_agent=True).limit_s(OPENING) == 0.25


def test_a_silent_watch_of_a_pushed_list_is_reopened_within_a_part_of_the_drain_grace() -> None:
    timeout = CallTimeout(drain_grace_ms=500.0, is_agent=True)
    held = Call(STARTED_AT, hold_ms=100.0, continues_watch=True)
    timeout.record_stall(held)
    assert timeout.limit_s(held) == pytest.approx(0.225)
