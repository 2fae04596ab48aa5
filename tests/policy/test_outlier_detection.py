"""Trials of ejected endpoints by requests that are not idempotent."""

from __future__ import annotations

import pytest

from tests.helpers import BalancerDriver
from walkloom.messages import (
    AttemptStatus,
    DeduplicationScope,
    Endpoint,
    Fail,
    Idempotency,
    Request,
    RequestClass,
)
from walkloom.policy.outlier_detection import (
    SUCCESSFUL_TRIALS_TO_REJOIN,
    TRIAL_BACKOFF_MS,
    TRIAL_INTERVAL_MS,
    UNCLAIMED_TRIAL_MS,
)

A, B = Endpoint("a", 0, 0), Endpoint("b", 0, 0)
AT_MOST_ONCE = RequestClass(latency_objective_ms=300.0, idempotency=Idempotency.NOT_IDEMPOTENT)
DEDUPLICATED = RequestClass(
    latency_objective_ms=300.0,
    idempotency=Idempotency.WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ms=900.0,
)
IDEMPOTENT = RequestClass(latency_objective_ms=300.0)
NOT_IDEMPOTENT_CLASSES = (AT_MOST_ONCE, DEDUPLICATED)


def eject(driver: BalancerDriver, *endpoints: Endpoint) -> None:
    """Have attempts fail to connect until all these endpoints are ejected; others succeed."""
    names = {endpoint.id for endpoint in endpoints}
    while not all(driver.balancer.state.endpoints.by_id[name].is_ejected for name in names):
        request_id = driver.wait(20).request()
        if driver.endpoint_of(request_id) in names:
            driver.end_attempt(request_id, AttemptStatus.CONNECT_FAILED, is_closed=True)
        else:
            driver.establish(request_id)


@pytest.mark.parametrize("request_class", NOT_IDEMPOTENT_CLASSES)
def test_ejected_endpoints_rejoin_where_no_class_is_idempotent(request_class: RequestClass) -> None:
    """Guards against a balancer that rejects every client for good once all endpoints were ejected."""
    driver = BalancerDriver(request_classes=(request_class,))
    driver.update_list(A, B)
    eject(driver, A, B)
    assert driver.endpoint_of(driver.request()) is None
    driver.wait(TRIAL_BACKOFF_MS)
    # the first endpoint rejoins by trials in a row; from then on those of the other have to be unclaimed
    time_to_rejoin_ms = UNCLAIMED_TRIAL_MS + 2 * SUCCESSFUL_TRIALS_TO_REJOIN * TRIAL_INTERVAL_MS
    for _ in range(int(time_to_rejoin_ms / TRIAL_INTERVAL_MS)):
        driver.establish(driver.wait(TRIAL_INTERVAL_MS).request())
    assert not any(endpoint.is_ejected for endpoint in driver.balancer.state.endpoints.by_id.values())


@pytest.mark.parametrize("request_class", NOT_IDEMPOTENT_CLASSES)
def test_a_trial_that_no_idempotent_request_takes_is_given_to_another(request_class: RequestClass) -> None:
    """Guards against an ejection without an end while other endpoints are usable."""
    driver = BalancerDriver(request_classes=(request_class,))
    driver.update_list(A, B)
    eject(driver, A)
    assert driver.endpoint_of(driver.wait(TRIAL_BACKOFF_MS).request()) == "b"
    driver.wait(UNCLAIMED_TRIAL_MS)
    for _ in range(SUCCESSFUL_TRIALS_TO_REJOIN):
        request_id = driver.wait(TRIAL_INTERVAL_MS).request()
        assert driver.endpoint_of(request_id) == "a"
        driver.establish(request_id)
    assert not driver.balancer.state.endpoints.by_id["a"].is_ejected


def test_a_due_trial_is_reserved_for_idempotent_requests() -> None:
    driver = BalancerDriver(request_classes=(IDEMPOTENT, AT_MOST_ONCE))
    driver.update_list(A, B)
    eject(driver, A)
    driver.wait(TRIAL_BACKOFF_MS)
    assert driver.endpoint_of(driver.request(request_class=1)) == "b"
    assert driver.endpoint_of(driver.request(request_class=0)) == "a"


def test_a_request_that_may_have_run_is_no_trial_outside_its_zone() -> None:
    """Rule 2: only endpoints of the same zone may run it again."""
    remote = A._replace(zone=1, cell=1)
    driver = BalancerDriver(request_classes=(DEDUPLICATED,))
    driver.update_list(remote, B)
    eject(driver, remote, B)
    driver.wait(TRIAL_BACKOFF_MS)
    first = driver.now
    for client_send in range(2):
        driver.request_count += 1
        request = Request(driver.request_count, 0, first + 3000.0, idempotency_key="k")
        actions = driver.handle_event(request)
        if client_send == 0:
            assert driver.endpoint_of(driver.request_count) is not None
            driver.end_attempt(driver.request_count, AttemptStatus.TIMED_OUT, is_closed=True)
        else:
            assert driver.endpoint_of(driver.request_count) is None
            assert any(isinstance(action, Fail) for action in actions)


def test_a_failing_server_is_ejected_gets_rare_trials_and_rejoins() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B)
    failed_attempts = 0
    for _ in range(40):
        rid = driver.wait(20).request()
        if driver.endpoint_of(rid) == "a":
            failed_attempts += 1
            driver.end_attempt(rid, AttemptStatus.ERROR)
        driver.establish(rid)
    assert failed_attempts == 2
    before = driver.request_count
    for _ in range(40):  # the server has recovered: trials, then its share of the requests
        driver.establish(driver.wait(200).request())
    placed = [driver.attempts[i][0].endpoint_id for i in range(before + 1, driver.request_count + 1)]
    assert placed.count("a") >= 5


def test_at_capacity_and_cancelled_attempts_are_not_failures() -> None:
    driver = BalancerDriver()
    driver.update_list(A)
    for _ in range(10):
        driver.end_attempt(driver.wait(1100).request(), AttemptStatus.AT_CAPACITY, is_closed=True)
        driver.end_attempt(driver.wait(1100).request(), AttemptStatus.CANCELLED, is_closed=True)
    assert driver.endpoint_of(driver.request()) == "a"
