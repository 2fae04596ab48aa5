"""Polls endpoints for their load reports when the policy requests it, over one connection to each."""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine
from walkloom.load_reports.codec import MAX_LOGGED_CHARACTERS, POLL_LINE, REFUSAL_WORD, REPORT_WORD, decode
from walkloom.load_reports.connection import LoadReportConnection
from walkloom.load_reports.errors import UnexpectedResponseError
from walkloom.messages import EndpointId
from walkloom.transport.line_stream import LineStream, first_word
from walkloom.transport.rate_limited_log import RateLimitedLog

__all__ = ["LoadReportPoller", "decode"]

log = logging.getLogger("walkloom")

# A poll that takes longer, including the time to connect, has failed: its load report would be too old.
POLL_TIMEOUT_S = 0.5

# A connection that no poll has used for this time is closed, so that another endpoint can use its descriptor.
IDLE_TIMEOUT_S = 10.0


class LoadReportPoller:
    """Runs one task for each endpoint that the policy polls.

    A task polls its endpoint whenever the policy requests it, one poll at a time. It ends when a poll fails
    or none is requested for IDLE_TIMEOUT_S.
    """

    def __init__(
        self, engine: Engine, watcher: EndpointWatcher, fields: tuple[str, ...], max_connections: int
    ) -> None:
        """fields: the names of the values of a load report, in the order of the settings."""
        self._engine = engine
        self._watcher = watcher
        self._fields = fields
        self._max_connections = max_connections
        self._skipped_log = RateLimitedLog("load_report_skipped")

        # Channels that request polls from the running tasks; each buffers one request.
        self._poll_channels: dict[EndpointId, trio.MemorySendChannel[None]] = {}

    async def run(self) -> None:
        """Pass each poll that the policy requests to the task of its endpoint."""
        async with trio.open_nursery() as nursery:
            async for endpoint_id in self._engine.load_report_requests:
                self._request_poll(endpoint_id, nursery)

    def _request_poll(self, endpoint_id: EndpointId, nursery: trio.Nursery) -> None:
        """Request one poll from the endpoint's task, and start the task if there is none."""
        if endpoint_id not in self._poll_channels:
            if len(self._poll_channels) >= self._max_connections:
                self._skipped_log.count(
                    f"{endpoint_id}: limit of {self._max_connections} polled endpoints reached"
                )
                return
            send_channel, receive_channel = trio.open_memory_channel[None](1)
            self._poll_channels[endpoint_id] = send_channel
            nursery.start_soon(self._poll_repeatedly, endpoint_id, receive_channel)
        try:
            self._poll_channels[endpoint_id].send_nowait(None)
        except trio.WouldBlock:
            self._skipped_log.count(f"{endpoint_id}: the previous poll is pending")

    async def _poll_repeatedly(
        self, endpoint_id: EndpointId, receive_channel: trio.MemoryReceiveChannel[None]
    ) -> None:
        """Poll one endpoint until a poll fails or none is requested for IDLE_TIMEOUT_S."""
        connection = LoadReportConnection()
        try:
            while await _wait_for_poll_request(receive_channel):
                with trio.fail_after(POLL_TIMEOUT_S):
                    if not await self._poll_once(endpoint_id, connection):
                        return
        except Exception as error:  # noqa: BLE001 - a failed poll ends this task, never the program
            log.info("load_report_failed endpoint=%s error=%r", endpoint_id, error)
        finally:
            # Before the close, during which other tasks run: a poll that is requested meanwhile must start a
            # new task and not wait for this one.
            del self._poll_channels[endpoint_id]
            await connection.close()

    async def _poll_once(self, endpoint_id: EndpointId, connection: LoadReportConnection) -> bool:
        """Poll once; return False if the endpoint's address accepts no connection."""
        address = self._watcher.address(endpoint_id)
        stream = connection.get_stream(address)
        if stream:
            # An endpoint may close an idle connection at the moment of the poll. The poll is then retried
            # once, over a new connection; the close says nothing about the load.
            with suppress(trio.BrokenResourceError):
                await self._request_report(endpoint_id, stream)
                return True
        stream = await connection.reconnect(address)
        if stream is None:
            return False
        await self._request_report(endpoint_id, stream)
        return True

    async def _request_report(self, endpoint_id: EndpointId, stream: LineStream) -> None:
        """Send one poll and pass the load report to the engine.

        Raises LoadReportError, or trio.BrokenResourceError if the connection was closed.
        """
        started_at = self._engine.now()
        await stream.send(POLL_LINE)
        line = await stream.read_line()
        if not line:
            raise trio.BrokenResourceError("ended")
        if first_word(line) == REFUSAL_WORD:
            # Not a failure, which would end the task and require a new connection after each refusal.
            return
        if first_word(line) != REPORT_WORD:
            raise UnexpectedResponseError(f"not a load report: {line[:MAX_LOGGED_CHARACTERS]!r}", line)
        elapsed_ms = self._engine.now() - started_at
        self._engine.load_report_received(endpoint_id, elapsed_ms, decode(line, self._fields))


async def _wait_for_poll_request(receive_channel: trio.MemoryReceiveChannel[None]) -> bool:
    """Wait for the next requested poll; return False if none is requested for IDLE_TIMEOUT_S."""
    with trio.move_on_after(IDLE_TIMEOUT_S):
        await receive_channel.receive()
        return True
    # A poll may have been requested in the tick of the timeout; it would be lost when the task ends.
    with suppress(trio.WouldBlock):
        receive_channel.receive_nowait()
        return True
    return False
