"""What a balancer may believe of a pushed list that no answer of its agent has confirmed."""

from __future__ import annotations

from random import Random

import pytest

from tests.helpers import BalancerDriver
from walkloom.messages import (
    AnswerReason,
    AttemptStatus,
    ConnectionSignal,
    DiscoveryChanged,
    Endpoint,
    EndpointListUpdate,
    Lifecycle,
    ListFailure,
    MigrateConnection,
    Reject,
    SignalKind,
    StartAttempt,
    StartTimer,
    UpdateKind,
)

A = Endpoint("a")
DRAINING_A = A._replace(lifecycle=Lifecycle.DRAINING)
DRAIN_GRACE_MS = 500.0
MAX_STALL_MS = 150.0
# A byte may be sent so long after the clock was read.
LEASE_MS = DRAIN_GRACE_MS - MAX_STALL_MS
PUSHED = {
    "max_list_age_ms": 6000.0,
    "reload_notification_delay_ms": 4000.0,
    "drain_grace_ms": DRAIN_GRACE_MS,
    "max_stall_ms": MAX_STALL_MS,
}


def start(seed: int = 1, **changes: object) -> BalancerDriver:
    """Start a balancer 0.4 s after its process."""
    driver = BalancerDriver(seed=seed, **{**PUSHED, **changes})
    driver.handle_event(EndpointListUpdate(UpdateKind.CACHED, (A,), confirmed_at=driver.now - 400.0))
    return driver


def confirm(driver: BalancerDriver, *endpoints: Endpoint, called_at: float | None = None) -> None:
    confirmed_at = driver.now if called_at is None else called_at
    driver.handle_event(EndpointListUpdate(UpdateKind.INCREMENTAL, endpoints, confirmed_at=confirmed_at))


def running() -> BalancerDriver:
    driver = start()
    confirm(driver)
    return driver


def fail(driver: BalancerDriver, failure: ListFailure, *, ended_watch: bool = False) -> None:
    driver.handle_event(EndpointListUpdate(UpdateKind.FAILED, failure=failure, ended_watch=ended_watch))


@pytest.mark.parametrize("failure", ListFailure)
def test_a_cached_list_gets_no_new_work_before_the_agent_has_confirmed_it(failure: ListFailure) -> None:
    """Guards against work for drained servers after a restart while the agent is silent."""
    driver = start()
    for _ in range(8):
        fail(driver, failure)
        driver.request()
        driver.wait(250.0)
    assert not driver.actions_of(StartAttempt)


@pytest.mark.parametrize("ended_watch", [False, True])
@pytest.mark.parametrize("failure", ListFailure)
def test_no_failed_call_extends_the_list_of_a_process_that_runs_on(
    failure: ListFailure, ended_watch: bool
) -> None:
    """Guards against work for drained servers after a watch that ended just before the drain."""
    driver = running()
    fail(driver.wait(100.0), failure, ended_watch=ended_watch)
    assert driver.endpoint_of(driver.wait(LEASE_MS - 110.0).request()) == "a"
    fail(driver.wait(5.0), failure)
    assert driver.endpoint_of(driver.wait(10.0).request()) is None


def test_an_answer_confirms_the_list_from_the_start_of_its_call() -> None:
    driver = running()
    confirm(driver.wait(200.0), called_at=driver.now - 100.0)
    assert driver.endpoint_of(driver.wait(LEASE_MS - 110.0).request()) == "a"
    assert driver.endpoint_of(driver.wait(20.0).request()) is None


def test_a_request_waits_for_the_agent_and_is_placed_with_its_answer() -> None:
    driver = start()
    requests = [driver.request() for _ in range(20)]
    driver.run_timers(1500.0)
    assert not driver.actions_of(Reject)
    confirm(driver)
    assert {driver.endpoint_of(request) for request in requests} == {"a"}


def test_a_request_that_waited_for_the_agent_is_rejected_before_its_deadline() -> None:
    driver = start()
    started_at = driver.now
    request = driver.request(deadline_in_ms=1000.0)
    driver.run_timers(780.0)
    assert not driver.actions_of(Reject)
    while not (rejected := driver.actions_of(Reject)):
        driver.run_timers(10.0)
    assert driver.now < started_at + 1000.0
    assert rejected[0].request_id == request and rejected[0].reason is AnswerReason.LIST_EXPIRED


def test_a_request_whose_attempt_ended_while_the_agent_is_silent_waits_as_well() -> None:
    driver = running()
    request = driver.request()
    driver.wait(LEASE_MS)
    assert not driver.balancer.may_send(request, "a", driver.now)
    driver.end_attempt(request, AttemptStatus.NOT_SENT)
    assert len(driver.attempts[request]) == 1 and not driver.actions_of(Reject)
    confirm(driver)
    assert len(driver.attempts[request]) == 2


def test_attempts_that_the_end_of_the_lease_stopped_do_not_use_up_those_of_the_request() -> None:
    """Guards against rejections of requests that connected whenever the lease ran out."""
    driver = running()
    request = driver.request()
    for _ in range(2 * driver.settings.max_attempts):
        driver.wait(LEASE_MS)
        assert not driver.balancer.may_send(request, "a", driver.now)
        driver.end_attempt(request, AttemptStatus.NOT_SENT)
        confirm(driver)
    assert not driver.actions_of(Reject)
    assert len(driver.attempts[request]) == 2 * driver.settings.max_attempts + 1


def test_an_endpoint_whose_attempt_the_end_of_the_lease_stopped_may_be_chosen_again() -> None:
    """Guards against requests that wait until their deadlines as all endpoints of their group were tried."""
    driver = start(balancer_count=3)
    confirm(driver, A, *(Endpoint(name) for name in "bcdef"))
    request = driver.request(group=7)
    chosen = [driver.endpoint_of(request)]
    for _ in range(driver.settings.max_attempts):
        driver.wait(LEASE_MS)
        driver.end_attempt(request, AttemptStatus.NOT_SENT)
        confirm(driver)
        chosen.append(driver.endpoint_of(request))
    assert len(driver.attempts[request]) == len(chosen)
    assert set(chosen) == {chosen[0]}


def test_a_drain_that_the_agent_may_have_had_before_its_silence_gets_no_new_grace() -> None:
    """Guards against work for draining servers when a late list tells that all servers drain."""
    driver = running()
    confirm(driver.wait(1000.0), DRAINING_A)
    assert driver.endpoint_of(driver.request()) is None


def test_a_drain_between_two_answers_leaves_the_draining_tier_usable_for_a_part_of_the_grace() -> None:
    driver = running()
    confirm(driver.wait(100.0), DRAINING_A)
    assert driver.endpoint_of(driver.wait(180.0).request()) == "a"


def test_a_request_waits_for_the_agent_although_there_is_no_cached_list() -> None:
    driver = BalancerDriver(seed=1, **PUSHED)
    driver.handle_event(EndpointListUpdate(UpdateKind.CACHED))
    request = driver.request()
    assert not driver.actions_of(Reject)
    confirm(driver, A)
    assert driver.endpoint_of(request) == "a"


def test_a_grace_that_hardly_covers_a_stall_leaves_a_lease_that_is_shorter_than_the_grace() -> None:
    for drain_grace_ms, lease_ms in ((200.0, 50.0), (160.0, 40.0)):
        driver = start(drain_grace_ms=drain_grace_ms)
        assert driver.endpoint_of(driver.request()) is None
        confirm(driver)
        assert driver.endpoint_of(driver.wait(lease_ms - 1.0).request()) == "a"
        assert driver.endpoint_of(driver.wait(2.0).request()) is None


def test_a_held_call_leaves_time_for_the_next_one_within_the_lease() -> None:
    for drain_grace_ms in (200.0, 250.0, 500.0, 5000.0):
        driver = start(drain_grace_ms=drain_grace_ms)
        for _ in range(50):
            called_at = driver.now
            driver.wait(driver.balancer.watch_hold_ms(driver.now) + 1.0)
            assert called_at == 1_000_000.0 or driver.balancer.list_lease_ms(driver.now) > 0
            confirm(driver, called_at=called_at)


def test_an_agent_that_refuses_is_called_again_soon_however_long_the_grace_is() -> None:
    for drain_grace_ms in (200.0, 500.0, 5000.0):
        driver = start(drain_grace_ms=drain_grace_ms)
        for _ in range(20):
            driver.actions.clear()
            fail(driver, ListFailure.UNREACHABLE)
            [timer] = [action for action in driver.actions if isinstance(action, StartTimer)]
            assert timer.fires_at - driver.now <= min(drain_grace_ms / 4, 125.0)
            driver.run_timers(timer.fires_at - driver.now)


def test_no_client_is_moved_off_a_slow_endpoint_while_no_endpoint_can_take_it() -> None:
    driver = running()
    requests = [driver.request() for _ in range(40)]
    for request in requests:
        driver.establish(request)

    def report_delay() -> None:
        driver.handle_event(
            ConnectionSignal(
                request_id=requests[0],
                attempt=0,
                endpoint_id="a",
                kind=SignalKind.MESSAGE_DELAY,
                value=1000.0,
            )
        )

    driver.wait(LEASE_MS)
    report_delay()
    assert not driver.actions_of(MigrateConnection)
    confirm(driver)
    report_delay()
    assert driver.actions_of(MigrateConnection)


def test_a_reload_gives_a_pushed_list_no_more_time() -> None:
    """Guards against work for drained servers after SIGHUP while the agent is silent."""
    driver = running()
    driver.handle_event(DiscoveryChanged())
    assert driver.endpoint_of(driver.wait(LEASE_MS - 10.0).request()) == "a"
    assert driver.endpoint_of(driver.wait(20.0).request()) is None


@pytest.mark.parametrize("seed", range(20))
def test_no_sequence_of_faults_lets_a_pushed_list_be_used_past_the_grace_of_its_last_answer(
    seed: int,
) -> None:
    random = Random(seed)
    drain_grace_ms = random.choice([200.0, 250.0, 500.0, 2000.0])
    driver = start(seed, drain_grace_ms=drain_grace_ms)
    confirmed_at = driver.now - 400.0
    for _ in range(300):
        driver.run_timers(random.choice([5.0, 20.0, 100.0, 400.0]))
        event = random.choice(["confirm", "fail", "fail", "reload", "request", "request"])
        before = len(driver.actions_of(StartAttempt))
        if event == "confirm":
            confirmed_at = driver.now - random.choice([0.0, 1.0, 100.0])
            confirm(driver, called_at=confirmed_at)
        elif event == "fail":
            fail(driver, random.choice(list(ListFailure)), ended_watch=random.random() < 0.5)
        elif event == "reload":
            driver.handle_event(DiscoveryChanged())
        else:
            driver.request()
        if len(driver.actions_of(StartAttempt)) > before:
            assert driver.now <= confirmed_at + drain_grace_ms
