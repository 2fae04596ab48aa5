"""A driver for one balancer: passes events in and records the actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from walkloom.balancer import Balancer
from walkloom.messages import (
    Action,
    AffinityGroup,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientKey,
    ConnectionSignal,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    LoadReportReceived,
    PollLoadReport,
    Request,
    RequestClass,
    RequestId,
    Settings,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
)

ActionType = TypeVar("ActionType")
POLLED_LOAD_REPORTS: dict[str, Any] = {
    "server_reports_latency": False,
    "load_reports_available": True,
    "load_report_load_index": 1,
    "load_report_connections_index": 0,
}
IDEMPOTENT_CLASS = RequestClass(latency_objective_ms=500.0, message_latency_objective_ms=100.0)
BASE_SETTINGS = Settings(
    request_classes=(IDEMPOTENT_CLASS,),
    drain_grace_ms=1000.0,
    answer_grace_ms=8.0,
    max_attempts=4,
    tick_ms=2.0,
    affinity_groups=True,
    slow_start_min_capacity=0.3,
    slow_start_ms=10_000.0,
    cold_overload_factor=3.0,
    cold_overload_window_ms=1000.0,
)


def settings(**changes: object) -> Settings:
    return replace(BASE_SETTINGS, **changes)  # type: ignore[arg-type]


class BalancerDriver:
    """Only the test answers attempts; only wait() and run_timers() advance the time."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000_000.0
        self.actions: list[Action] = []
        self.attempts: dict[RequestId, list[StartAttempt]] = {}
        self.request_count = 0
        self.loads: dict[EndpointId, float] = {}  # the loads that endpoints report at once when polled

    def handle_event(self, event: Event) -> list[Action]:
        new_actions = self.balancer.handle(event, self.now)
        self.actions += new_actions
        for a in new_actions:
            if isinstance(a, StartAttempt):
                self.attempts.setdefault(a.request_id, []).append(a)
            if isinstance(a, PollLoadReport) and a.endpoint_id in self.loads:
                self.handle_event(
                    LoadReportReceived(
                        endpoint_id=a.endpoint_id,
                        status=AttemptStatus.OK,
                        elapsed_ms=1.0,
                        load_report=(0.0, self.loads[a.endpoint_id]),
                    )
                )
        return new_actions

    def wait(self, ms: float) -> BalancerDriver:
        self.now += ms
        return self

    def update_list(self, *servers: Endpoint, kind: UpdateKind = UpdateKind.SNAPSHOT) -> list[Action]:
        return self.handle_event(EndpointListUpdate(kind, servers))

    def request(
        self,
        request_class: int = 0,
        deadline_in_ms: float = 3000.0,
        group: AffinityGroup = None,
        client: ClientKey = None,
    ) -> RequestId:
        self.request_count += 1
        self.handle_event(
            Request(
                self.request_count,
                request_class,
                self.now + deadline_in_ms,
                affinity_group=group,
                client_key=client,
            )
        )
        return self.request_count

    def endpoint_of(self, rid: RequestId) -> EndpointId:
        """Return the endpoint of the request's newest attempt; None: no attempt."""
        attempts = self.attempts.get(rid)
        return attempts[-1].endpoint_id if attempts else None

    def establish(self, rid: RequestId, duration_ms: float = 20.0) -> list[Action]:
        started = self.attempts[rid][-1]
        return self.handle_event(
            AttemptEstablished(
                request_id=rid,
                attempt=len(self.attempts[rid]) - 1,
                endpoint_id=started.endpoint_id,
                elapsed_ms=duration_ms,
            )
        )

    def end_attempt(
        self, rid: RequestId, status: AttemptStatus, is_closed: bool = False, duration_ms: float = 20.0
    ) -> list[Action]:
        started = self.attempts[rid][-1]
        return self.handle_event(
            AttemptEnded(
                request_id=rid,
                attempt=len(self.attempts[rid]) - 1,
                endpoint_id=started.endpoint_id,
                status=status,
                elapsed_ms=duration_ms,
                request_closed=is_closed,
            )
        )

    def run_timers(self, ms: float) -> None:
        """Advance the time by `ms`; every timer fires when it is due."""
        end = self.now + ms
        while True:
            due = [a for a in self.actions if isinstance(a, StartTimer) and a.fires_at <= end]
            if not due:
                break
            first = min(due, key=lambda timer: timer.fires_at)
            self.actions.remove(first)
            self.now = max(self.now, first.fires_at)
            self.handle_event(TimerFired(first.token))
        self.now = end

    def actions_of(self, kind: type[ActionType]) -> list[ActionType]:
        return [a for a in self.actions if isinstance(a, kind)]


def report_delay(driver: BalancerDriver, rid: RequestId, delay: float) -> list[Action]:
    server = driver.attempts[rid][-1].endpoint_id
    return driver.handle_event(
        ConnectionSignal(
            request_id=rid,
            attempt=len(driver.attempts[rid]) - 1,
            endpoint_id=server,
            kind=SignalKind.MESSAGE_DELAY,
            value=delay,
        )
    )
