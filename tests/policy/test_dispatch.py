"""The life cycle of a request: attempts, retries, waiting, and its one final answer."""

from __future__ import annotations

import pytest

from tests.helpers import BalancerDriver
from walkloom.messages import (
    AnswerReason,
    AttemptStatus,
    ClientDisconnected,
    DeduplicationScope,
    Endpoint,
    Fail,
    Idempotency,
    Reject,
    RequestClass,
)

A, B = Endpoint("a"), Endpoint("b")


def test_request_is_not_held_past_its_deadline() -> None:
    """An attempt failed shortly before the deadline and no server had capacity: no further round."""
    driver = BalancerDriver()
    driver.update_list(A)
    rid = driver.request(deadline_in_ms=1200.0)
    driver.wait(1160)
    assert driver.end_attempt(rid, AttemptStatus.AT_CAPACITY) == [
        Reject(rid, reason=AnswerReason.AT_CAPACITY)
    ]
    driver.run_timers(1000.0)
    assert len(driver.actions_of(Reject)) == 1 and len(driver.attempts[rid]) == 1


def test_an_attempt_at_a_silent_server_times_out_before_the_deadline() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B)
    rid = driver.request(deadline_in_ms=3000.0)
    first = driver.attempts[rid][0]
    assert 0 < first.timeout_ms < 1500
    driver.wait(first.timeout_ms).end_attempt(rid, AttemptStatus.TIMED_OUT)
    assert driver.endpoint_of(rid) != first.endpoint_id


def test_every_request_ends_once_before_its_deadline_when_held() -> None:
    driver = BalancerDriver(slow_start_ms=60_000.0)
    driver.update_list(A._replace(started_at=driver.now - 10))
    ids = [driver.request(deadline_in_ms=800.0) for _ in range(5)]
    driver.run_timers(800.0)
    sent = {i for i in ids if i in driver.attempts}
    rejected = [a.request_id for a in driver.actions_of(Reject)]
    assert sorted([*sent, *rejected], key=str) == ids and len(rejected) == len(set(rejected)) >= 3


def test_a_client_that_disconnects_while_held_gets_nothing_more() -> None:
    driver = BalancerDriver()
    driver.update_list(A._replace(started_at=driver.now - 10))
    driver.request()
    rid = driver.request()
    assert rid not in driver.attempts
    driver.handle_event(ClientDisconnected(rid))
    driver.run_timers(5000.0)
    assert rid not in driver.attempts and not driver.actions_of(Reject)


def test_a_timeout_at_the_deadline_is_answered_once() -> None:
    driver = BalancerDriver(max_attempts=1)
    driver.update_list(A)
    rid = driver.request(deadline_in_ms=500.0)
    assert driver.wait(500.0).end_attempt(rid, AttemptStatus.TIMED_OUT) == [
        Reject(rid, reason=AnswerReason.ATTEMPTS_USED)
    ]
    assert driver.end_attempt(rid, AttemptStatus.TIMED_OUT) == []


UNSAFE = RequestClass(latency_objective_ms=500.0, idempotency=Idempotency.NOT_IDEMPOTENT)


@pytest.mark.parametrize(
    "status",
    [AttemptStatus.ERROR, AttemptStatus.TIMED_OUT, AttemptStatus.CONNECTION_RESET, AttemptStatus.CANCELLED],
)
def test_a_request_that_is_not_idempotent_and_may_have_run_is_failed(status: AttemptStatus) -> None:
    driver = BalancerDriver(request_classes=(UNSAFE,))
    driver.update_list(A, B)
    rid = driver.request()
    assert driver.end_attempt(rid, status) == [Fail(rid, AnswerReason.NOT_REPEATABLE)]


@pytest.mark.parametrize("status", [AttemptStatus.AT_CAPACITY, AttemptStatus.CONNECT_FAILED])
def test_a_request_that_is_not_idempotent_and_never_ran_is_retried(status: AttemptStatus) -> None:
    driver = BalancerDriver(request_classes=(UNSAFE,))
    driver.update_list(A, B)
    rid = driver.request()
    driver.end_attempt(rid, status)
    assert len(driver.attempts[rid]) == 2


def test_a_request_with_key_is_retried_in_its_cell_and_window() -> None:
    keyed = RequestClass(
        latency_objective_ms=500.0,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=2000.0,
    )
    driver = BalancerDriver(request_classes=(keyed,), max_attempts=6)
    driver.update_list(*(Endpoint(n, cell=i // 2) for i, n in enumerate("abcdefgh")))
    rid = driver.request(deadline_in_ms=9000.0)
    cell = {"ab", "cd", "ef", "gh"}
    own_cell = next(pair for pair in cell if str(driver.endpoint_of(rid)) in pair)
    driver.wait(100).end_attempt(rid, AttemptStatus.ERROR)
    assert str(driver.endpoint_of(rid)) in own_cell
    assert driver.wait(1950).end_attempt(rid, AttemptStatus.ERROR) == [Fail(rid, AnswerReason.NOT_REPEATABLE)]


def test_a_request_with_key_held_past_its_window_is_failed() -> None:
    """Found by the property test: a held request was sent after its deduplication window had ended."""
    keyed = RequestClass(
        latency_objective_ms=500.0,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=900.0,
    )
    driver = BalancerDriver(request_classes=(keyed,), max_attempts=6)
    driver.update_list(A)
    rid = driver.request(deadline_in_ms=9000.0)
    driver.end_attempt(rid, AttemptStatus.ERROR)
    driver.end_attempt(rid, AttemptStatus.AT_CAPACITY)  # held now: the only server is paused for a second
    assert len(driver.attempts[rid]) == 2
    driver.run_timers(2000.0)
    assert len(driver.attempts[rid]) == 2 and driver.actions_of(Fail) == [
        Fail(rid, AnswerReason.NOT_REPEATABLE)
    ]


def test_rejected_clients_retry_spread_out() -> None:
    driver = BalancerDriver(max_retry_after_ms=1500.0)
    driver.update_list()
    for _ in range(100):
        driver.request()
    waits = [x.retry_after_ms for x in driver.actions_of(Reject)]
    assert len(waits) == 100 and 500.0 <= min(waits) < 600.0 and 1400.0 < max(waits) <= 1500.0
