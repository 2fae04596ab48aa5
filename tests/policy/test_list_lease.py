"""How old the endpoint list may be, and the pauses between calls for it."""

from __future__ import annotations

from math import inf
from random import Random

import pytest

from tests.helpers import BalancerDriver
from walkloom.messages import (
    AnswerReason,
    DiscoveryChanged,
    Endpoint,
    EndpointListUpdate,
    Lifecycle,
    ListFailure,
    Reject,
    StartAttempt,
    StartTimer,
    UpdateKind,
    WatchEndpointList,
)
from walkloom.policy.list_lease import MIN_OUTAGE_MS

A = Endpoint("a")
MAX_LIST_AGE_MS = 6000.0
DRAIN_GRACE_MS = 500.0
RELOAD_NOTIFICATION_DELAY_MS = 4000.0
# The platform's values for a site whose list is polled.
POLLED = {
    "polls_endpoint_list": True,
    "max_poll_interval_ms": 10_000.0,
    "max_list_age_ms": MAX_LIST_AGE_MS,
    "reload_notification_delay_ms": RELOAD_NOTIFICATION_DELAY_MS,
    "drain_grace_ms": DRAIN_GRACE_MS,
}


def confirm(driver: BalancerDriver) -> None:
    driver.handle_event(EndpointListUpdate(UpdateKind.INCREMENTAL, confirmed_at=driver.now))


def confirmed(driver: BalancerDriver) -> BalancerDriver:
    confirm(driver)
    return driver


def fail(
    driver: BalancerDriver, failure: ListFailure = ListFailure.UNANSWERED, call_ms: float = 0.0
) -> float:
    """Fail a call; return the pause before the next one, ms."""
    actions = driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, failure=failure, call_ms=call_ms))
    (timer,) = [action for action in actions if isinstance(action, StartTimer)]
    return timer.fires_at - driver.now


def start(balancer_count: int = 200, seed: int = 1, **changes: object) -> BalancerDriver:
    driver = BalancerDriver(seed=seed, balancer_count=balancer_count, **{**POLLED, **changes})
    driver.handle_event(EndpointListUpdate(UpdateKind.CACHED, (A,), confirmed_at=driver.now))
    return driver


def refuse_calls_for(driver: BalancerDriver, duration_ms: float) -> None:
    """Discovery refuses each call at once for so long."""
    end = driver.now + duration_ms
    while driver.now < end:
        driver.wait(min(fail(driver, ListFailure.UNREACHABLE), end - driver.now))


def test_nothing_new_is_sent_once_a_drain_may_count_as_notified() -> None:
    driver = start()
    confirm(driver)
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS).request()) == "a"
    late = driver.wait(DRAIN_GRACE_MS).request()
    assert driver.endpoint_of(late) is None
    (rejection,) = driver.actions_of(Reject)
    assert rejection.request_id == late and rejection.reason is AnswerReason.LIST_EXPIRED
    confirm(driver)
    assert driver.endpoint_of(driver.request()) == "a"


def test_an_attempt_that_connected_while_the_lease_ran_out_is_not_sent() -> None:
    driver = start()
    confirm(driver)
    request = driver.wait(MAX_LIST_AGE_MS).request()
    assert driver.balancer.may_send(request, "a", driver.now)
    assert not driver.balancer.may_send(request, "a", driver.now + DRAIN_GRACE_MS)


def test_a_process_that_may_stall_leaves_the_draining_tier_earlier() -> None:
    driver = start(max_stall_ms=150.0)
    confirm(driver)
    draining = EndpointListUpdate(
        UpdateKind.INCREMENTAL, (A._replace(lifecycle=Lifecycle.DRAINING),), confirmed_at=driver.now
    )
    driver.handle_event(draining)
    # The notice may have been read 150 ms late, and a byte may be sent 150 ms after the last check.
    assert driver.endpoint_of(driver.wait(DRAIN_GRACE_MS - 310.0).request()) == "a"
    assert driver.endpoint_of(driver.wait(20.0).request()) is None


@pytest.mark.parametrize("max_poll_interval_ms", [10_000.0, 250.0])
def test_the_list_stays_usable_while_discovery_is_observed_to_be_down(max_poll_interval_ms: float) -> None:
    driver = start(max_poll_interval_ms=max_poll_interval_ms)
    confirm(driver)
    for _ in range(60):
        pause = fail(driver.wait(300.0), ListFailure.UNREACHABLE)
        assert pause <= 400.0
        driver.wait(pause)
        assert driver.endpoint_of(driver.request()) == "a"


@pytest.mark.parametrize("refusals_ms", [0.0, 600.0, MIN_OUTAGE_MS - 100.0])
def test_a_few_refused_calls_before_a_silence_do_not_extend_the_lease(refusals_ms: float) -> None:
    """Guards against a drain that is missed since a watch fell silent right before calls were refused."""
    driver = start()
    confirm(driver)
    confirmed_at = driver.now
    refuse_calls_for(driver.wait(400.0), refusals_ms)
    fail(driver, ListFailure.UNANSWERED)
    expires_at = confirmed_at + MAX_LIST_AGE_MS + DRAIN_GRACE_MS
    assert driver.endpoint_of(driver.wait(expires_at - 1.0 - driver.now).request()) == "a"
    assert driver.endpoint_of(driver.wait(1.0).request()) is None


def test_the_lease_expires_after_a_gap_in_the_observation_of_discovery() -> None:
    driver = start()
    confirm(driver)
    fail(driver.wait(3000.0), ListFailure.UNREACHABLE)
    fail(driver.wait(1000.0), ListFailure.UNREACHABLE)
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS + DRAIN_GRACE_MS - 4000.0).request()) is None


@pytest.mark.parametrize("balancer_count", [1, 12, 60, 230])
@pytest.mark.parametrize("failures", [1, 2, 3])
def test_the_next_call_after_failures_comes_within_the_lease(balancer_count: int, failures: int) -> None:
    for seed in range(50):
        driver = start(balancer_count, seed)
        confirm(driver)
        driver.wait(1500.0)
        for _ in range(failures):
            driver.wait(fail(driver))
        assert driver.endpoint_of(driver.request()) == "a"


def test_balancers_that_lose_their_watch_together_spread_by_the_duration_of_a_call() -> None:
    pauses = []
    for seed in range(200):
        driver = start(200, seed)
        driver.handle_event(EndpointListUpdate(UpdateKind.INCREMENTAL, confirmed_at=driver.now, call_ms=10.0))
        pauses.append(fail(driver))
    # 200 calls of 10 ms are 2 s of work.
    assert max(pauses) <= 2500.0
    assert max(sum(x <= pause < x + 500.0 for pause in pauses) for x in pauses) <= 60


def test_calls_that_an_overloaded_discovery_dropped_are_repeated_with_backoff() -> None:
    for seed in range(50):
        driver = start(200, seed)
        confirm(driver)
        driver.wait(MAX_LIST_AGE_MS + DRAIN_GRACE_MS)
        pauses = [fail(driver, ListFailure.OVERLOADED, call_ms=2000.0) for _ in range(9)]
        assert min(pauses[:4]) >= 1000.0 and max(pauses[:4]) <= 3000.0
        assert 2000.0 <= pauses[4] <= 6000.0
        assert 15_000.0 <= pauses[8] <= 45_000.0


def test_an_overloaded_discovery_gets_fewer_calls_than_it_was_observed_to_answer() -> None:
    """200 calls of 50 ms are 10 s of work: no policy can serve all of them within the lease."""
    pauses = []
    for seed in range(200):
        driver = start(200, seed)
        driver.handle_event(EndpointListUpdate(UpdateKind.INCREMENTAL, confirmed_at=driver.now, call_ms=50.0))
        pauses.append(fail(driver))
    assert max(sum(x <= pause < x + 1000.0 for pause in pauses) for x in pauses) <= 30
    assert max(pauses) > 10_000.0


@pytest.mark.parametrize("max_poll_interval_ms", [0.0, 10_000.0])
def test_the_agent_of_a_pushed_list_is_called_again_within_a_part_of_the_grace(
    max_poll_interval_ms: float,
) -> None:
    for seed in range(20):
        driver = BalancerDriver(
            seed=seed,
            balancer_count=200,
            max_poll_interval_ms=max_poll_interval_ms,
            drain_grace_ms=DRAIN_GRACE_MS,
        )
        driver.update_list(A, kind=UpdateKind.CACHED)
        for _ in range(8):
            assert fail(driver) <= DRAIN_GRACE_MS / 4


@pytest.mark.parametrize("seed", range(30))
def test_no_sequence_of_faults_lets_a_list_be_used_past_its_lease(seed: int) -> None:
    """Compared with a model: the newest confirmation, extended by refusals that leave no gap.

    A reload ends what came before it, at the latest 4 s after it; only a confirmation begins anew.
    """
    random = Random(seed)
    driver = start(random.choice([1, 3, 40, 200]), seed, drain_grace_ms=random.choice([250.0, 500.0]))
    grace_ms = driver.settings.drain_grace_ms
    observed_until = driver.now
    max_gap_ms = 800.0
    reload_limit = inf
    for _ in range(300):
        driver.wait(random.choice([20.0, 200.0, 900.0, 2500.0]))
        event = random.choice(["confirm", "refuse", "refuse", "fail", "fail", "reload", "request", "request"])
        if event == "confirm":
            confirm(driver)
            observed_until = driver.now
            max_gap_ms = 800.0
            reload_limit = inf
        elif event == "reload":
            driver.handle_event(DiscoveryChanged())
            reload_limit = min(reload_limit, driver.now + RELOAD_NOTIFICATION_DELAY_MS + grace_ms)
        elif event == "refuse":
            if driver.now - observed_until <= max_gap_ms:
                observed_until = driver.now
                max_gap_ms = 1200.0
            fail(driver, ListFailure.UNREACHABLE)
        elif event == "fail":
            fail(driver, call_ms=random.choice([0.0, 2000.0]))
        else:
            before = len(driver.actions_of(StartAttempt))
            driver.request()
            if len(driver.actions_of(StartAttempt)) > before:
                assert driver.now <= min(observed_until + MAX_LIST_AGE_MS + grace_ms, reload_limit)


def test_a_balancer_calls_within_its_lease_after_its_start() -> None:
    for seed in range(100):
        driver = start(230, seed)
        driver.run_timers(MAX_LIST_AGE_MS / 2 + DRAIN_GRACE_MS)
        assert driver.actions_of(WatchEndpointList)


def test_a_reset_of_a_watch_that_may_have_been_silent_does_not_extend_the_lease() -> None:
    """Guards against work for draining servers after a silent watch that an outage of discovery ended."""
    driver = start(balancer_count=3)
    confirm(driver)
    driver.wait(1500.0)
    driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, ended_watch=True))
    refuse_calls_for(driver, MAX_LIST_AGE_MS + DRAIN_GRACE_MS - 1500.0)
    assert driver.endpoint_of(driver.request()) is None


def test_a_watch_that_was_answered_shortly_before_an_outage_keeps_the_list_usable() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    driver.wait(500.0)
    driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, ended_watch=True))
    refuse_calls_for(driver, 10 * MAX_LIST_AGE_MS)
    assert driver.endpoint_of(driver.request()) == "a"


def test_the_end_of_a_watch_alone_does_not_extend_the_lease() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    driver.wait(500.0)
    driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, ended_watch=True))
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS + DRAIN_GRACE_MS - 500.0).request()) is None


def test_a_list_that_discovery_never_confirmed_is_not_extended_by_refusals() -> None:
    """Guards against work for servers that began to drain before this process started in an outage."""
    driver = start(balancer_count=3)
    refuse_calls_for(driver, MAX_LIST_AGE_MS + DRAIN_GRACE_MS)
    assert driver.endpoint_of(driver.request()) is None


def test_a_list_of_a_former_discovery_is_not_used_past_the_limit_after_a_reload() -> None:
    """Guards against work for draining servers as the first call to a new discovery fails late."""
    driver = start(balancer_count=3)
    confirm(driver)
    driver.handle_event(DiscoveryChanged())
    assert driver.actions_of(WatchEndpointList)
    assert driver.endpoint_of(driver.wait(RELOAD_NOTIFICATION_DELAY_MS).request()) == "a"
    assert driver.endpoint_of(driver.wait(DRAIN_GRACE_MS).request()) is None


def test_a_second_reload_gives_a_list_of_a_former_discovery_no_more_time() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    driver.handle_event(DiscoveryChanged())
    driver.wait(3000.0).handle_event(DiscoveryChanged())
    driver.wait(RELOAD_NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS - 3000.0)
    assert driver.endpoint_of(driver.request()) is None


def test_a_reload_gives_an_old_list_no_more_time() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    driver.wait(5000.0).handle_event(DiscoveryChanged())
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS + DRAIN_GRACE_MS - 5000.0).request()) is None


def test_a_reload_in_an_outage_limits_the_list_although_the_new_discovery_refuses_calls() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    refuse_calls_for(driver, 2 * MAX_LIST_AGE_MS)
    driver.handle_event(DiscoveryChanged())
    refuse_calls_for(driver, RELOAD_NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS)
    assert driver.endpoint_of(driver.request()) is None


def test_an_answer_of_the_new_discovery_makes_its_list_usable_again() -> None:
    driver = start(balancer_count=3)
    confirm(driver)
    driver.handle_event(DiscoveryChanged())
    confirm(driver.wait(RELOAD_NOTIFICATION_DELAY_MS + DRAIN_GRACE_MS))
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS).request()) == "a"
    refuse_calls_for(confirmed(driver), 2 * MAX_LIST_AGE_MS)
    assert driver.endpoint_of(driver.request()) == "a"


def test_a_call_that_fails_late_after_a_reload_is_repeated_within_the_lease() -> None:
    for seed in range(50):
        driver = start(balancer_count=3, seed=seed)
        driver.handle_event(
            EndpointListUpdate(UpdateKind.SNAPSHOT, (A,), confirmed_at=driver.now, call_ms=2.0)
        )
        driver.handle_event(DiscoveryChanged())
        driver.wait(3000.0)
        driver.wait(fail(driver, ListFailure.OVERLOADED, call_ms=3000.0))
        assert driver.endpoint_of(driver.request()) == "a"


def test_a_drain_that_counted_before_its_late_list_came_gets_no_new_grace() -> None:
    """Guards against work for draining servers when a late list tells that all servers drain."""
    draining = A._replace(lifecycle=Lifecycle.DRAINING)
    for list_age_ms, endpoint in ((3000.0, "a"), (MAX_LIST_AGE_MS + 2 * DRAIN_GRACE_MS, None)):
        driver = start(balancer_count=3)
        confirm(driver)
        driver.wait(list_age_ms)
        driver.handle_event(EndpointListUpdate(UpdateKind.INCREMENTAL, (draining,), confirmed_at=driver.now))
        assert driver.endpoint_of(driver.request()) == endpoint


def test_an_outage_may_be_observed_less_often_once_it_has_been_seen() -> None:
    """Guards against rejections in an outage while a busy machine delays the calls."""
    driver = start(balancer_count=3)
    confirm(driver)
    driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, ended_watch=True))
    for _ in range(10):
        fail(driver.wait(1100.0), ListFailure.UNREACHABLE)
    assert driver.endpoint_of(driver.request()) == "a"
    fail(driver.wait(1300.0), ListFailure.UNREACHABLE)
    assert driver.endpoint_of(driver.wait(MAX_LIST_AGE_MS + DRAIN_GRACE_MS - 1300.0).request()) is None
