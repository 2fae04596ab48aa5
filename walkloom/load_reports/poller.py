"""Polls endpoints for their load reports when the policy asks, over one connection to each."""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine
from walkloom.load_reports.codec import MAX_LOGGED_CHARACTERS, REFUSAL_WORD, REPORT_WORD, REQUEST, decode
from walkloom.load_reports.connection import LoadReportConnection
from walkloom.load_reports.errors import UnexpectedResponseError
from walkloom.messages import EndpointId
from walkloom.transport.line_stream import LineStream, first_word
from walkloom.transport.rate_limited_log import RateLimitedLog

__all__ = ["LoadReportPoller", "decode"]

log = logging.getLogger("walkloom")

# A poll that takes longer, connecting included, has failed: its figures would be old.
POLL_TIMEOUT_S = 0.5

# A connection that no poll has used for so long is closed, so that its descriptor serves another endpoint.
IDLE_TIMEOUT_S = 10.0


class LoadReportPoller:
    """Runs one task for each endpoint that the policy wants polled.

    A task polls its endpoint whenever the policy asks, one poll at a time, and ends when a poll fails or none
    is asked for during IDLE_TIMEOUT_S.
    """

    def __init__(
        self, engine: Engine, watcher: EndpointWatcher, fields: tuple[str, ...], max_connections: int
    ) -> None:
        """fields: the figures of a load report, in the order of the settings."""
        self._engine = engine
        self._watcher = watcher
        self._fields = fields
        self._max_connections = max_connections
        self._skipped_log = RateLimitedLog("load_report_skipped")

        # Where each running task takes its polls from; holds one poll that has not begun.
        self._open: dict[EndpointId, trio.MemorySendChannel[None]] = {}

    async def run(self) -> None:
        """Pass each order of the policy to the task of its endpoint."""
        async with trio.open_nursery() as nursery:
            async for endpoint_id in self._engine.load_report_requests:
                self._request_poll(endpoint_id, nursery)

    def _request_poll(self, endpoint_id: EndpointId, nursery: trio.Nursery) -> None:
        """Order one poll, and start the endpoint's task if it has none."""
        if endpoint_id not in self._open:
            if len(self._open) >= self._max_connections:
                self._skipped_log.count(f"{endpoint_id}: {self._max_connections} polled")
                return
            orders_in, orders = trio.open_memory_channel[None](1)
            self._open[endpoint_id] = orders_in
            nursery.start_soon(self._stand, endpoint_id, orders)
        try:
            self._open[endpoint_id].send_nowait(None)
        except trio.WouldBlock:
            self._skipped_log.count(f"{endpoint_id}: the poll before is pending")

    async def _stand(self, endpoint_id: EndpointId, orders: trio.MemoryReceiveChannel[None]) -> None:
        """Poll one endpoint, one poll at a time, until one fails or no order comes."""
        connection = LoadReportConnection()
        try:
            while await _wait_for_order(orders):
                with trio.fail_after(POLL_TIMEOUT_S):
                    if not await self._poll(endpoint_id, connection):
                        return
        except Exception as error:  # noqa: BLE001 - a poll that fails ends this task, never the program
            log.info("load_report_failed endpoint=%s error=%r", endpoint_id, error)
        finally:
            # Before the close, which lets other tasks run: an order that comes meanwhile must start a new
            # task, not wait for this one.
            del self._open[endpoint_id]
            await connection.close()

    async def _poll(self, endpoint_id: EndpointId, connection: LoadReportConnection) -> bool:
        """Poll once; False if nothing accepts at the endpoint's address."""
        address = self._watcher.address(endpoint_id)
        stream = connection.stream_to(address)
        if stream:
            # An endpoint may close an idle connection in the moment of the poll: that is retried once, over a
            # new connection, and says nothing of its load.
            with suppress(trio.BrokenResourceError):
                await self._exchange(endpoint_id, stream)
                return True
        stream = await connection.reconnect(address)
        if stream is None:
            return False
        await self._exchange(endpoint_id, stream)
        return True

    async def _exchange(self, endpoint_id: EndpointId, stream: LineStream) -> None:
        """Send one poll and hand its load report to the engine.

        Raises LoadReportError, or trio.BrokenResourceError if the connection ended.
        """
        started_at = self._engine.now()
        await stream.send(REQUEST)
        line = await stream.read_line()
        if not line:
            raise trio.BrokenResourceError("ended")
        if first_word(line) == REFUSAL_WORD:
            # No failure: that would end the task, and cost a new connection for each refusal.
            return
        if first_word(line) != REPORT_WORD:
            raise UnexpectedResponseError(f"no load report: {line[:MAX_LOGGED_CHARACTERS]!r}", line)
        elapsed_ms = self._engine.now() - started_at
        self._engine.load_report_received(endpoint_id, elapsed_ms, decode(line, self._fields))


async def _wait_for_order(orders: trio.MemoryReceiveChannel[None]) -> bool:
    """Wait for the next order; False if none comes during IDLE_TIMEOUT_S."""
    with trio.move_on_after(IDLE_TIMEOUT_S):
        await orders.receive()
        return True
    # An order may have come in the tick in which the time was over; it would be lost with the task.
    with suppress(trio.WouldBlock):
        orders.receive_nowait()
        return True
    return False
