"""Arithmetic of the shared state: slow start, connection loads, load reports and zone shares."""

from __future__ import annotations

from math import exp
from random import Random

import pytest

from tests.helpers import settings
from walkloom.messages import Endpoint, Request
from walkloom.state import BalancerState, EndpointState, LoadEstimator


def state(**changes: object) -> BalancerState:
    made = BalancerState(settings(**changes), Random(1), LoadEstimator(1, 0.1, 100, 10))
    made.now = 100_000.0
    return made


def endpoint(**fields: float) -> EndpointState:
    return EndpointState.from_list(Endpoint("a")._replace(**fields))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("age_ms", "share"), [(0.0, 0.3), (-5.0, 0.3), (5000.0, 0.65), (10_000.0, 1.0), (99_000.0, 1.0)]
)
def test_capacity_rises_linearly_during_slow_start(age_ms: float, share: float) -> None:
    made = state(slow_start_min_capacity=0.3, slow_start_ms=10_000.0)
    started = endpoint(started_at=made.now - age_ms)
    assert made.capacity_share(started) == pytest.approx(share)


def test_an_endpoint_that_started_long_ago_is_warm() -> None:
    assert state().capacity_share(endpoint(started_at=0.0)) == 1.0
    assert state(slow_start_ms=0.0).capacity_share(endpoint(started_at=100_000.0)) == 1.0


def test_assigned_connections_are_counted_and_released() -> None:
    made = state()
    target = endpoint()
    request = made.requests.add(Request("r", 0, 1e9, affinity_group="g"))
    assert request
    made.assign(request, target)
    assert (target.connections, target.load, made.load) == (1, 1.0, 1.0)
    assert target.connections_by_group == {"g": 1}
    made.record_load(request, target, 40.0)
    assert target.load == made.load == request.load == 1.0
    made.release(request, target)
    assert (target.connections, target.load, made.load) == (0, 0.0, 0.0)
    assert target.connections_by_group == {} and request.endpoint is None


def test_a_report_shows_the_load_per_connection_once_there_are_enough_connections() -> None:
    made = state(load_report_load_index=1, load_report_connections_index=0)
    target = endpoint()
    made.record_report(target, (4.0, 0.4), min_connections=4.0, smoothing=0.5)
    assert (target.reported_load, target.connection_cost, made.connection_cost) == (0.4, 0.0, 0.0)
    made.record_report(target, (8.0, 0.4), min_connections=4.0, smoothing=0.5)
    assert target.connection_cost == 0.05
    assert made.connection_cost == 0.025


def test_an_empty_load_report_counts_as_no_load() -> None:
    made = state(load_report_load_index=1, load_report_connections_index=0)
    target = endpoint()
    target.reported_load = 0.9
    made.record_report(target, (), min_connections=4.0, smoothing=0.5)
    assert (target.reported_load, target.reported_at) == (0.0, made.now)


def test_zones_share_the_capacity_of_an_endpoint() -> None:
    assert state(zone_count=1).zone_share(endpoint(), 0.7) == 1.0
    assert state(zone_count=4).zone_share(endpoint(zone=0), 0.7) == 0.7
    assert state(zone_count=4).zone_share(endpoint(zone=2), 0.7) == pytest.approx(0.1)


def test_the_count_of_recent_requests_decays_over_the_overload_window() -> None:
    made = state(cold_overload_window_ms=1000.0)
    made.count_request()
    made.count_request()
    made.count_request()
    assert made.recent_requests == pytest.approx(2.0)  # as of the newest request
    made.now += 1000.0
    made.count_request()
    assert made.recent_requests == pytest.approx(3.0 / exp(1.0))
