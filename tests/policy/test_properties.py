"""Random valid sequences of events: the four rules, checked on the actions alone; the README's example."""

from __future__ import annotations

import re
from pathlib import Path

from hypothesis import HealthCheck, Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from tests.helpers import BalancerDriver
from walkloom.messages import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionSignal,
    DeduplicationScope,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Lifecycle,
    Reject,
    Request,
    RequestClass,
    RequestId,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
)

CLASSES = (
    RequestClass(latency_objective_ms=500.0, message_latency_objective_ms=100.0),
    RequestClass(
        latency_objective_ms=300.0,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=900.0,
    ),
    RequestClass(
        latency_objective_ms=300.0,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=900.0,
    ),
    RequestClass(
        latency_objective_ms=300.0, idempotency=Idempotency.NOT_IDEMPOTENT, message_latency_objective_ms=50.0
    ),
)
NEVER_RAN = (AttemptStatus.AT_CAPACITY, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
DRAIN_GRACE_MS, OVERLOAD_FACTOR = 400.0, 3.0


class World:
    """Records the events and actions of a balancer, and checks the rules after every event."""

    def __init__(self, seed: int, zones: int) -> None:
        self.driver = BalancerDriver(
            seed,
            request_classes=CLASSES,
            drain_grace_ms=DRAIN_GRACE_MS,
            zone_count=zones,
            balancer_count=3,
            slow_start_ms=8000.0,
        )
        self.told: dict[EndpointId, float] = {}  # when the balancer was notified of a drain or removal
        self.lines: dict[EndpointId, Endpoint] = {}
        self.open: dict[RequestId, Request] = {}
        self.out: dict[RequestId, EndpointId] = {}  # request -> server of its running attempt
        self.deadline: dict[RequestId, float] = {}
        self.sent_at: dict[RequestId, float] = {}
        self.may_have_run: dict[RequestId, tuple[float, Endpoint]] = {}
        self.up: dict[RequestId, EndpointId] = {}  # request -> server of its established connection
        self.answered: set[RequestId] = set()
        self.cold_attempts: dict[EndpointId, list[float]] = {}

    def give(self, event: Event) -> None:
        for a in self.driver.handle_event(event):
            if isinstance(a, StartAttempt):
                self.check_attempt(a)
            elif isinstance(a, Reject | Fail):
                assert (
                    a.request_id not in self.answered
                    and a.request_id in self.open
                    and a.request_id not in self.out
                )
                assert self.driver.now <= self.deadline[a.request_id] + 8.0
                class_settings = CLASSES[self.open[a.request_id].request_class]
                if isinstance(a, Reject) and a.request_id in self.may_have_run:
                    assert class_settings.idempotency is Idempotency.IDEMPOTENT
                self.close(a.request_id)

    def check_attempt(self, a: StartAttempt) -> None:
        now = self.driver.now
        # rule 1: never two attempts at once
        assert a.request_id in self.open and a.request_id not in self.out and a.request_id not in self.up
        assert len(self.driver.attempts[a.request_id]) <= 4
        assert a.endpoint_id in self.lines
        if a.endpoint_id in self.told:
            assert now <= self.told[a.endpoint_id] + DRAIN_GRACE_MS  # rule 3
        entry, class_settings = self.lines[a.endpoint_id], CLASSES[self.open[a.request_id].request_class]
        if a.request_id in self.may_have_run:  # rule 2
            ran_at, ran_on = self.may_have_run[a.request_id]
            assert class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT
            if class_settings.idempotency is Idempotency.WITH_KEY:
                assert now < ran_at + class_settings.deduplication_window_ms
                zones = class_settings.deduplication_scope is DeduplicationScope.ZONE
                assert entry.zone == ran_on.zone if zones else entry.cell == ran_on.cell
        if entry.started_at and now - entry.started_at < 8000.0:  # rule 4: this balancer's share
            sends = self.cold_attempts.setdefault(a.endpoint_id, [])
            sends.append(now)
            # in a window, at most the multiple of the attempts that give a server as many connections as this
            # balancer holds; a fraction of an attempt is rounded at random, which may give one more
            max_sends = 1.0 + OVERLOAD_FACTOR * self.max_connections() / 8000.0 * 1000.0
            assert sum(1 for t in sends if t > now - 1000.0) <= max_sends
        self.out[a.request_id], self.sent_at[a.request_id] = a.endpoint_id, now

    def max_connections(self) -> float:
        return float(len(self.driver.attempts))

    def close(self, rid: RequestId) -> None:
        self.answered.add(rid)
        del self.open[rid]

    def outcome(self, rid: RequestId, status: AttemptStatus) -> None:
        server = self.out.pop(rid) if rid in self.out else self.up.pop(rid, None)
        if server is None:
            return
        closed = rid not in self.open or status is AttemptStatus.OK
        if not closed and status not in NEVER_RAN:
            self.may_have_run.setdefault(rid, (self.sent_at[rid], self.lines[server]))
        if closed and rid in self.open:
            self.close(rid)
        number = len(self.driver.attempts[rid]) - 1
        self.give(
            AttemptEnded(
                request_id=rid,
                attempt=number,
                endpoint_id=server,
                status=status,
                elapsed_ms=30.0,
                request_closed=closed,
            )
        )

    def established(self, rid: RequestId) -> None:
        if rid in self.out and rid in self.open:
            self.up[rid] = self.out.pop(rid)
            self.close(rid)
            self.give(
                AttemptEstablished(
                    request_id=rid,
                    attempt=len(self.driver.attempts[rid]) - 1,
                    endpoint_id=self.up[rid],
                    elapsed_ms=30.0,
                )
            )

    def wait(self, ms: float) -> None:
        end = self.driver.now + ms
        while True:
            timers = [a for a in self.driver.actions if isinstance(a, StartTimer)]
            first = min((a.fires_at for a in timers), default=end)
            limit = min((self.deadline[r] for r in self.out if r in self.open), default=end)
            if min(first, limit) >= end:
                break
            if limit <= first:
                self.driver.now = max(self.driver.now, limit)
                rid = next(r for r in self.out if r in self.open and self.deadline[r] == limit)
                self.outcome(rid, AttemptStatus.TIMED_OUT)
            else:
                timer = next(a for a in timers if a.fires_at == first)
                self.driver.actions.remove(timer)
                self.driver.now = max(self.driver.now, first)
                self.give(TimerFired(timer.token))
        self.driver.now = end
        for rid in self.open:
            assert self.deadline[rid] + 8.0 > end, "no answer before the deadline"


STEPS = st.lists(
    st.tuples(st.integers(0, 12), st.integers(0, 7), st.integers(0, 3), st.floats(0.0, 1500.0)),
    min_size=40,
    max_size=80,
)


# The examples are derived from the text of this function (derandomize): any change of it draws others.
@profile(
    max_examples=200,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**32), st.integers(1, 3), STEPS)
def test_rules_hold_on_random_legal_rounds(
    seed: int, zones: int, steps: list[tuple[int, int, int, float]]
) -> None:
    w = World(seed, zones)

    def tell(kind: UpdateKind, *lines: Endpoint) -> None:
        if kind is not UpdateKind.INCREMENTAL:
            for gone in set(w.lines) - {x.id for x in lines}:
                w.told.setdefault(gone, w.driver.now)
        for line in lines:
            w.lines[line.id] = line
            if line.lifecycle is Lifecycle.READY:
                w.told.pop(line.id, None)
            else:
                w.told.setdefault(line.id, w.driver.now)
        w.give(EndpointListUpdate(kind, lines))

    tell(UpdateKind.CACHED, *(Endpoint(n, zone=n % zones, cell=n // 2) for n in range(6)))
    for number, (what, n, extra, ms) in enumerate(steps):
        rids = [*w.out, *w.up]
        rid = rids[n % len(rids)] if rids else None
        if what <= 3:
            for copy in range(1 + 8 * (what == 3)):
                new, patience = (number, copy), 200.0 + ms
                request = Request(new, extra, w.driver.now + patience, affinity_group=n % 3 or None)
                w.open[new], w.deadline[new] = request, w.driver.now + patience
                w.give(request)
        elif what == 4:
            w.wait(ms)
        elif what == 5 and rid is not None:
            w.established(rid)
        elif what == 6 and rid is not None:
            w.outcome(rid, AttemptStatus(n))
        elif what == 7:
            state = Lifecycle(extra % 3)
            since = w.driver.now - ms if extra == 3 else 0.0
            line = Endpoint(
                n, zone=n % zones, cell=n // 2, lifecycle=Lifecycle.READY if extra == 3 else state
            )
            tell(UpdateKind.INCREMENTAL, line._replace(started_at=since), line._replace(started_at=since))
        elif what == 8 and rid in w.open and rid is not None:
            w.close(rid)
            w.give(ClientDisconnected(rid))
        elif what == 10:
            for out in list(w.out):
                w.outcome(out, AttemptStatus.ERROR if n % 2 else AttemptStatus.TIMED_OUT)
        elif what == 11 and n < 3:
            tell(
                UpdateKind.INCREMENTAL, *(x._replace(lifecycle=Lifecycle.DRAINING) for x in w.lines.values())
            )
        elif what == 12:
            w.wait(ms / 10)
        elif what == 9 and rid in w.up and rid is not None:
            at = len(w.driver.attempts[rid]) - 1
            w.give(
                ConnectionSignal(request_id=rid, attempt=at, endpoint_id=w.up[rid], kind=1 + n % 2, value=ms)
            )
    w.wait(4000.0)
    assert not w.open


def test_the_readmes_example_runs() -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text()
    code = next(block for block in re.findall(r"```python\n(.*?)```", text, re.S) if "Balancer(" in block)
    exec(code, {})
