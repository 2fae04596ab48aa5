"""Established sessions: lines in both directions, migrations, lost connections, answer timeouts. No I/O."""

from __future__ import annotations

from walkloom.client.commands import Write
from walkloom.client.context import ClientContext, logger
from walkloom.client.errors import Failed, ProtocolError
from walkloom.client.reconnects import ReconnectScheduler
from walkloom.client.session import MIGRATED, Session, SessionState, UnansweredLine
from walkloom.client.wire import encode_line


class EstablishedSessions:
    """Handles the events of sessions that are ESTABLISHED."""

    def __init__(self, context: ClientContext, reconnects: ReconnectScheduler) -> None:
        self._context = context
        self._reconnects = reconnects

    def send(self, session: Session, line: str, now: float) -> None:
        """Write a line of the caller.

        Raises InvalidArgumentError like `encode_line`.
        """
        context = self._context
        data = encode_line(line)
        session.unanswered.append(UnansweredLine(now, line))
        context.counters.lines_sent += 1
        context.commands.append(Write(session, session.connection_id, data))
        answer_deadline = now + context.limits.silence_ms
        if session.timer_due_at > answer_deadline:
            context.timers.schedule(session, answer_deadline)

    def data_received(self, session: Session, data: bytes, now: float) -> None:
        """Handle received bytes: process the lines that are complete."""
        try:
            lines = session.line_buffer.feed(data)
        except ProtocolError as error:
            self._handle_protocol_error(session, error, now)
            return
        if not lines:
            return
        inbox_size_before = len(session.inbox)
        for delay_ms in session.receive_lines(lines, now):
            self._context.metrics.record_line_delay(session.policy.name, delay_ms)
        self._context.counters.lines_received += len(session.inbox) - inbox_size_before
        if session.state is SessionState.BACKING_OFF:
            self.migrate(session, now)
        self._context.notify(session)

    def migrate(self, session: Session, now: float) -> None:
        """Disconnect and reconnect a session that the server asked to migrate."""
        self._context.disconnect(session)
        self._reconnects.connection_lost(session, now, MIGRATED)

    def connection_ended(self, session: Session, now: float, reason: str) -> None:
        """Handle the end of the connection by the peer; reason: the error, empty for a regular end."""
        self._context.disconnect(session)
        if session.goodbye_received and not reason:
            if session.unanswered:
                session.interrupt("the server ended the session", is_final=True)
            self._reconnects.end(session, now, None)
        else:
            reason = reason or "the connection ended without a goodbye"
            self._reconnects.connection_lost(session, now, reason)

    def timer_fired(self, session: Session, now: float) -> None:
        """Close the connection if its oldest line has been unanswered for `Limits.silence_ms`."""
        sent_at = session.oldest_unanswered_at()
        # Computed as a sum, as when the timer was set. The difference `now - sent_at` may be rounded below
        # the limit; the timer would then be due again at once, without end.
        due_at = sent_at + self._context.limits.silence_ms
        if now >= due_at:
            self._context.disconnect(session)
            self._reconnects.connection_lost(
                session, now, f"a line was unanswered for {now - sent_at:.0f} ms"
            )
        else:
            self._context.timers.schedule(session, due_at)

    def _handle_protocol_error(self, session: Session, error: ProtocolError, now: float) -> None:
        """End the session without a reconnect: the peer does not speak the line protocol."""
        logger.warning("session_protocol_error session=%s error=%r", session.name, str(error))
        self._context.disconnect(session)
        session.interrupt(str(error), is_final=False)
        self._context.counters.broken += 1
        self._reconnects.end(session, now, Failed(str(error)))
