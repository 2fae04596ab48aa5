"""Pauses of overloaded endpoints, and migration off overloaded and draining ones."""

from __future__ import annotations

import pytest

from tests.helpers import BalancerDriver, report_delay
from walkloom.messages import (
    AttemptStatus,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    Lifecycle,
    MigrateConnection,
    Request,
    SignalKind,
    StartAttempt,
    UpdateKind,
)

A, B = Endpoint("a"), Endpoint("b")
DRAINING = Lifecycle.DRAINING


def test_an_overloaded_server_gets_nothing_new_until_its_messages_are_fast_again() -> None:
    driver = BalancerDriver()
    driver.update_list(A)
    rid = driver.request()
    driver.establish(rid)
    report_delay(driver, rid, 150.0)
    waiting = driver.wait(1000).request()
    assert driver.endpoint_of(waiting) is None
    report_delay(driver, rid, 20.0)
    driver.run_timers(1500.0)
    assert driver.endpoint_of(waiting) == "a"


def test_few_connections_migrate_from_a_server_that_stays_overloaded() -> None:
    driver = BalancerDriver()
    driver.update_list(A)
    ids = [driver.request(group=n % 2) for n in range(20)] + [driver.request(group=9)]
    for rid in ids:
        driver.establish(rid)
    report_delay(driver, ids[0], 150.0)
    driver.update_list(A, B)
    driver.wait(1000)
    migrated = [a.request_id for a in report_delay(driver, ids[0], 150.0) if isinstance(a, MigrateConnection)]
    assert 1 <= len(migrated) <= 3 and ids[-1] in migrated  # the only connection of its group migrates first


def test_a_server_that_was_overloaded_takes_clients_one_by_one() -> None:
    """Held and reconnecting clients overloaded a server again as soon as its messages were fast."""
    driver = BalancerDriver()
    driver.update_list(A)
    rid = driver.request()
    driver.establish(rid)
    report_delay(driver, rid, 150.0)
    waiting = [driver.request(deadline_in_ms=9000.0) for _ in range(20)]
    report_delay(driver.wait(1000), rid, 20.0)
    driver.run_timers(2000.0)
    assert 1 <= sum(driver.endpoint_of(w) is not None for w in waiting) <= 8


def max_attempts_per_second(balancers: int, overloaded: str) -> int:
    """Return the maximum number of attempts of all balancers on server d in any of 4 s.

    Requests wait at each balancer; the servers named in `overloaded` are overloaded.
    """
    drivers = [BalancerDriver(seed=n, balancer_count=balancers) for n in range(balancers)]
    for driver in drivers:
        driver.update_list(*(Endpoint(n) for n in "abcd"))
        driver.request()
        for name in (n for n in "abcd" if n in overloaded or n == "d"):
            rid = ("open", name)
            driver.handle_event(ConnectionAdopted(Request(rid, 0, 0.0), name))
            driver.handle_event(
                ConnectionSignal(
                    request_id=rid,
                    attempt=0,
                    endpoint_id=name,
                    kind=SignalKind.MESSAGE_DELAY,
                    value=150.0 if name in overloaded else 20.0,
                )
            )
        if "d" in overloaded:
            driver.handle_event(
                ConnectionSignal(
                    request_id=("open", "d"),
                    attempt=0,
                    endpoint_id="d",
                    kind=SignalKind.MESSAGE_DELAY,
                    value=20.0,
                )
            )
    for driver in drivers:
        driver.wait(1001).request(deadline_in_ms=9000.0)
    peak = 0
    for _ in range(4):
        before = sum(a.endpoint_id == "d" for driver in drivers for a in driver.actions_of(StartAttempt))
        for driver in drivers:
            for name in overloaded.replace("d", ""):
                driver.handle_event(
                    ConnectionSignal(
                        request_id=("open", name),
                        attempt=0,
                        endpoint_id=name,
                        kind=SignalKind.MESSAGE_DELAY,
                        value=150.0,
                    )
                )
            for _ in range(max(300 // balancers, 1)):
                driver.request(deadline_in_ms=9000.0)
            driver.run_timers(1000.0)
        peak = max(
            peak,
            sum(a.endpoint_id == "d" for driver in drivers for a in driver.actions_of(StartAttempt)) - before,
        )
    return peak


@pytest.mark.parametrize("balancers", [3, 60, 300])
def test_placements_after_an_overload_do_not_grow_with_the_balancers(balancers: int) -> None:
    """Report Ld0ab1a: 108 balancers, each with a pause of its own, at once overloaded every server again."""
    assert 1 <= max_attempts_per_second(balancers, "abcd") <= 25


@pytest.mark.parametrize("balancers", [3, 60, 300])
def test_the_last_fast_server_is_not_flooded_while_most_are_overloaded(balancers: int) -> None:
    """Report Ld0ab1a: clients that left the overloaded servers then overloaded the few fast ones."""
    assert 1 <= max_attempts_per_second(balancers, "abc") <= 25
    assert (
        max_attempts_per_second(balancers, "a") >= 60
    )  # with one of four servers overloaded, the others can take all requests


def test_many_balancers_with_one_connection_each_migrate_only_a_part_of_them() -> None:
    """At least one migration per delay report, from each of many balancers, emptied a slow server at once."""
    migrated = 0
    for seed in range(200):
        driver = BalancerDriver(seed, balancer_count=200)
        driver.update_list(A)
        rid = driver.request()
        driver.establish(rid)
        migrated += any(isinstance(a, MigrateConnection) for a in report_delay(driver, rid, 200.0))
    assert 8 <= migrated <= 45


def test_clients_migrate_from_a_draining_server_evenly_if_another_can_take_them() -> None:
    """A connection is lost when its server exits, so clients are asked to migrate before."""
    driver = BalancerDriver()
    driver.update_list(A)
    ids = [driver.request() for _ in range(20)]
    for rid in ids:
        driver.establish(rid)
    draining = A._replace(lifecycle=Lifecycle.DRAINING)
    driver.update_list(draining, kind=UpdateKind.INCREMENTAL)
    driver.run_timers(1000.0)
    assert not driver.actions_of(MigrateConnection)  # no other server could take them
    driver.update_list(draining, B)
    driver.run_timers(150.0)
    assert 0 < len(driver.actions_of(MigrateConnection)) <= 6
    for _ in range(20):
        for rid in {m.request_id for m in driver.actions_of(MigrateConnection)} & set(ids):
            driver.end_attempt(rid, AttemptStatus.CANCELLED, is_closed=True)
            ids.remove(rid)
        driver.run_timers(100.0)
    assert not ids
