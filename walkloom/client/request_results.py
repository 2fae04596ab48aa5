"""Counts the one result of each request, and passes it to the session. No I/O.

Every request ends with exactly one call of this module, or is abandoned by its caller (`ClientCore.close`).
"""

from __future__ import annotations

import math

from walkloom.client.context import ClientContext, logger
from walkloom.client.errors import ClientError, Rejected, TimedOut
from walkloom.client.reconnects import ReconnectScheduler
from walkloom.client.session import Session


class RequestResults:
    """Ends requests with success, an error or a timeout."""

    def __init__(self, context: ClientContext, reconnects: ReconnectScheduler) -> None:
        self._context = context
        self._reconnects = reconnects

    def succeed(self, session: Session, now: float) -> None:
        """End the request of a session that is established."""
        self._leave_queue(session, now)
        counters = self._context.counters
        counters.established += 1
        counters.reconnected += session.reconnecting_since > -math.inf
        self._context.metrics.record_setup(session.policy.name, now - session.request_started_at)
        self._context.timers.cancel(session)
        self._context.notify(session)

    def fail(self, session: Session, now: float, error: ClientError, *, is_final: bool = False) -> None:
        """End the request with an error.

        is_final: end the session even if it could reconnect.
        """
        self._leave_queue(session, now)
        self._count_error(error)
        logger.debug("request_failed session=%s error=%r", session.name, str(error))
        if session.was_established and not is_final and self._reconnects.may_retry(session, now):
            self._reconnects.request_failed(session, now)
        else:
            self._context.counters.lost += session.was_established
            self._reconnects.end(session, now, error)
        self._context.notify(session)

    def time_out(self, session: Session, now: float) -> None:
        """End the request because its deadline leaves no time for an attempt."""
        timeout_ms = session.policy.request_timeout_ms
        self.fail(
            session, now, TimedOut(f"no answer within {timeout_ms:.0f} ms, after {session.attempts} attempts")
        )

    def _leave_queue(self, session: Session, now: float) -> None:
        session.is_queued = False
        self._context.release_reserved_retry(session, now)

    def _count_error(self, error: ClientError) -> None:
        counters = self._context.counters
        match error:
            case Rejected():
                counters.rejected += 1
            case TimedOut():
                counters.timed_out += 1
            case _:
                counters.failed += 1
