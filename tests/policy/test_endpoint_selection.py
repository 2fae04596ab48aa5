"""Which endpoint a request is sent to: tiers, zones, affinity groups, draws."""

from __future__ import annotations

import pytest

from tests.helpers import POLLED_LOAD_REPORTS, BalancerDriver, report_delay
from walkloom.messages import (
    AttemptStatus,
    ConnectionSignal,
    Endpoint,
    Lifecycle,
    MigrateConnection,
    Reject,
    SignalKind,
    UpdateKind,
)
from walkloom.policy import slow_start
from walkloom.state import BalancerState, EndpointState

A, B, C = Endpoint("a"), Endpoint("b"), Endpoint("c")
DRAINING, REMOVED = Lifecycle.DRAINING, Lifecycle.REMOVED


def test_a_draining_server_gets_nothing_while_a_ready_one_is_usable() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B._replace(lifecycle=DRAINING))
    assert {driver.endpoint_of(driver.request()) for _ in range(20)} == {"a"}


def test_a_draining_server_is_the_fallback_within_the_grace_only() -> None:
    driver = BalancerDriver()
    driver.update_list(A)
    driver.update_list(A._replace(lifecycle=DRAINING), kind=UpdateKind.INCREMENTAL)
    assert driver.endpoint_of(driver.wait(900).request()) == "a"
    late = driver.wait(99).request()
    assert driver.endpoint_of(late) is None
    assert [a.request_id for a in driver.actions_of(Reject)] == [late]


def test_a_second_drain_notice_does_not_lengthen_the_grace() -> None:
    driver = BalancerDriver()
    driver.update_list(A._replace(lifecycle=DRAINING))
    driver.wait(900).update_list(A._replace(lifecycle=DRAINING), kind=UpdateKind.INCREMENTAL)
    assert driver.endpoint_of(driver.wait(200).request()) is None


def test_a_removed_server_that_is_listed_as_draining_gets_no_new_grace() -> None:
    driver = BalancerDriver()
    driver.update_list(A._replace(lifecycle=DRAINING))
    driver.update_list(A._replace(lifecycle=REMOVED), kind=UpdateKind.INCREMENTAL)
    driver.wait(1500).update_list(A._replace(lifecycle=DRAINING), kind=UpdateKind.INCREMENTAL)
    assert driver.endpoint_of(driver.request()) is None


def test_a_server_missing_from_a_snapshot_gets_nothing() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B)
    driver.update_list(A)
    assert {driver.endpoint_of(driver.request()) for _ in range(10)} == {"a"}


def test_other_zones_are_used_only_if_the_local_zone_has_no_endpoint() -> None:
    driver = BalancerDriver(local_zone=1, zone_count=2)
    driver.update_list(A, B._replace(zone=1))
    assert driver.endpoint_of(driver.request()) == "b"
    driver.update_list(B._replace(zone=1, lifecycle=REMOVED), kind=UpdateKind.INCREMENTAL)
    assert driver.endpoint_of(driver.request()) == "a"


def test_two_draws_spread_connections_evenly() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B, C)
    count = {"a": 0, "b": 0, "c": 0}
    for _ in range(90):
        rid = driver.request()
        count[str(driver.endpoint_of(rid))] += 1
        driver.establish(rid)
    assert max(count.values()) - min(count.values()) <= 6


def test_all_balancers_place_a_group_on_the_same_two_servers() -> None:
    """A group adds load to each server that holds any of it; each balancer used to choose its own servers."""
    servers = [Endpoint(n) for n in "abcdefghij"]
    used_endpoints = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.update_list(*servers)
        used_endpoints.add(driver.endpoint_of(driver.request(group=77)))
    assert len(used_endpoints) <= 2


def test_a_group_stays_together_until_its_server_is_overloaded() -> None:
    driver = BalancerDriver()
    driver.update_list(*(Endpoint(n) for n in "abcdef"))
    for n in range(60):
        driver.establish(driver.request(group=n))
    some = [driver.request(group=5) for _ in range(60)]
    assert len({driver.endpoint_of(rid) for rid in some}) == 1
    driver.establish(some[0])
    report_delay(driver, some[0], 150.0)
    assert driver.endpoint_of(driver.request(group=5)) not in (
        None,
        driver.endpoint_of(some[0]),
    )  # a large group spreads as it overloads its servers


def test_recovering_servers_get_no_groups_that_are_new_to_them() -> None:
    """Incident i94313c: the few placements after an overload spread each group over ten servers."""
    driver = BalancerDriver()
    driver.update_list(A)
    first = driver.request(group=7)
    driver.establish(first)
    report_delay(driver, first, 150.0)
    driver.update_list(A, B)
    other = driver.wait(5000).request(group=8)
    assert driver.endpoint_of(other) == "b"
    driver.establish(other)
    report_delay(driver, other, 150.0)
    report_delay(driver, other, 20.0)  # b has capacity again, but is still recovering; a is still overloaded
    report_delay(driver, first, 150.0)
    same_group, other_group, no_group = [
        driver.request(group=group, deadline_in_ms=9000.0) for group in (8, 7, None)
    ]
    driver.run_timers(2000.0)
    assert (
        driver.endpoint_of(same_group) == "b"
        and driver.endpoint_of(other_group) is None
        and driver.endpoint_of(no_group) == "b"
    )


def test_weights_that_follow_the_load_fill_servers_in_proportion_to_their_capacity() -> None:
    """Load over a weight that follows it counts connections twice: the large server stayed far from full."""
    driver = BalancerDriver(weights_follow_load=True)
    held = {"a": 0, "b": 0}
    for _ in range(300):
        driver.update_list(
            A._replace(capacity_weight=2.0 / (1 + held["a"])),
            B._replace(capacity_weight=1.0 / (1 + held["b"])),
            kind=UpdateKind.INCREMENTAL,
        )
        rid = driver.wait(100).request()
        driver.establish(rid)
        held[str(driver.endpoint_of(rid))] += 1
    assert 1.7 < held["a"] / held["b"] < 2.3


def test_a_known_heavy_client_is_not_placed_on_a_recovering_server() -> None:
    """Incidents i26bc8f, i431973: one client in twenty causes two fifths of the load."""
    driver = BalancerDriver()
    driver.update_list(A)
    heavy, *light = [driver.request(client=n) for n in range(1, 11)]
    for rid in (*light, heavy):
        driver.establish(rid)
        load = 900.0 if rid == heavy else 10.0
        driver.handle_event(
            ConnectionSignal(request_id=rid, attempt=0, endpoint_id="a", kind=SignalKind.LOAD, value=load)
        )
    assert MigrateConnection(heavy) in report_delay(driver, heavy, 150.0)[:2]
    driver.end_attempt(heavy, AttemptStatus.CANCELLED, is_closed=True)
    report_delay(driver.wait(1000), light[0], 20.0)
    heavy_again, other = (
        driver.request(client=1, deadline_in_ms=9000.0),
        driver.request(client=99, deadline_in_ms=9000.0),
    )
    driver.run_timers(2000.0)
    assert driver.endpoint_of(heavy_again) is None and driver.endpoint_of(other) == "a"
    driver.update_list(A, B)
    driver.run_timers(6000.0)
    assert driver.endpoint_of(heavy_again) == "b"  # a server that was not overloaded has capacity for it


def test_groups_are_spread_evenly_over_the_servers() -> None:
    """A hash that was linear in group and server gave some servers 300 times the groups of others."""
    count = dict.fromkeys("abcdefgh", 0)
    driver = BalancerDriver(tick_ms=2.0)
    driver.update_list(*(Endpoint(n) for n in count))
    for group in range(1, 1601):
        rid = driver.request(group=group)
        count[str(driver.endpoint_of(rid))] += 1
        driver.end_attempt(rid, AttemptStatus.CANCELLED, is_closed=True)
    assert max(count.values()) < 1.5 * min(count.values())


def test_one_request_examines_a_bounded_part_of_a_large_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Examining 300 servers for each request cost 150 us per event (incident i917396)."""
    examined = 0
    has_capacity = slow_start.has_capacity

    def counting(state: BalancerState, endpoint: EndpointState) -> bool:
        nonlocal examined
        examined += 1
        return has_capacity(state, endpoint)

    monkeypatch.setattr(slow_start, "has_capacity", counting)
    driver = BalancerDriver(zone_count=3)
    driver.update_list(*(Endpoint(n, zone=n % 3) for n in range(900)))
    for n in range(20):
        examined = 0
        driver.request(group=n or None)
        assert 0 < examined <= 24


def test_a_group_keeps_to_few_servers_through_a_release() -> None:
    """In a simulated rollout, seed 1, 71 pairs of server and group grew to 344 in 16 s.

    Each balancer skipped the endpoints of a group that were cold to it or almost full. Each pair costs its
    server as much as three connections.
    """
    drivers = [
        BalancerDriver(seed, **POLLED_LOAD_REPORTS, connection_quota=2400.0, balancer_count=60)
        for seed in range(60)
    ]
    entries = [Endpoint(f"s{n}") for n in range(20)]
    for n, driver in enumerate(drivers):
        driver.loads = {f"s{n}": 0.7 + 0.02 * (n % 5) for n in range(40)}  # little capacity on any server
        driver.update_list(*entries)
    pairs = set()
    for step in range(10):  # one in twenty is replaced, then each balancer gets a request
        new = Endpoint(f"s{20 + step}", started_at=drivers[0].now + 1000.0)
        for n, driver in enumerate(drivers):
            driver.wait(1000.0).update_list(
                entries[step]._replace(lifecycle=REMOVED), new, kind=UpdateKind.INCREMENTAL
            )
            group = (7 * n + 5 * step) % 12
            pairs.add((group, driver.endpoint_of(driver.request(group=group))))
    # 12 groups: their preferred endpoints, and the next ones where these were removed or full
    assert len(pairs) <= 60, len(pairs)
