"""Admission: the effect of a rejection on the other requests of its class."""

from __future__ import annotations

from tests.client.core_harness import CoreHarness
from walkloom.client.errors import Rejected
from walkloom.client.session import SessionState


def test_a_rejection_closes_only_its_class_until_retry_after() -> None:
    harness = CoreHarness()
    first = harness.open()
    harness.answer(first, "BUSY 700")
    retry_at = harness.now + 700
    assert first.state is SessionState.QUEUED  # enough time is left for a retry after that
    second = harness.open()
    other = harness.open_established("label-edit")
    assert other.state is SessionState.ESTABLISHED and len(harness.connects) == 2
    harness.advance(2000)
    times = [
        at for at, connect in harness.connects if connect.session.attributes.request_class == "tile-view"
    ][1:]
    assert times and retry_at <= times[0] <= retry_at + 70 and second.state is SessionState.CLOSED


def test_a_reopened_gate_admits_one_attempt_and_doubles_with_each_success() -> None:
    harness = CoreHarness(setups=100)
    harness.answer(harness.open(), "BUSY 100")
    waiting = [harness.open() for _ in range(20)]
    harness.advance(120)
    counts = []
    while connecting := [s for s in waiting if s.state is SessionState.CONNECTING]:
        counts.append(len(connecting))
        for session in connecting:
            harness.answer(session, "UP 1")
        waiting = [s for s in waiting if s.state is not SessionState.ESTABLISHED]
        assert harness.now < 3000
    assert counts[0] == 1 and counts[1] == 2 and max(counts) >= 4


def test_requests_that_a_closed_gate_makes_late_are_rejected_at_once() -> None:
    harness = CoreHarness(setups=1)
    first, waiting = harness.open(), harness.open()
    harness.answer(first, "BUSY 1500")
    for session in (first, waiting):
        assert isinstance(session.error, Rejected) and 1500 <= session.error.retry_after <= 1650
    error = harness.open_rejected()
    assert isinstance(error, Rejected) and error.retry_after >= 1500 and len(harness.connects) == 1
    harness.advance(1650)
    assert harness.open_established().state is SessionState.ESTABLISHED


def test_rejections_without_retry_after_back_off_exponentially() -> None:
    harness = CoreHarness()
    while harness.now < 30_000:
        try:
            session = harness.open()
        except Rejected as error:
            harness.advance(error.retry_after)
            continue
        while session.state is not SessionState.CLOSED:
            if session.state is SessionState.CONNECTING:
                harness.answer(session, "BUSY")
            harness.advance(1)
    times = [at for at, _ in harness.connects]
    assert 100 <= times[1] - times[0] <= 210 and times[-1] - times[-2] >= 2500 and len(times) < 16


def test_a_retry_after_of_days_is_capped() -> None:
    harness = CoreHarness()
    harness.answer(harness.open(), "BUSY 999999999")
    assert harness.core.next_wake_at() >= 0
    error = harness.open_rejected()
    assert isinstance(error, Rejected) and error.retry_after <= 660_000
