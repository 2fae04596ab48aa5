"""Reconnects, from the loss of an established connection to the next request of its session. No I/O.

A session joins the pacer at the end of its backoff. A reconnect after a failed request is a retry and needs
the retry budget. Sessions are also ended here, because that removes them from the pacer and the budget.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from walkloom.client.context import ClientContext, logger
from walkloom.client.errors import ClientError, Failed
from walkloom.client.reconnect_pacer import ReconnectPacer
from walkloom.client.session import MIGRATED, Session, SessionState
from walkloom.client.settings import ClassPolicy


class ReconnectScheduler:
    """Owns the sessions that are BACKING_OFF.

    policies: the classes, highest priority first.
    """

    def __init__(self, context: ClientContext, policies: Sequence[ClassPolicy]) -> None:
        self._context = context
        limits = context.limits
        self._pacer = ReconnectPacer[Session](
            {policy.name: policy.priority_weight for policy in policies},
            limits.returns_per_s,
            limits.return_first_ms,
            limits.return_window_ms,
            context.random,
        )

    def connection_lost(self, session: Session, now: float, reason: str) -> None:
        """Start the reconnect of a session that lost its connection, or end it if it must not reconnect."""
        counters = self._context.counters
        if reason == MIGRATED:
            counters.migrated += 1
        else:
            counters.broken += 1
        logger.debug(
            "session_disconnected session=%s reason=%r unanswered=%d",
            session.name,
            reason,
            len(session.unanswered),
        )
        session.interrupt(reason, is_final=not session.reconnects)
        if not session.reconnects:
            self.end(session, now, None)
            return
        session.reconnecting_since = now
        self.back_off(session, now)

    def back_off(self, session: Session, until: float) -> None:
        """Let the session back off until that time."""
        session.state = SessionState.BACKING_OFF
        session.not_before = until
        self._context.timers.schedule(session, until)
        self._context.notify(session)

    def request_failed(self, session: Session, now: float) -> None:
        """Back off after a failed request of a reconnect."""
        session.failed_reconnects += 1
        self.back_off(session, now + self._context.random.random() * self._backoff_ceiling_ms(session))

    def may_retry(self, session: Session, now: float) -> bool:
        """Whether the session still has time to reconnect."""
        return now - session.reconnecting_since < self._context.limits.return_for_ms

    def timer_fired(self, session: Session, now: float) -> None:
        """Handle the end of a backoff: the session joins the pacer, waits for the retry budget, or ends."""
        limits = self._context.limits
        deadline = session.reconnecting_since + limits.return_for_ms
        if now >= deadline:
            self._context.counters.lost += 1
            self.end(session, now, Failed(f"could not reconnect within {limits.return_for_ms:.0f} ms"))
            return
        # after a failed request that made attempts, the next request is a retry and needs the retry budget
        is_retry = bool(session.failed_reconnects and session.attempts)
        if is_retry and not self._context.retry_budget.try_reserve(now):
            self._context.counters.budget_exhausted += 1
            backoff_ms = self._backoff_ceiling_ms(session) * (0.5 + self._context.random.random() / 2.0)
            self._context.timers.schedule(session, min(now + backoff_ms, deadline))
            return
        session.has_reserved_retry = is_retry
        self._pacer.add(session.policy.name, session, now)
        self._context.timers.schedule(session, deadline)

    def release(self, now: float, admits: Callable[[str], bool]) -> Session | None:
        """Return the next session that may reconnect now; None if there is none."""
        return self._pacer.release(now, admits)

    def next_release_at(self, admitted_at: Callable[[str], float]) -> float:
        """Return when to call `release` again; see `ReconnectPacer.next_release_at`."""
        return self._pacer.next_release_at(admitted_at)

    def end(self, session: Session, now: float, error: ClientError | None) -> None:
        """Close the session; error: None if the server ended it regularly."""
        context = self._context
        context.release_reserved_retry(session, now)
        if session.state is SessionState.BACKING_OFF:
            self._pacer.discard(session.policy.name, session)
        session.state = SessionState.CLOSED
        session.error = error
        session.is_queued = False
        session.unanswered.clear()
        context.sessions.pop(session.session_id, None)
        context.timers.cancel(session)
        context.notify(session)

    def _backoff_ceiling_ms(self, session: Session) -> float:
        limits = self._context.limits
        return min(limits.backoff_ms * 2.0**session.failed_reconnects, limits.backoff_most_ms)
