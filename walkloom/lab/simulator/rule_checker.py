"""Checks the actions of each balancer against the rules, given the drains that it was notified of."""

from __future__ import annotations

from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.experiment import DRAIN_GRACE_MS, MAX_ATTEMPTS
from walkloom.lab.simulator.models import ModelClient
from walkloom.lab.simulator.result import Result, RuleViolation
from walkloom.messages import EndpointId, EndpointListUpdate, Lifecycle

MAX_RECORDED_VIOLATIONS = (
    20  # further ones are only counted, because one cause can break a rule in every request
)


class RuleChecker:
    """The rules: at most three attempts, never two at once, and none after a server's drain grace."""

    def __init__(self, balancer_count: int, queue: EventQueue, result: Result) -> None:
        self._queue = queue
        self._result = result
        # for each balancer: the endpoints that are not ready, and when it was first notified of that
        self._unready_since_ms: list[dict[EndpointId, float]] = [{} for _ in range(balancer_count)]

    def record_violation(self, description: str) -> None:
        """Add a violation to the result."""
        self._result.violation_count += 1
        if len(self._result.violations) < MAX_RECORDED_VIOLATIONS:
            self._result.violations.append(RuleViolation(self._queue.elapsed_ms, description))

    def record_notification(self, balancer: int, update: EndpointListUpdate) -> None:
        """Record the endpoint states of which a balancer has just been notified."""
        unready = self._unready_since_ms[balancer]
        for endpoint in update.endpoints:
            if endpoint.lifecycle is Lifecycle.READY:
                unready.pop(endpoint.id, None)
            else:
                unready.setdefault(endpoint.id, self._queue.now_ms)

    def record_restart(self, balancer: int) -> None:
        """Discard what the previous process of a balancer was notified of."""
        self._unready_since_ms[balancer] = {}

    def unready_endpoints(self, balancer: int) -> dict[EndpointId, float]:
        """Return the endpoints that a balancer knows not to be ready, and since when (Unix ms)."""
        return self._unready_since_ms[balancer]

    def check_attempt(self, balancer: int, client: ModelClient, endpoint_id: EndpointId) -> None:
        """Check an attempt that a balancer starts; `client.attempts` already includes it."""
        if client.attempt_server is not None or client.connected_server is not None:
            self.record_violation(f"two attempts at once: request {client.request_id}")
        if client.attempts > MAX_ATTEMPTS:
            self.record_violation(f"attempt {client.attempts} of request {client.request_id}")
        unready_since_ms = self._unready_since_ms[balancer].get(endpoint_id)
        if unready_since_ms is None:
            return
        late_ms = self._queue.now_ms - unready_since_ms
        if self._queue.now_ms > unready_since_ms + DRAIN_GRACE_MS:
            self.record_violation(f"attempt at {endpoint_id} {late_ms:.0f} ms after notice of its drain")
