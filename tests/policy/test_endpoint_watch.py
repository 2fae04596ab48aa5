"""When discovery is called for the endpoint list."""

from __future__ import annotations

from tests.helpers import BalancerDriver
from walkloom.messages import Endpoint, EndpointListUpdate, StartTimer, UpdateKind, WatchEndpointList

A = Endpoint("a")


def test_the_list_is_watched_again_after_a_failure() -> None:
    driver = BalancerDriver(polls_endpoint_list=True, max_poll_interval_ms=10_000.0)
    assert WatchEndpointList() in driver.update_list(A, kind=UpdateKind.CACHED)
    for _ in range(5):
        driver.actions.clear()
        driver.handle_event(EndpointListUpdate(UpdateKind.FAILED))
        driver.run_timers(10_000.0)
        assert driver.actions_of(WatchEndpointList) == [WatchEndpointList()]


def test_many_balancers_spread_their_calls_for_the_list() -> None:
    """Forty that called at once and again after 0.2 s kept the queue of discovery too long for each."""
    few = BalancerDriver(polls_endpoint_list=True, max_poll_interval_ms=10_000.0, balancer_count=3)
    assert WatchEndpointList() in few.update_list(A, kind=UpdateKind.CACHED)
    first_delays, retry_delays = [], []
    for seed in range(40):
        driver = BalancerDriver(
            seed=seed, polls_endpoint_list=True, max_poll_interval_ms=10_000.0, balancer_count=40
        )
        (first,) = [a for a in driver.update_list(A, kind=UpdateKind.CACHED) if isinstance(a, StartTimer)]
        assert not driver.actions_of(WatchEndpointList)
        (retry,) = [
            a for a in driver.handle_event(EndpointListUpdate(UpdateKind.FAILED)) if isinstance(a, StartTimer)
        ]
        first_delays.append(first.fires_at - driver.now)
        retry_delays.append(retry.fires_at - driver.now)
    assert min(first_delays) < 1000.0 and 7000.0 < max(first_delays) <= 8000.0
    assert max(sum(x <= t < x + 2000.0 for t in first_delays) for x in first_delays) <= 18
    # full jitter over the time that discovery needs for all: no two seconds hold more calls than at first
    assert max(retry_delays) <= 8000.0
    assert max(sum(x <= t < x + 2000.0 for t in retry_delays) for x in retry_delays) <= 18
    # a balancer that has not polled for ask-within counts as notified: each of many polls before that
    driver = BalancerDriver(polls_endpoint_list=True, max_poll_interval_ms=10_000.0, balancer_count=4000)
    driver.update_list(A, kind=UpdateKind.CACHED)
    driver.run_timers(10_000.0)
    assert driver.actions_of(WatchEndpointList)
