"""A driver for one balancer: hands events in, keeps what came out."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from walkloom.balancer import Balancer
from walkloom.messages import (
    Action,
    AffinityGroup,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientKey,
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
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
)

A = TypeVar("A")
SAFE = RequestClass(latency_objective_ms=500.0, message_latency_objective_ms=100.0)
BASE = Settings(
    request_classes=(SAFE,),
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
    return replace(BASE, **changes)  # type: ignore[arg-type]


class Rig:
    """Answers come only from the test; time moves only by at()."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 1_000_000.0
        self.actions: list[Action] = []
        self.sends: dict[RequestId, list[StartAttempt]] = {}
        self.number = 0
        self.loads: dict[EndpointId, float] = {}  # what servers answer at once when asked for their load

    def give(self, event: Event) -> list[Action]:
        got = self.balancer.handle(event, self.now)
        self.actions += got
        for a in got:
            if isinstance(a, StartAttempt):
                self.sends.setdefault(a.request_id, []).append(a)
            if isinstance(a, PollLoadReport) and a.endpoint_id in self.loads:
                self.give(
                    LoadReportReceived(
                        endpoint_id=a.endpoint_id,
                        status=AttemptStatus.OK,
                        elapsed_ms=1.0,
                        load_report=(0.0, self.loads[a.endpoint_id]),
                    )
                )
        return got

    def at(self, ms: float) -> Rig:
        self.now += ms
        return self

    def update_list(self, *servers: Endpoint, kind: UpdateKind = UpdateKind.SNAPSHOT) -> list[Action]:
        return self.give(EndpointListUpdate(kind, servers))

    def request(
        self, cls: int = 0, patience: float = 3000.0, group: AffinityGroup = None, key: ClientKey = None
    ) -> RequestId:
        self.number += 1
        self.give(Request(self.number, cls, self.now + patience, affinity_group=group, client_key=key))
        return self.number

    def where(self, rid: RequestId) -> EndpointId:
        """The server of the request's newest attempt; None where it has none."""
        sends = self.sends.get(rid)
        return sends[-1].endpoint_id if sends else None

    def up(self, rid: RequestId, elapsed: float = 20.0) -> list[Action]:
        send = self.sends[rid][-1]
        return self.give(
            AttemptEstablished(
                request_id=rid,
                attempt=len(self.sends[rid]) - 1,
                endpoint_id=send.endpoint_id,
                elapsed_ms=elapsed,
            )
        )

    def end(
        self, rid: RequestId, status: AttemptStatus, closed: bool = False, elapsed: float = 20.0
    ) -> list[Action]:
        send = self.sends[rid][-1]
        return self.give(
            AttemptEnded(
                request_id=rid,
                attempt=len(self.sends[rid]) - 1,
                endpoint_id=send.endpoint_id,
                status=status,
                elapsed_ms=elapsed,
                request_closed=closed,
            )
        )

    def timers(self, ms: float) -> None:
        """Lets time pass in which every timer fires when due."""
        end = self.now + ms
        while True:
            due = [a for a in self.actions if isinstance(a, StartTimer) and a.fires_at <= end]
            if not due:
                break
            first = min(due, key=lambda a: a.fires_at)
            self.actions.remove(first)
            self.now = max(self.now, first.fires_at)
            self.give(TimerFired(first.token))
        self.now = end

    def got(self, kind: type[A]) -> list[A]:
        return [a for a in self.actions if isinstance(a, kind)]
