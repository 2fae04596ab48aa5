"""The whole balancer: settings, unusual events, and the reproducibility of its decisions."""

from __future__ import annotations

import pytest

from tests.helpers import IDEMPOTENT_CLASS, POLLED_LOAD_REPORTS, BalancerDriver, report_delay, settings
from walkloom.balancer import Balancer
from walkloom.messages import (
    Action,
    AnswerReason,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    Idempotency,
    Lifecycle,
    LoadReportReceived,
    LogMessage,
    Reject,
    Request,
    TimerFired,
    UpdateKind,
)
from walkloom.simulator.records import PeerMessageReceived
from walkloom.state import NEVER_HAPPENED

A, B, C = Endpoint("a"), Endpoint("b"), Endpoint("c")
DRAINING, REMOVED = Lifecycle.DRAINING, Lifecycle.REMOVED


def test_same_events_same_actions() -> None:
    def run() -> list[Action]:
        driver = BalancerDriver(seed=7)
        driver.update_list(*(Endpoint(n) for n in "abcdef"))
        for _ in range(60):
            driver.establish(driver.request(group=driver.request_count % 3))
        return driver.actions

    assert run() == run()


def test_events_with_unknown_ids_are_ignored() -> None:
    driver = BalancerDriver()
    driver.update_list(A)
    for event in (
        AttemptEstablished(request_id=9, attempt=0, endpoint_id="a", elapsed_ms=1.0),
        AttemptEnded(request_id=9, attempt=0, endpoint_id="a", status=AttemptStatus.OK, elapsed_ms=1.0),
        ClientDisconnected(9),
        ConnectionSignal(request_id=9, attempt=0, endpoint_id="a", kind=1, value=2.0),
        TimerFired(77),
        LoadReportReceived("z", AttemptStatus.OK, 1.0),
        PeerMessageReceived(1, b"x"),
        ConnectionAdopted(Request(8, 0, 0.0), "z"),
    ):
        assert driver.handle_event(event) == []  # type: ignore[arg-type]  # one is not an event of the policy


@pytest.mark.parametrize(
    ("name", "value"), [("request_classes", ()), ("max_attempts", 0), ("slow_start_min_capacity", 0.0)]
)
def test_invalid_setting_is_named(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=name):
        Balancer(settings(**{name: value}), 1)


def test_classes_are_idempotent_by_default() -> None:
    assert IDEMPOTENT_CLASS.idempotency is Idempotency.IDEMPOTENT


def test_log_events_are_not_repeated() -> None:
    driver = BalancerDriver(max_attempts=1)
    driver.update_list(A)
    rid = driver.request()
    driver.establish(rid)
    for _ in range(30):
        report_delay(driver.wait(1000), rid, 150.0)
    for _ in range(5):
        driver.end_attempt(driver.wait(9000).request(), AttemptStatus.ERROR)
    event_names = [line.text.split()[0] for line in driver.actions_of(LogMessage)]
    assert (
        event_names == ["server_overloaded", "endpoint_ejected"]
        and driver.actions_of(LogMessage)[0].endpoint_id == "a"
    )


def test_unusual_but_valid_lists() -> None:
    """Empty lists, and lists of draining, removed, duplicate and weightless entries: one answer each."""
    empty: tuple[Endpoint, ...] = ()
    for entries in (
        empty,
        (A._replace(lifecycle=Lifecycle.REMOVED), B._replace(lifecycle=Lifecycle.REMOVED)),
        (A, A._replace(lifecycle=Lifecycle.REMOVED)),
    ):
        driver = BalancerDriver()
        driver.update_list(*entries)
        assert driver.handle_event(Request("r", 0, driver.now + 3000)) == [
            Reject("r", 0.0, AnswerReason.NO_ENDPOINT)
        ]
    weightless = A._replace(capacity_weight=0.0)
    for entries in ((weightless, weightless), (A._replace(lifecycle=Lifecycle.DRAINING),)):
        driver = BalancerDriver()
        driver.update_list(*entries)
        assert driver.endpoint_of(driver.request()) == "a"


def test_thousands_of_requests_in_one_batch_while_time_stands_still_or_jumps() -> None:
    driver = BalancerDriver()
    driver.update_list(A, B, C._replace(started_at=driver.now))
    ids = [driver.request() for _ in range(5000)]
    for rid in ids[:50]:
        driver.end_attempt(rid, AttemptStatus.AT_CAPACITY)  # all servers are at capacity: these are held
    waiting = [driver.request() for _ in range(2000)]
    assert all(driver.endpoint_of(rid) is None for rid in waiting)
    driver.wait(-5.0)
    driver.request()  # the clock of another thread may be behind: no crash
    driver.now += 3_600_000.0
    driver.handle_event(TimerFired(1))
    ended = {a.request_id for a in driver.actions_of(Reject)}
    assert set(waiting) <= ended and len(driver.actions_of(Reject)) == len(ended)


def test_the_record_of_a_process_is_reset_when_a_new_one_starts_under_its_id() -> None:
    driver = BalancerDriver(**POLLED_LOAD_REPORTS)
    driver.loads = {"a": 2.0}
    driver.update_list(A)
    driver.establish(driver.request())
    assert driver.balancer.state.endpoints.by_id["a"].reported_load == 2.0
    driver.update_list(A._replace(started_at=driver.now), B, kind=UpdateKind.INCREMENTAL)
    endpoint = driver.balancer.state.endpoints.by_id["a"]
    assert (endpoint.reported_load, endpoint.reported_at) == (0.0, 0.0)
    assert (endpoint.slow_message_at, endpoint.overloaded_at) == (NEVER_HAPPENED, NEVER_HAPPENED)
