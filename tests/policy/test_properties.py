"""Random valid sequences of events: the four rules, checked on the actions alone; the README's example."""

from __future__ import annotations

import re
from pathlib import Path

from hypothesis import HealthCheck, Phase, given
from hypothesis import seed as hypothesis_seed
from hypothesis import settings as hypothesis_settings
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
NOT_RUN_STATUSES = (AttemptStatus.AT_CAPACITY, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
DRAIN_GRACE_MS, OVERLOAD_FACTOR = 400.0, 3.0

# Draws the examples that Hypothesis derived from the text of the test before the names in it changed.
EXAMPLES_SEED = int(
    "2555156283266308975243477569902325935366116189490367331681"
    "5376741569577411776308011016026446610755752555332243303795"
)


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
        # When the balancer was notified of the drain or removal of each endpoint.
        self.notified_at: dict[EndpointId, float] = {}
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.open_requests: dict[RequestId, Request] = {}
        # The endpoint of each running attempt, by request.
        self.running: dict[RequestId, EndpointId] = {}
        self.deadlines: dict[RequestId, float] = {}
        self.attempt_started_at: dict[RequestId, float] = {}
        # When and on which endpoint each request first ran or may have run.
        self.may_have_run: dict[RequestId, tuple[float, Endpoint]] = {}
        # The endpoint of each established connection, by request.
        self.connections: dict[RequestId, EndpointId] = {}
        self.answered: set[RequestId] = set()
        self.cold_attempts: dict[EndpointId, list[float]] = {}

    def handle_event(self, event: Event) -> None:
        for action in self.driver.handle_event(event):
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, Reject | Fail):
                assert (
                    action.request_id not in self.answered
                    and action.request_id in self.open_requests
                    and action.request_id not in self.running
                )
                assert self.driver.now <= self.deadlines[action.request_id] + 8.0
                class_settings = CLASSES[self.open_requests[action.request_id].request_class]
                if isinstance(action, Reject) and action.request_id in self.may_have_run:
                    assert class_settings.idempotency is Idempotency.IDEMPOTENT
                self.close_request(action.request_id)

    def check_attempt(self, action: StartAttempt) -> None:
        now = self.driver.now
        # rule 1: never two attempts at once
        assert (
            action.request_id in self.open_requests
            and action.request_id not in self.running
            and action.request_id not in self.connections
        )
        assert len(self.driver.attempts[action.request_id]) <= 4
        assert action.endpoint_id in self.endpoints
        if action.endpoint_id in self.notified_at:
            assert now <= self.notified_at[action.endpoint_id] + DRAIN_GRACE_MS  # rule 3
        endpoint, class_settings = (
            self.endpoints[action.endpoint_id],
            CLASSES[self.open_requests[action.request_id].request_class],
        )
        if action.request_id in self.may_have_run:  # rule 2
            ran_at, ran_on = self.may_have_run[action.request_id]
            assert class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT
            if class_settings.idempotency is Idempotency.WITH_KEY:
                assert now < ran_at + class_settings.deduplication_window_ms
                is_zone_scope = class_settings.deduplication_scope is DeduplicationScope.ZONE
                assert endpoint.zone == ran_on.zone if is_zone_scope else endpoint.cell == ran_on.cell
        if endpoint.started_at and now - endpoint.started_at < 8000.0:  # rule 4: this balancer's share
            attempts_at = self.cold_attempts.setdefault(action.endpoint_id, [])
            attempts_at.append(now)
            # in a window, at most the multiple of the attempts that give a server as many connections as this
            # balancer holds; a fraction of an attempt is rounded at random, which may give one more
            max_attempts = 1.0 + OVERLOAD_FACTOR * self.max_connections() / 8000.0 * 1000.0
            assert sum(1 for started_at in attempts_at if started_at > now - 1000.0) <= max_attempts
        self.running[action.request_id], self.attempt_started_at[action.request_id] = action.endpoint_id, now

    def max_connections(self) -> float:
        return float(len(self.driver.attempts))

    def close_request(self, request_id: RequestId) -> None:
        self.answered.add(request_id)
        del self.open_requests[request_id]

    def end_attempt(self, request_id: RequestId, status: AttemptStatus) -> None:
        endpoint_id = (
            self.running.pop(request_id)
            if request_id in self.running
            else self.connections.pop(request_id, None)
        )
        if endpoint_id is None:
            return
        is_closed = request_id not in self.open_requests or status is AttemptStatus.OK
        if not is_closed and status not in NOT_RUN_STATUSES:
            self.may_have_run.setdefault(
                request_id, (self.attempt_started_at[request_id], self.endpoints[endpoint_id])
            )
        if is_closed and request_id in self.open_requests:
            self.close_request(request_id)
        attempt = len(self.driver.attempts[request_id]) - 1
        self.handle_event(
            AttemptEnded(
                request_id=request_id,
                attempt=attempt,
                endpoint_id=endpoint_id,
                status=status,
                elapsed_ms=30.0,
                request_closed=is_closed,
            )
        )

    def establish(self, request_id: RequestId) -> None:
        if request_id in self.running and request_id in self.open_requests:
            self.connections[request_id] = self.running.pop(request_id)
            self.close_request(request_id)
            self.handle_event(
                AttemptEstablished(
                    request_id=request_id,
                    attempt=len(self.driver.attempts[request_id]) - 1,
                    endpoint_id=self.connections[request_id],
                    elapsed_ms=30.0,
                )
            )

    def wait(self, ms: float) -> None:
        end = self.driver.now + ms
        while True:
            timers = [a for a in self.driver.actions if isinstance(a, StartTimer)]
            next_timer_at = min((a.fires_at for a in timers), default=end)
            next_deadline = min(
                (self.deadlines[rid] for rid in self.running if rid in self.open_requests), default=end
            )
            if min(next_timer_at, next_deadline) >= end:
                break
            if next_deadline <= next_timer_at:
                self.driver.now = max(self.driver.now, next_deadline)
                request_id = next(
                    rid
                    for rid in self.running
                    if rid in self.open_requests and self.deadlines[rid] == next_deadline
                )
                self.end_attempt(request_id, AttemptStatus.TIMED_OUT)
            else:
                timer = next(a for a in timers if a.fires_at == next_timer_at)
                self.driver.actions.remove(timer)
                self.driver.now = max(self.driver.now, next_timer_at)
                self.handle_event(TimerFired(timer.token))
        self.driver.now = end
        for request_id in self.open_requests:
            assert self.deadlines[request_id] + 8.0 > end, "no answer before the deadline"


STEPS = st.lists(
    st.tuples(st.integers(0, 12), st.integers(0, 7), st.integers(0, 3), st.floats(0.0, 1500.0)),
    min_size=40,
    max_size=80,
)


@hypothesis_seed(EXAMPLES_SEED)
@hypothesis_settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 2**32), st.integers(1, 3), STEPS)
def test_rules_hold_on_random_valid_event_sequences(
    seed: int, zones: int, steps: list[tuple[int, int, int, float]]
) -> None:
    world = World(seed, zones)

    def update_list(kind: UpdateKind, *endpoints: Endpoint) -> None:
        if kind is not UpdateKind.INCREMENTAL:
            for removed in set(world.endpoints) - {endpoint.id for endpoint in endpoints}:
                world.notified_at.setdefault(removed, world.driver.now)
        for endpoint in endpoints:
            world.endpoints[endpoint.id] = endpoint
            if endpoint.lifecycle is Lifecycle.READY:
                world.notified_at.pop(endpoint.id, None)
            else:
                world.notified_at.setdefault(endpoint.id, world.driver.now)
        world.handle_event(EndpointListUpdate(kind, endpoints))

    update_list(
        UpdateKind.CACHED,
        *(Endpoint(endpoint_id, zone=endpoint_id % zones, cell=endpoint_id // 2) for endpoint_id in range(6)),
    )
    for step_number, (action, number, option, duration_ms) in enumerate(steps):
        request_ids = [*world.running, *world.connections]
        request_id = request_ids[number % len(request_ids)] if request_ids else None
        if action <= 3:
            for copy in range(1 + 8 * (action == 3)):
                new_id, timeout_ms = (step_number, copy), 200.0 + duration_ms
                request = Request(
                    new_id, option, world.driver.now + timeout_ms, affinity_group=number % 3 or None
                )
                world.open_requests[new_id], world.deadlines[new_id] = request, world.driver.now + timeout_ms
                world.handle_event(request)
        elif action == 4:
            world.wait(duration_ms)
        elif action == 5 and request_id is not None:
            world.establish(request_id)
        elif action == 6 and request_id is not None:
            world.end_attempt(request_id, AttemptStatus(number))
        elif action == 7:
            lifecycle = Lifecycle(option % 3)
            started_at = world.driver.now - duration_ms if option == 3 else 0.0
            endpoint = Endpoint(
                number,
                zone=number % zones,
                cell=number // 2,
                lifecycle=Lifecycle.READY if option == 3 else lifecycle,
            )
            update_list(
                UpdateKind.INCREMENTAL,
                endpoint._replace(started_at=started_at),
                endpoint._replace(started_at=started_at),
            )
        elif action == 8 and request_id in world.open_requests and request_id is not None:
            world.close_request(request_id)
            world.handle_event(ClientDisconnected(request_id))
        elif action == 10:
            for running_id in list(world.running):
                world.end_attempt(running_id, AttemptStatus.ERROR if number % 2 else AttemptStatus.TIMED_OUT)
        elif action == 11 and number < 3:
            update_list(
                UpdateKind.INCREMENTAL,
                *(endpoint._replace(lifecycle=Lifecycle.DRAINING) for endpoint in world.endpoints.values()),
            )
        elif action == 12:
            world.wait(duration_ms / 10)
        elif action == 9 and request_id in world.connections and request_id is not None:
            attempt = len(world.driver.attempts[request_id]) - 1
            world.handle_event(
                ConnectionSignal(
                    request_id=request_id,
                    attempt=attempt,
                    endpoint_id=world.connections[request_id],
                    kind=1 + number % 2,
                    value=duration_ms,
                )
            )
    world.wait(4000.0)
    assert not world.open_requests


def test_the_readmes_example_runs() -> None:
    text = (Path(__file__).parents[2] / "README.md").read_text()
    code = next(block for block in re.findall(r"```python\n(.*?)```", text, re.S) if "Balancer(" in block)
    exec(code, {})
