"""Placement by load reports, and the polls for them."""

from __future__ import annotations

from tests.helpers import POLLED_LOAD_REPORTS, BalancerDriver
from walkloom.messages import (
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    EndpointId,
    LoadReportReceived,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    SignalKind,
)

A, B = Endpoint("a"), Endpoint("b")


def test_servers_are_not_polled_where_latencies_are_reported() -> None:
    driver = BalancerDriver(load_reports_available=True, load_report_load_index=1)
    driver.update_list(A, B)
    driver.establish(driver.request())
    driver.run_timers(3000.0)
    assert not driver.actions_of(PollLoadReport)


def test_a_burst_of_one_group_overloads_no_server_before_load_reports_show_it() -> None:
    """All reconnected after a restart: the preferred endpoint of their group took 58 of 60 and overloaded."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0)
    driver.loads = {"a": 0.0, "b": 0.0, "c": 0.0}
    driver.update_list(A, B, Endpoint("c", zone=1))
    places = [driver.endpoint_of(driver.request(group="g")) for _ in range(40)]
    # 80 connections for three servers of equal weight: 0.65 of a server's capacity is 20
    assert places.count(places[0]) == 20 and places.count("c") == 0
    driver.wait(1000.0).loads = {"a": 0.9, "b": 0.9, "c": 0.1}
    assert driver.endpoint_of(driver.request(group="g")) == "c"  # the local ones are full, the remote is not


def test_each_of_many_balancers_assumes_that_the_others_place_as_many_requests() -> None:
    """Forty balancers with one or two requests each filled a server between two of its load reports."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0, balancer_count=40)
    driver.loads = {"a": 0.0, "b": 0.0}
    driver.update_list(A, B)
    assert len({driver.endpoint_of(driver.request(group="g")) for _ in range(2)}) == 2


def test_a_request_waits_for_its_own_polls_and_is_placed_among_those_it_polled() -> None:
    """It waited for all polls in progress, and was placed on servers that had not been polled."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0, balancer_count=200)
    driver.update_list(*(Endpoint(f"s{n}") for n in range(60)))
    for _ in range(5):
        driver.wait(5000.0).actions.clear()
        first = driver.request()
        polled = [p.endpoint_id for p in driver.actions_of(PollLoadReport)]
        driver.wait(1.0).request()  # polls others too, which do not answer
        for server in polled:
            driver.handle_event(
                LoadReportReceived(
                    endpoint_id=server, status=AttemptStatus.OK, elapsed_ms=1.0, load_report=(0.0, 0.2)
                )
            )
        assert len(polled) <= 12 and driver.endpoint_of(first) in polled


def test_a_remote_server_is_polled_before_it_is_used() -> None:
    """All balancers of a full zone placed clients on one remote server that none had polled: 40 on one."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0, balancer_count=40, zone_count=2)
    driver.loads = {"a": 0.9, "b": 1.4, "c": 0.2}
    driver.update_list(A, B._replace(zone=1), Endpoint("c", zone=1))
    rids = [driver.wait(500.0).request(group=n) for n in range(12)]
    assert {driver.endpoint_of(rid) for rid in rids} == {"c"}
    driver.wait(500.0).loads = {"a": 0.2, "b": 0.2, "c": 0.2}
    driver.actions.clear()
    driver.request()
    assert {p.endpoint_id for p in driver.actions_of(PollLoadReport)} == {
        "a"
    }  # a local one is free: no remote one is polled


def test_a_client_is_rejected_at_once_if_all_servers_are_over_their_capacity() -> None:
    """Clients placed on full servers lost their connections together with those already there."""
    driver = BalancerDriver(
        **POLLED_LOAD_REPORTS, connection_quota=80.0, balancer_count=40, max_retry_after_ms=1500.0
    )
    driver.loads = {"a": 1.4, "b": 1.2}
    driver.update_list(A, B)
    rid = driver.request()
    (rejected,) = driver.actions_of(Reject)
    assert driver.endpoint_of(rid) is None and rejected.request_id == rid and rejected.retry_after_ms >= 500.0


def test_a_server_that_does_not_answer_polls_is_skipped_after_a_short_wait() -> None:
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0, balancer_count=3)
    driver.loads = {"a": 0.3}
    driver.update_list(A, B)
    rids = [driver.request() for _ in range(3)]
    assert [driver.endpoint_of(rid) for rid in rids] == [None] * 3
    driver.run_timers(60.0)
    assert [driver.endpoint_of(rid) for rid in rids] == ["a"] * 3


def test_a_request_that_waits_for_reports_ends_when_its_client_disconnects() -> None:
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, balancer_count=40)
    driver.update_list(A)
    rid = driver.request()
    driver.handle_event(ClientDisconnected(rid))
    driver.run_timers(1000.0)
    assert driver.endpoint_of(rid) is None and not driver.actions_of(Reject)
    short = driver.request(deadline_in_ms=50.0)
    assert driver.endpoint_of(short) is None
    driver.run_timers(25.0)  # at most half of its time is spent on polling
    assert driver.endpoint_of(short) == "a" and not driver.actions_of(Reject)
    over = driver.request(deadline_in_ms=4.0)
    assert driver.endpoint_of(over) is None and [a.request_id for a in driver.actions_of(Reject)] == [over]


def test_an_overload_of_the_local_zone_does_not_pause_a_remote_server_known_to_be_free() -> None:
    """After a restart 22 clients were held until their deadlines beside a server at a third of its load."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=200.0, balancer_count=2)
    driver.loads = {"a": 1.5, "b": 0.1}
    driver.update_list(A, B._replace(zone=1))
    assert [driver.endpoint_of(driver.request()) for _ in range(10)] == ["b"] * 10


def test_adopted_connections_are_not_added_to_a_report_that_contains_them() -> None:
    """At start 23 of them, counted twice, made a load of 0.6 look like an overload, and clients migrated."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=80.0)
    driver.update_list(A, B)
    for i in range(23):
        driver.handle_event(ConnectionAdopted(Request(100 + i, 0, 1e12), "a"))
    driver.wait(250.0).handle_event(
        LoadReportReceived(endpoint_id="a", status=AttemptStatus.OK, elapsed_ms=1.0, load_report=(23.0, 0.6))
    )
    assert (
        not driver.actions_of(MigrateConnection)
        and driver.balancer.state.endpoints.by_id["a"].reported_load == 0.6
    )


def test_late_reports_do_not_hide_a_burst() -> None:
    """Reports were 0.3 s old: a server that was polled four times a second was filled from 30 to 60."""
    driver = BalancerDriver(**POLLED_LOAD_REPORTS, connection_quota=40.0)
    driver.loads = {"a": 0.05, "b": 0.0}
    driver.update_list(A, B._replace(zone=1))
    placed: list[EndpointId] = []
    for step_number in range(8):
        seen = placed[: 4 * max(step_number - 3, 0)].count("a")
        driver.loads["a"] = 0.05 + 0.0425 * seen
        placed += [driver.endpoint_of(driver.wait(25.0).request()) for _ in range(4)]
    assert placed.count("a") <= 18  # 0.8 of its capacity


def test_a_load_hint_counts_relative_to_the_reported_loads() -> None:
    """Found by the simulator: a hint in ms of work per second was taken for a number of connections."""
    driver = BalancerDriver()
    driver.update_list(Endpoint("a"))
    driver.handle_event(Request("hinted before", 0, driver.now + 3000.0, load=100.0))
    assert driver.balancer.state.endpoints.by_id["a"].load == 1.0  # no reported load to compare it with yet
    first = driver.request()
    driver.establish(first)
    driver.handle_event(
        ConnectionSignal(request_id=first, attempt=0, endpoint_id="a", kind=SignalKind.LOAD, value=50.0)
    )
    driver.handle_event(Request("hinted", 0, driver.now + 3000.0, load=100.0))
    assert driver.balancer.state.endpoints.by_id["a"].load == 1.0 + 1.0 + 2.0
