"""The table of endpoints follows the list: lifecycles, drain notices, restarts, and what is forgotten."""

from __future__ import annotations

from tests.helpers import settings
from walkloom.messages import Endpoint, EndpointListUpdate, Lifecycle, UpdateKind
from walkloom.state import LONG_AGO, READY, EndpointTable

NOW = 100_000_000.0


def table(*lines: Endpoint, **changes: object) -> EndpointTable:
    made = EndpointTable(settings(**changes))
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, lines), NOW)
    return made


def incremental(*lines: Endpoint) -> EndpointListUpdate:
    return EndpointListUpdate(UpdateKind.INCREMENTAL, lines)


def test_endpoints_of_the_first_list_have_no_ramp_and_newcomers_have() -> None:
    made = table(Endpoint("a"))
    made.apply(incremental(Endpoint("b")), NOW + 5.0)
    assert made.by_id["a"].ramp_started_at == LONG_AGO
    assert made.by_id["b"].ramp_started_at == NOW + 5.0


def test_a_drain_counts_from_the_first_notice() -> None:
    made = table(Endpoint("a"))
    draining = incremental(Endpoint("a", lifecycle=Lifecycle.DRAINING))
    assert made.apply(draining, NOW + 10.0)
    assert not made.apply(draining, NOW + 20.0)
    assert made.by_id["a"].drain_notified_at == NOW + 10.0
    made.apply(incremental(Endpoint("a")), NOW + 30.0)
    assert made.by_id["a"].drain_notified_at == READY


def test_one_that_is_back_as_draining_has_no_grace_left() -> None:
    made = table(Endpoint("a"), drain_grace_ms=500.0)
    made.apply(incremental(Endpoint("b", lifecycle=Lifecycle.DRAINING)), NOW)
    assert made.by_id["b"].drain_notified_at == NOW - 500.0


def test_one_that_drains_in_the_first_list_of_a_process_has_no_grace_left() -> None:
    draining = Endpoint("a", lifecycle=Lifecycle.DRAINING)
    over_sockets = table(draining, Endpoint("b"), drain_grace_ms=500.0, max_list_age_ms=6000.0)
    assert over_sockets.by_id["a"].drain_notified_at == NOW - 500.0
    assert over_sockets.by_id["b"].drain_notified_at == READY
    # On the simulator's wire the list is read as it comes.
    assert table(draining, drain_grace_ms=500.0).by_id["a"].drain_notified_at == NOW


def test_a_snapshot_removes_what_it_does_not_name_and_an_update_does_not() -> None:
    made = table(Endpoint("a"), Endpoint("b"))
    made.apply(incremental(Endpoint("a")), NOW)
    assert made.by_id["b"].drain_notified_at == READY
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),)), NOW + 7.0)
    assert made.by_id["b"].drain_notified_at == NOW + 7.0
    assert made.by_id["b"].lifecycle is Lifecycle.REMOVED


def test_removed_endpoints_are_forgotten_once_they_hold_nothing() -> None:
    made = table(Endpoint("a"), Endpoint("b"))
    made.by_id["b"].add_connection(1.0, None)
    made.apply(EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),)), NOW)
    made.tier()
    assert set(made.by_id) == {"a", "b"}
    made.by_id["b"].remove_connection(1.0, None)
    made.outdate()
    made.tier()
    assert set(made.by_id) == {"a"}


def test_an_unknown_endpoint_that_is_removed_is_not_added() -> None:
    made = table(Endpoint("a"))
    made.apply(incremental(Endpoint("b", lifecycle=Lifecycle.REMOVED)), NOW)
    assert set(made.by_id) == {"a"}


def test_a_restart_forgets_the_process_before() -> None:
    made = table(Endpoint("a", started_at=5.0))
    endpoint = made.by_id["a"]
    endpoint.failure_rate = 0.9
    endpoint.is_ejected = True
    endpoint.reported_load = 0.7
    endpoint.overloaded_at = NOW
    made.apply(incremental(Endpoint("a", started_at=NOW)), NOW + 1.0)
    assert (endpoint.failure_rate, endpoint.is_ejected) == (0.0, False)
    assert (endpoint.reported_load, endpoint.overloaded_at) == (0.0, LONG_AGO)
    assert (endpoint.started_at, endpoint.ramp_started_at) == (NOW, NOW + 1.0)


def test_weights_are_sizes_unless_they_follow_the_load() -> None:
    fixed = table(Endpoint("a", capacity_weight=2.0)).by_id["a"]
    assert (fixed.capacity_weight, fixed.spare_weight) == (2.0, 1.0)
    live = table(Endpoint("a", capacity_weight=0.5), weights_follow_load=True).by_id["a"]
    assert (live.capacity_weight, live.spare_weight) == (1.0, 0.5)


def test_a_weight_of_nothing_keeps_divisions_defined() -> None:
    assert table(Endpoint("a", capacity_weight=0.0)).by_id["a"].capacity_weight > 0.0


def test_the_tier_holds_ready_endpoints_that_are_not_ejected() -> None:
    made = table(Endpoint("a"), Endpoint("b"), Endpoint("c", lifecycle=Lifecycle.DRAINING))
    made.by_id["b"].is_ejected = True
    made.outdate()
    assert [endpoint.id for endpoint in made.tier().local.endpoints] == ["a"]
    assert [endpoint.id for endpoint in made.ejected] == ["b"]


HOUR_MS = 3_600_000.0


def restart(made: EndpointTable, claimed_at: float, seen_at: float) -> float:
    """List a restart of `a`; return the start that counts."""
    made.apply(incremental(Endpoint("a", started_at=claimed_at)), seen_at)
    return made.by_id["a"].started_at


def test_a_start_claimed_by_a_clock_that_is_ahead_counts_from_when_it_is_seen() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW + HOUR_MS, NOW + 10.0) == NOW + 10.0
    # The same claim again is no other start.
    assert restart(made, NOW + HOUR_MS, NOW + 5000.0) == NOW + 10.0


def test_a_start_claimed_by_a_clock_that_is_behind_is_cold_all_the_same() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW - HOUR_MS, NOW + 10.0) == NOW + 10.0
    made.apply(incremental(Endpoint("b", started_at=NOW - HOUR_MS)), NOW + 20.0)
    assert made.by_id["b"].started_at == NOW + 20.0


def test_a_start_that_is_listed_late_keeps_its_time() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    assert restart(made, NOW - 9000.0, NOW + 10.0) == NOW - 9000.0


def test_a_start_that_becomes_long_ago_is_no_restart() -> None:
    made = table(Endpoint("a", started_at=NOW - 60_000.0))
    made.by_id["a"].failure_rate = 0.5
    assert restart(made, 0.0, NOW + 10.0) == 0.0
    assert made.by_id["a"].failure_rate == 0.5


def test_the_first_list_is_taken_at_its_word_but_for_the_future() -> None:
    made = table(Endpoint("a", started_at=NOW - HOUR_MS), Endpoint("b", started_at=NOW + HOUR_MS))
    assert made.by_id["a"].started_at == NOW - HOUR_MS
    assert made.by_id["b"].started_at == NOW
