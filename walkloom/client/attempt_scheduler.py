"""Queues requests, and starts and ends attempts. No I/O.

An attempt starts when the admission gate of its class admits it, fewer than `Limits.setups` attempts are in
flight, and a balancer is available. Classes are served in the order of their priority.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from walkloom.client.balancer_pool import Balancer, BalancerPool
from walkloom.client.commands import Connect
from walkloom.client.context import ClientContext
from walkloom.client.errors import Rejected
from walkloom.client.request_class import RequestClass
from walkloom.client.request_results import RequestResults
from walkloom.client.session import Session, SessionState
from walkloom.client.settings import ClassPolicy

# timeout of an attempt, in latency objectives of its class, if a retry on another balancer could follow
RETRYABLE_ATTEMPT_TIMEOUT_FACTOR = 2.0


class AttemptScheduler:
    """Owns the queues of the classes and the attempts in flight.

    policies: the classes, highest priority first.
    """

    def __init__(
        self,
        context: ClientContext,
        policies: Sequence[ClassPolicy],
        pool: BalancerPool,
        results: RequestResults,
    ) -> None:
        self._context = context
        self._pool = pool
        self._results = results
        self.in_flight = 0
        self.classes = {
            policy.name: RequestClass(policy, context.random, context.limits.least_ms) for policy in policies
        }

    def class_of(self, session: Session) -> RequestClass:
        """Return the class of the session's requests."""
        return self.classes[session.policy.name]

    # Queued requests

    def begin_request(self, session: Session, now: float) -> None:
        """Begin a request; it ends with exactly one result."""
        self._context.counters.requests += 1
        session.begin_request(now, now + session.policy.request_timeout_ms)
        self.enqueue(session, now)

    def enqueue(self, session: Session, now: float) -> None:
        """Queue the request for its next attempt, or end it if that attempt could not finish in time."""
        request_class = self.class_of(session)
        closed_until = request_class.gate.closed_until
        latest_start = request_class.latest_start(session)
        session.state = SessionState.QUEUED
        if max(now, closed_until, session.not_before) >= latest_start:
            if closed_until > now:
                self._results.fail(session, now, Rejected(closed_until - now))
            else:
                self._results.time_out(session, now)
        elif now < session.not_before:
            self._context.timers.schedule(session, session.not_before)
        else:
            session.is_queued = True
            request_class.queue.append(session)
            self._context.timers.schedule(session, latest_start)

    def timer_fired(self, session: Session, now: float) -> None:
        """Handle the timer of a QUEUED session: the end of its backoff, or its latest start."""
        latest_start = self.class_of(session).latest_start(session)
        if session.is_queued and now < latest_start:  # the estimated set-up time has dropped since then
            self._context.timers.schedule(session, latest_start)
            return
        session.is_queued = False
        self.enqueue(session, now)

    def reject_late_requests(self, request_class: RequestClass, now: float) -> None:
        """Reject at once the queued requests that could not finish after the gate opens."""
        closed_until = request_class.gate.closed_until
        for session in list(request_class.queue):
            if session.is_queued and closed_until + request_class.min_attempt_ms > session.request_deadline:
                self._results.fail(session, now, Rejected(closed_until - now))

    # Start of attempts

    def start_attempts(self, now: float) -> None:
        """Start attempts while there is room and a balancer is available."""
        for request_class in self.classes.values():
            while request_class.queue and self._has_room(request_class, now):
                session = request_class.queue[0]
                if not session.is_queued:  # its request ended while it was queued
                    request_class.queue.popleft()
                    continue
                may_probe = self._may_probe(session, now)
                balancer = self._pool.acquire(now, session, session.attempted_balancers, may_probe)
                if balancer is None:
                    return  # not `break`: the available balancers do not depend on the class
                request_class.queue.popleft()
                session.is_queued = False
                self._start(session, request_class, balancer, now)

    def _has_room(self, request_class: RequestClass, now: float) -> bool:
        return self.in_flight < self._context.limits.setups and request_class.gate.admits(now)

    def _may_probe(self, session: Session, now: float) -> bool:
        time_left_ms = session.request_deadline - now
        return _has_attempts_left(session) and time_left_ms > _retryable_attempt_timeout_ms(session)

    def _start(self, session: Session, request_class: RequestClass, balancer: Balancer, now: float) -> None:
        session.begin_attempt(balancer, now, now + self._attempt_timeout_ms(session, balancer, now))
        self.in_flight += 1
        request_class.gate.in_flight += 1
        context = self._context
        context.counters.attempts += 1
        context.counters.retries += session.attempts > 1 or session.failed_reconnects > 0
        context.commands.append(Connect(session, session.connection_id, balancer.address))
        context.timers.schedule(session, min(now + context.limits.connect_ms, session.attempt_deadline))

    def _attempt_timeout_ms(self, session: Session, balancer: Balancer, now: float) -> float:
        """Return the time left, or less if a retry on another balancer could follow."""
        time_left_ms = session.request_deadline - now
        retryable_timeout_ms = _retryable_attempt_timeout_ms(session)
        has_time_for_retry = time_left_ms - retryable_timeout_ms > self.class_of(session).min_attempt_ms
        if _has_attempts_left(session) and has_time_for_retry and self._pool.has_alternative(balancer):
            return retryable_timeout_ms
        return time_left_ms

    # End of attempts

    def complete_attempt(self, session: Session) -> Balancer:
        """End the attempt in flight; its connection stays open."""
        balancer = session.balancer
        assert balancer
        self._pool.release(balancer)
        self.in_flight -= 1
        self.class_of(session).gate.in_flight -= 1
        session.balancer = None
        return balancer

    def close_attempt(self, session: Session) -> Balancer:
        """End the attempt in flight and its connection; the caller records its outcome in the pool."""
        balancer = self.complete_attempt(session)
        session.attempted_balancers = (*session.attempted_balancers, balancer)
        self._context.disconnect(session)
        return balancer

    def cancel_attempt(self, session: Session) -> Balancer:
        """Cancel the attempt in flight; this does not count against its balancer."""
        assert session.balancer
        self._pool.record_cancellation(session.balancer, session)
        return self.close_attempt(session)

    # Times of the next start

    def admits_reconnect(self, class_name: str, now: float) -> bool:
        """Whether a reconnect of that class may begin its request now.

        A queued request goes first: its deadline is already set. The deadline of a reconnect is set only when
        its request begins.
        """
        request_class = self.classes[class_name]
        has_room = self._has_room(request_class, now)
        return has_room and not request_class.queue and self._pool.has_available(now)

    def admitted_at(self, class_name: str, now: float) -> float:
        """Time at which a request of that class may start; infinite if that depends on an event."""
        request_class = self.classes[class_name]
        if request_class.gate.closed_until > now:
            return request_class.gate.closed_until
        if not self._has_room(request_class, now):
            return math.inf  # the end of another attempt allows the start
        return now if self._pool.has_available(now) else self._pool.next_probe_at()

    def next_start_at(self, now: float) -> float:
        """Time of the next `start_attempts` call; infinite if only an event can allow a start."""
        waiting = (name for name, request_class in self.classes.items() if request_class.queue)
        return min((self.admitted_at(name, now) for name in waiting), default=math.inf)


def _has_attempts_left(session: Session) -> bool:
    """Whether the request may make another attempt after its next one."""
    return session.attempts + 1 < session.policy.max_attempts


def _retryable_attempt_timeout_ms(session: Session) -> float:
    return RETRYABLE_ATTEMPT_TIMEOUT_FACTOR * session.policy.latency_objective_ms
