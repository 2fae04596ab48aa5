"""Handles the outcome of attempts: answers, failures and timeouts. No I/O.

A request without an answer is retried, on another balancer if possible, while its deadline, its number of
attempts and the retry budget allow it.
"""

from __future__ import annotations

from walkloom.client.attempt_scheduler import AttemptScheduler
from walkloom.client.balancer_pool import Balancer, BalancerPool
from walkloom.client.commands import Write
from walkloom.client.context import ClientContext, logger
from walkloom.client.errors import ClientError, Failed, ProtocolError, Rejected
from walkloom.client.established import EstablishedSessions
from walkloom.client.request_results import RequestResults
from walkloom.client.session import Session, SessionState
from walkloom.client.wire import BusyAnswer, EstablishedAnswer, MalformedAnswer, encode_opening_line

MIN_ANSWER_MS = 1.0  # with less time left no answer can arrive in time; the timer ends the attempt
REQUEST_ID_BITS = 64


class AttemptHandler:
    """Handles the events of sessions that are CONNECTING."""

    def __init__(
        self,
        context: ClientContext,
        pool: BalancerPool,
        scheduler: AttemptScheduler,
        results: RequestResults,
        established: EstablishedSessions,
    ) -> None:
        self._context = context
        self._pool = pool
        self._scheduler = scheduler
        self._results = results
        self._established = established

    # Events

    def connection_made(self, session: Session, now: float) -> None:
        """Send the opening line."""
        time_left_ms = session.attempt_deadline - now
        if time_left_ms < MIN_ANSWER_MS:
            return
        line = encode_opening_line(
            session.attributes,
            self._context.random.getrandbits(REQUEST_ID_BITS),
            int(time_left_ms),
            is_retry=session.attempts > 1,
            is_reconnect=session.was_established,
        )
        self._context.commands.append(Write(session, session.connection_id, line))
        self._context.timers.schedule(session, session.attempt_deadline)

    def data_received(self, session: Session, data: bytes, now: float) -> None:
        """Handle the answer, if it is complete."""
        if now >= session.attempt_deadline:
            self._handle_late_answer(session, now)
            return
        try:
            answer = session.receive_answer(data, now)
        except ProtocolError as error:
            self._handle_protocol_error(session, error, now)
            return
        if answer is None:
            return
        self._record_answer(session)
        match answer:
            case EstablishedAnswer():
                self._handle_established(session, now)
            case BusyAnswer(retry_after_ms):
                self._handle_rejection(session, now, retry_after_ms)
            case MalformedAnswer(line):
                balancer = self._scheduler.close_attempt(session)
                self._retry_after_backoff(
                    session, now, f"unexpected answer of the balancer: {line!r}", balancer
                )

    def connection_failed(self, session: Session, now: float, reason: str) -> None:
        """Handle an attempt without any answer; this counts against its balancer."""
        balancer = self._scheduler.close_attempt(session)
        if self._pool.record_failure(balancer, session, now):
            self._context.counters.ejections += 1
            logger.warning("balancer_ejected address=%s:%d reason=%r", *balancer.address, reason)
        self._retry_after_backoff(session, now, reason, balancer)

    def timer_fired(self, session: Session, now: float) -> None:
        """Handle the connect timeout or the deadline of the attempt."""
        if now < session.attempt_deadline:
            connect_ms = self._context.limits.connect_ms
            self.connection_failed(session, now, f"no connection within {connect_ms:.0f} ms")
            return
        counters = self._context.counters
        counters.max_late_ms = max(counters.max_late_ms, now - session.attempt_deadline)
        if now - session.attempt_started_at >= session.policy.latency_objective_ms:
            self.connection_failed(session, now, "no answer")
            return
        # not a failure: a healthy balancer may need more than the short time that was left
        balancer = self._scheduler.cancel_attempt(session)
        self._retry_after_backoff(
            session, now, "no answer in the short time left before the deadline", balancer
        )

    # Answers

    def _record_answer(self, session: Session) -> None:
        assert session.balancer
        if self._pool.record_answer(session.balancer):
            logger.info("balancer_restored address=%s:%d", *session.balancer.address)

    def _handle_late_answer(self, session: Session, now: float) -> None:
        """Fail the attempt whose answer came after its deadline; the balancer still counts as reachable."""
        assert session.balancer
        self._pool.record_answer(session.balancer)
        balancer = self._scheduler.close_attempt(session)
        self._retry_after_backoff(
            session, now, "the answer arrived after the deadline of the attempt", balancer
        )

    def _handle_established(self, session: Session, now: float) -> None:
        self._scheduler.complete_attempt(session)
        request_class = self._scheduler.class_of(session)
        request_class.gate.record_success(now)
        request_class.record_setup_time(now - session.attempt_started_at)
        self._context.retry_budget.record_success(now)
        self._results.succeed(session, now)
        if session.state is SessionState.BACKING_OFF:  # the answer and a migration arrived in the same read
            self._established.migrate(session, now)

    def _handle_rejection(self, session: Session, now: float, retry_after_ms: float | None) -> None:
        self._scheduler.close_attempt(session)
        request_class = self._scheduler.class_of(session)
        gate = request_class.gate
        if gate.record_rejection(now, retry_after_ms):
            self._context.counters.gate_closures += 1
            logger.info(
                "admission_gate_closed class=%s ms=%.0f", session.policy.name, gate.closed_until - now
            )
            self._scheduler.reject_late_requests(request_class, now)
        error = Rejected(max(gate.closed_until - now, 0.0))
        self._retry(session, now, gate.closed_until, error)

    def _handle_protocol_error(self, session: Session, error: ProtocolError, now: float) -> None:
        """End the request without a retry: the peer does not speak the line protocol."""
        logger.warning("session_protocol_error session=%s error=%r", session.name, str(error))
        self._scheduler.cancel_attempt(session)
        self._results.fail(session, now, Failed(str(error)), is_final=True)

    # Retries

    def _retry_after_backoff(self, session: Session, now: float, reason: str, balancer: Balancer) -> None:
        """Retry after a backoff, which doubles only if no other balancer is available."""
        limits = self._context.limits
        ceiling_ms = limits.backoff_ms
        if not self._pool.has_alternative(balancer):
            ceiling_ms = min(ceiling_ms * 2.0 ** (session.attempts - 1), limits.backoff_most_ms)
        self._retry(session, now, now + self._context.random.random() * ceiling_ms, Failed(reason))

    def _retry(self, session: Session, now: float, not_before: float, error: ClientError) -> None:
        """Queue another attempt of the request, or end the request at once with the error."""
        if now >= session.request_deadline:
            self._results.time_out(session, now)
            return
        min_attempt_ms = self._scheduler.class_of(session).min_attempt_ms
        is_too_late = not_before + min_attempt_ms > session.request_deadline
        if session.attempts >= session.policy.max_attempts or is_too_late:
            self._results.fail(session, now, error)
            return
        if not self._context.retry_budget.try_reserve(now):
            self._context.counters.budget_exhausted += 1
            self._results.fail(session, now, error)
            return
        session.has_reserved_retry = True
        session.not_before = not_before
        self._scheduler.enqueue(session, now)
