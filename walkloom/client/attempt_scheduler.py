"""Requests that wait for an attempt, and the start and end of attempts. No I/O.

An attempt starts when its class's gate admits it, fewer than `Limits.setups` are in flight, and a balancer
is available; classes go in the order of their priority.
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

# latency objectives that an attempt is given if another balancer could be asked after it
FIRST_ATTEMPT_OBJECTIVES = 2.0


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
        """The class of the session's requests."""
        return self.classes[session.policy.name]

    # Waiting

    def begin_request(self, session: Session, now: float) -> None:
        """Begin a request; it ends by one result."""
        self._context.counters.requests += 1
        session.begin_request(now, now + session.policy.request_timeout_ms)
        self.enqueue(session, now)

    def enqueue(self, session: Session, now: float) -> None:
        """Let the request wait for its next attempt, or end it if that would come too late."""
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
        """Handle the timer of a QUEUED session: its backoff, or its time for an attempt, is over."""
        latest_start = self.class_of(session).latest_start(session)
        if session.is_queued and now < latest_start:  # set-ups have become faster since
            self._context.timers.schedule(session, latest_start)
            return
        session.is_queued = False
        self.enqueue(session, now)

    def reject_late_requests(self, request_class: RequestClass, now: float) -> None:
        """Reject at once what is queued and cannot be in time after the gate opens."""
        closed_until = request_class.gate.closed_until
        for session in list(request_class.queue):
            if session.is_queued and closed_until + request_class.min_attempt_ms > session.request_deadline:
                self._results.fail(session, now, Rejected(closed_until - now))

    # Starting

    def start_attempts(self, now: float) -> None:
        """Start attempts while there is room and a balancer is available."""
        for request_class in self.classes.values():
            while request_class.queue and self._has_room(request_class, now):
                session = request_class.queue[0]
                if not session.is_queued:  # it ended, or was closed, while it waited
                    request_class.queue.popleft()
                    continue
                may_probe = self._may_probe(session, now)
                balancer = self._pool.acquire(now, session, session.attempted_balancers, may_probe)
                if balancer is None:
                    return  # for any class: which balancers are available does not depend on who asks
                request_class.queue.popleft()
                session.is_queued = False
                self._start(session, request_class, balancer, now)

    def _has_room(self, request_class: RequestClass, now: float) -> bool:
        return self.in_flight < self._context.limits.setups and request_class.gate.admits(now)

    def _may_probe(self, session: Session, now: float) -> bool:
        time_left_ms = session.request_deadline - now
        return _has_attempts_left(session) and time_left_ms > _first_attempt_ms(session)

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
        """All the time that is left, or less if a retry elsewhere could follow."""
        time_left_ms = session.request_deadline - now
        first_attempt_ms = _first_attempt_ms(session)
        time_for_another = time_left_ms - first_attempt_ms > self.class_of(session).min_attempt_ms
        if _has_attempts_left(session) and time_for_another and self._pool.has_alternative(balancer):
            return first_attempt_ms
        return time_left_ms

    # Ending

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
        """End the attempt in flight and its connection; the caller reports its outcome to the pool."""
        balancer = self.complete_attempt(session)
        session.attempted_balancers = (*session.attempted_balancers, balancer)
        self._context.disconnect(session)
        return balancer

    def cancel_attempt(self, session: Session) -> Balancer:
        """End the attempt in flight by the client's own will: it says nothing of its balancer."""
        assert session.balancer
        self._pool.record_cancellation(session.balancer, session)
        return self.close_attempt(session)

    # When to look again

    def admits_reconnect(self, class_name: str, now: float) -> bool:
        """Whether a reconnect of that class may begin its request now.

        A request that is queued goes first: that guards its deadline against reconnects, whose time has not
        begun.
        """
        request_class = self.classes[class_name]
        has_room = self._has_room(request_class, now)
        return has_room and not request_class.queue and self._pool.has_available(now)

    def admitted_at(self, class_name: str, now: float) -> float:
        """When a request of that class may start, as far as the clock decides it; else infinite."""
        request_class = self.classes[class_name]
        if request_class.gate.closed_until > now:
            return request_class.gate.closed_until
        if not self._has_room(request_class, now):
            return math.inf  # the end of an attempt starts it
        return now if self._pool.has_available(now) else self._pool.next_probe_at()

    def next_start_at(self, now: float) -> float:
        """When `start_attempts` should be called again; infinite if only an event can start one."""
        waiting = (name for name, request_class in self.classes.items() if request_class.queue)
        return min((self.admitted_at(name, now) for name in waiting), default=math.inf)


def _has_attempts_left(session: Session) -> bool:
    """Whether the request may make another attempt after its next one."""
    return session.attempts + 1 < session.policy.max_attempts


def _first_attempt_ms(session: Session) -> float:
    return FIRST_ATTEMPT_OBJECTIVES * session.policy.latency_objective_ms
