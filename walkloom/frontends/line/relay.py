"""Stage 6: relay whole lines both ways until a side ends, the server is silent, or the client is migrated."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from walkloom.engine.engine import RequestHandle
from walkloom.frontends.line.upstream import MAX_LOGGED_BYTES
from walkloom.messages import AttemptStatus, MigrateConnection
from walkloom.transport.line_stream import LINGER_S, LineError, LineStream, first_word
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")

# Servers return each line at once, and clients send one every 2 s. A connection to a silent server must end
# within 7 s (page "Protocol", "Figures"): at most 2 s until the next line, and 4 s after it, are 6 s.
SILENCE_TIMEOUT_MS = 4000.0

# How often a connection is checked for silence.
SILENCE_CHECK_INTERVAL_S = 0.25

# First word of a server's line that reports the connection's load.
LOAD = b"LOAD"

# First words of lines by which a server announces the end of the connection, and the status that follows.
STATUS_BY_CLOSING_WORD = {b"BYE": AttemptStatus.OK, b"MOVE": AttemptStatus.CANCELLED}

# First words of the lines that are not the server's answer to a line of the client.
OBSERVED_WORDS = (LOAD, *STATUS_BY_CLOSING_WORD)

# Names of statuses in the log, where they differ from the members' names.
LOG_WORD_BY_STATUS = {AttemptStatus.CONNECTION_RESET: "RESET"}

# Shared by all connections: malformed lines are logged once a second at most, whatever the number of clients.
_malformed_client_lines = RateLimitedLog("client_line_malformed")
_unread_connections = RateLimitedLog("client_not_reading")
_unknown_upstream_lines = RateLimitedLog("upstream_line_unknown")


class Relay:
    """An established connection between one client and one server."""

    def __init__(self, handle: RequestHandle, client: LineStream, upstream: LineStream) -> None:
        """`run` closes `upstream`; the caller closes `client`."""
        self._handle = handle
        self._client = client
        self._upstream = upstream
        self._status = AttemptStatus.CANCELLED
        # First word of the server's latest line: BYE and MOVE give the reason for the end that follows.
        self._last_upstream_word = b""
        self._is_migrating = False
        # Which task ended the relay, for the log.
        self._end_reason = "cancelled"

    async def run(self, receipt_line: bytes) -> None:
        """Send the client the server's receipt line, relay until one side ends, and report the status."""
        try:
            await self._client.send(receipt_line)
            async with trio.open_nursery() as nursery:
                for relay_task, end_reason in (
                    (self._forward_to_upstream, "client_ended"),
                    (self._forward_to_client, "endpoint_ended"),
                    (self._wait_for_migration, "migrated"),
                    (self._wait_for_silence, "endpoint_silent"),
                ):
                    nursery.start_soon(self._run_relay_task, relay_task, end_reason, nursery.cancel_scope)
        except trio.BrokenResourceError:
            # The client left before its receipt line was sent.
            self._status = AttemptStatus.CANCELLED
            self._end_reason = "client_left"
        finally:
            # Reported before any await: a client that has left, but whose connection takes a while to close,
            # must not be chosen for migration.
            self._report_end()
            with trio.CancelScope(shield=True):
                await self._upstream.close()

    def must_send_move(self, ended_by_shutdown: bool) -> bool:
        """Return whether the client must still be sent `MOVE`.

        A shutdown ends the relays that remain after all migrations. If the server's last line was `BYE` or a
        `MOVE` of its own, the client is already informed, and expects no further line.
        """
        must_reconnect = self._is_migrating or ended_by_shutdown
        return must_reconnect and self._last_upstream_word not in STATUS_BY_CLOSING_WORD

    def _report_end(self) -> None:
        log.info(
            "connection_ended request=%d endpoint=%s status=%s reason=%s",
            self._handle.id,
            self._handle.endpoint_id,
            LOG_WORD_BY_STATUS.get(self._status, self._status.name),
            self._end_reason,
        )
        self._handle.report_ended(self._status, ends_request=True)

    async def _run_relay_task(
        self, relay_task: Callable[[], Awaitable[AttemptStatus]], end_reason: str, scope: trio.CancelScope
    ) -> None:
        """Run one task of the relay; the first to end sets the status and cancels the others."""
        try:
            self._status = await relay_task()
        except trio.ClosedResourceError:
            # Another task has reset this side, and returns the status itself.
            return
        if not scope.cancel_called:
            self._end_reason = end_reason
        scope.cancel()

    async def _forward_to_upstream(self) -> AttemptStatus:
        try:
            while lines := await self._client.read_complete_lines():
                # Before the send, which may block: a server that reads nothing counts as silent from now on.
                self._handle.record_lines_forwarded(lines.count(b"\n"))
                await self._send_upstream(lines)
            await self._upstream.send_eof()
            # The server's last lines are still forwarded to the client.
            await trio.sleep(LINGER_S)
        except LineError as error:
            _malformed_client_lines.count(f"request {self._handle.id}: {error}")
        except trio.BrokenResourceError:
            # A reset by the client is forwarded as a reset.
            await self._upstream.reset()
        return AttemptStatus.CANCELLED

    async def _send_upstream(self, lines: bytes) -> None:
        try:
            await self._upstream.send(lines)
        except trio.BrokenResourceError:
            # Ending the relay here would lose the lines that the server sent before the connection broke, and
            # the reason. The other direction reads both, and then ends the relay.
            await trio.sleep_forever()

    async def _forward_to_client(self) -> AttemptStatus:
        try:
            while lines := await self._upstream.read_complete_lines():
                self._observe_upstream_lines(lines)
                try:
                    await self._send_to_client(lines)
                except trio.BrokenResourceError:
                    return AttemptStatus.CANCELLED
        except LineError as error:
            log.warning("upstream_malformed endpoint=%s error=%r", self._handle.endpoint_id, str(error))
        except trio.BrokenResourceError:
            # A reset by the server is forwarded as a reset.
            await self._client.reset()
            return AttemptStatus.CONNECTION_RESET
        if self._client.ended:
            return AttemptStatus.CANCELLED
        return STATUS_BY_CLOSING_WORD.get(self._last_upstream_word, AttemptStatus.CONNECTION_RESET)

    async def _send_to_client(self, lines: bytes) -> None:
        self._handle.client_send_started()
        try:
            await self._client.send(lines)
        finally:
            self._handle.client_send_ended()

    def _observe_upstream_lines(self, lines: bytes) -> None:
        """Report what the server's lines tell; the work for others does not grow with their number."""
        returned_lines = lines.count(b"\n")
        if any(word in lines for word in OBSERVED_WORDS):
            for line in lines.splitlines():
                returned_lines -= self._observe_special_line(line)
        self._last_upstream_word = first_word(lines[lines.rfind(b"\n", 0, -1) + 1 :])
        self._handle.record_lines_returned(returned_lines)

    def _observe_special_line(self, line: bytes) -> bool:
        """Return whether a line is none that the server returns to the client; report its load, if any."""
        word = first_word(line)
        if word == LOAD:
            self._report_load(line)
        return word in OBSERVED_WORDS

    def _report_load(self, line: bytes) -> None:
        try:
            self._handle.report_load_signal(float(line.split()[1]))
        except (IndexError, ValueError):
            _unknown_upstream_lines.count(f"endpoint={self._handle.endpoint_id} {line[:MAX_LOGGED_BYTES]!r}")

    async def _wait_for_migration(self) -> AttemptStatus:
        while not isinstance(await self._handle.next_command(), MigrateConnection):
            pass
        log.info("connection_migrated request=%d endpoint=%s", self._handle.id, self._handle.endpoint_id)
        self._is_migrating = True
        return AttemptStatus.CANCELLED

    async def _wait_for_silence(self) -> AttemptStatus:
        while self._handle.oldest_pending_line_ms() < SILENCE_TIMEOUT_MS:
            if self._handle.client_send_ms() >= SILENCE_TIMEOUT_MS:
                return self._end_unread_connection()
            await trio.sleep(SILENCE_CHECK_INTERVAL_S)
        log.warning("upstream_silent endpoint=%s request=%d", self._handle.endpoint_id, self._handle.id)
        self._is_migrating = True
        return AttemptStatus.CONNECTION_RESET

    def _end_unread_connection(self) -> AttemptStatus:
        """End a connection whose client does not read; that says nothing about the server."""
        _unread_connections.count(f"request {self._handle.id}")
        self._is_migrating = True
        return AttemptStatus.CANCELLED
