"""The endpoint table follows the list: lifecycles, drain notifications, restarts and removals."""

from __future__ import annotations

from tests.helpers import settings
from walkloom.messages import Endpoint, EndpointListUpdate, Lifecycle, UpdateKind
from walkloom.state import NEVER_HAPPENED, NOT_DRAINING, EndpointTable

NOW = 100_000_000.0


def table(*lines: Endpoint, **changes: object) -> EndpointTable:
    made = EndpointTable(settings(**changes))
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, lines), NOW)
    return made


def incremental(*lines: Endpoint) -> EndpointListUpdate:
    return EndpointListUpdate(UpdateKind.INCREMENTAL, lines)


def test_endpoints_added_after_the_first_list_have_a_ramp() -> None:
    made = table(Endpoint("a"))
    made.apply(incremental(Endpoint("b")), NOW + 5.0)
    assert made.by_id["a"].ramp_started_at == NEVER_HAPPENED
    assert made.by_id["b"].ramp_started_at == NOW + 5.0


def test_a_drain_counts_from_the_first_notification() -> None:
    made = table(Endpoint("a"))
    draining = incremental(Endpoint("a", lifecycle=Lifecycle.DRAINING))
    assert made.apply(draining, NOW + 10.0)
    assert not made.apply(draining, NOW + 20.0)
    assert made.by_id["a"].drain_notified_at == NOW + 10.0
    made.apply(incremental(Endpoint("a")), NOW + 30.0)
    assert made.by_id["a"].drain_notified_at == NOT_DRAINING


def test_an_endpoint_that_is_added_as_draining_has_no_grace_left() -> None:
    made = table(Endpoint("a"), drain_grace_ms=500.0)
    made.apply(incremental(Endpoint("b", lifecycle=Lifecycle.DRAINING)), NOW)
    assert made.by_id["b"].drain_notified_at == NOW - 500.0


def test_an_endpoint_that_drains_in_the_first_list_has_no_grace_left() -> None:
    draining = Endpoint("a", lifecycle=Lifecycle.DRAINING)
    over_sockets = table(draining, Endpoint("b"), drain_grace_ms=500.0, max_list_age_ms=6000.0)
    assert over_sockets.by_id["a"].drain_notified_at == NOW - 500.0
    assert over_sockets.by_id["b"].drain_notified_at == NOT_DRAINING
    # On the simulator's wire the list is read on arrival.
    assert table(draining, drain_grace_ms=500.0).by_id["a"].drain_notified_at == NOW


def test_only_a_snapshot_removes_endpoints_that_it_does_not_name() -> None:
    made = table(Endpoint("a"), Endpoint("b"))
    made.apply(incremental(Endpoint("a")), NOW)
    assert made.by_id["b"].drain_notified_at == NOT_DRAINING
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),)), NOW + 7.0)
    assert made.by_id["b"].drain_notified_at == NOW + 7.0
    assert made.by_id["b"].lifecycle is Lifecycle.REMOVED


def test_removed_endpoints_are_dropped_once_they_have_no_connections() -> None:
    made = table(Endpoint("a"), Endpoint("b"))
    made.by_id["b"].add_connection(1.0, None)
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),)), NOW)
    made.tier()
    assert set(made.by_id) == {"a", "b"}
    made.by_id["b"].remove_connection(1.0, None)
    made.invalidate()
    made.tier()
    assert set(made.by_id) == {"a"}


def test_an_unknown_endpoint_that_is_removed_is_not_added() -> None:
    made = table(Endpoint("a"))
    made.apply(incremental(Endpoint("b", lifecycle=Lifecycle.REMOVED)), NOW)
    assert set(made.by_id) == {"a"}


def test_a_restart_resets_the_state_of_the_previous_process() -> None:
    made = table(Endpoint("a", started_at=5.0))
    endpoint = made.by_id["a"]
    endpoint.failure_rate = 0.9
    endpoint.is_ejected = True
    endpoint.reported_load = 0.7
    endpoint.overloaded_at = NOW
    made.apply(incremental(Endpoint("a", started_at=NOW)), NOW + 1.0)
    assert (endpoint.failure_rate, endpoint.is_ejected) == (0.0, False)
    assert (endpoint.reported_load, endpoint.overloaded_at) == (0.0, NEVER_HAPPENED)
    assert (endpoint.started_at, endpoint.ramp_started_at) == (NOW, NOW + 1.0)


def test_weights_are_capacities_unless_they_follow_the_load() -> None:
    fixed = table(Endpoint("a", capacity_weight=2.0)).by_id["a"]
    assert (fixed.capacity_weight, fixed.remaining_weight) == (2.0, 1.0)
    live = table(Endpoint("a", capacity_weight=0.5), weights_follow_load=True).by_id["a"]
    assert (live.capacity_weight, live.remaining_weight) == (1.0, 0.5)


def test_a_weight_of_zero_does_not_cause_a_division_by_zero() -> None:
    assert table(Endpoint("a", capacity_weight=0.0)).by_id["a"].capacity_weight > 0.0


def test_the_tier_holds_ready_endpoints_that_are_not_ejected() -> None:
    made = table(Endpoint("a"), Endpoint("b"), Endpoint("c", lifecycle=Lifecycle.DRAINING))
    made.by_id["b"].is_ejected = True
    made.invalidate()
    assert [endpoint.id for endpoint in made.tier().local.endpoints] == ["a"]
    assert [endpoint.id for endpoint in made.ejected] == ["b"]


HOUR_MS = 3_600_000.0


def restart(made: EndpointTable, claimed_at: float, seen_at: float) -> float:
    """Apply an update with a new start time of `a`; return the start time that is used."""
    made.apply(incremental(Endpoint("a", started_at=claimed_at)), seen_at)
    return made.by_id["a"].started_at


def test_a_start_time_from_a_clock_that_is_ahead_is_replaced_by_the_arrival_time() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW + HOUR_MS, NOW + 10.0) == NOW + 10.0
    # The same start time again is not another restart.
    assert restart(made, NOW + HOUR_MS, NOW + 5000.0) == NOW + 10.0


def test_a_start_time_from_a_clock_that_is_behind_is_replaced_by_the_arrival_time() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW - HOUR_MS, NOW + 10.0) == NOW + 10.0
    made.apply(incremental(Endpoint("b", started_at=NOW - HOUR_MS)), NOW + 20.0)
    assert made.by_id["b"].started_at == NOW + 20.0


def test_a_start_that_is_listed_late_keeps_its_start_time() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW - 9000.0, NOW + 10.0) == NOW - 9000.0


def test_a_start_time_that_changes_to_zero_is_not_a_restart() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    made.by_id["a"].failure_rate = 0.5
    assert restart(made, 0.0, NOW + 10.0) == 0.0
    assert made.by_id["a"].failure_rate == 0.5


def test_start_times_of_the_first_list_are_accepted_unless_they_lie_in_the_future() -> None:
    made = table(Endpoint("a", started_at=NOW - HOUR_MS), Endpoint("b", started_at=NOW + HOUR_MS))
    assert made.by_id["a"].started_at == NOW - HOUR_MS
    assert made.by_id["b"].started_at == NOW
