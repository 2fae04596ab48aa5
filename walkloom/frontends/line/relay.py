"""Stage 4: passes whole lines on, both ways, until one side ends, falls silent or is moved."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from walkloom.engine.engine import RequestHandle
from walkloom.messages import AttemptStatus, MigrateConnection
from walkloom.transport.line_stream import LINGER_S, LineError, LineStream, first_word
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")
_malformed = RateLimitedLog("channel-malformed")
SILENT_MS = 4000.0  # a line that has not come back for so long: its machine is gone or cut off
LOOK_S = 0.25
LOGGED = {AttemptStatus.CONNECTION_RESET: "RESET"}  # the log's words where they are not the names
FAREWELLS = {
    b"BYE": AttemptStatus.OK,
    b"MOVE": AttemptStatus.CANCELLED,
}  # of a server, and what they tell of the end


class Relay:
    def __init__(self, handle: RequestHandle, client: LineStream, upstream: LineStream) -> None:
        self.handle, self.client, self.upstream = handle, client, upstream
        self.status = AttemptStatus.CANCELLED
        self.last = b""  # the newest verb from the upstream connection: BYE or MOVE explain an end
        self._moved = False

    async def run(self, receipt: bytes) -> None:
        """Tells the outcome and closes the upstream connection; the client's is left to its owner."""
        try:
            await self.client.send(receipt)
            async with trio.open_nursery() as nursery:
                for part in (self._upward, self._downward, self._commands, self._silence):
                    nursery.start_soon(self._first, part, nursery.cancel_scope)
        except trio.BrokenResourceError:  # the client left as its receipt was on the way
            self.status = AttemptStatus.CANCELLED
        finally:
            log.info(
                "rpc-end request=%d server=%s status=%s",
                self.handle.id,
                self.handle.endpoint_id,
                LOGGED.get(self.status, self.status.name),
            )
            # at once: guards against moving clients that left already and only take their time to close
            self.handle.report_ended(self.status, closed=True)
            with trio.CancelScope(shield=True):
                await self.upstream.close()

    def owes_move(self, cut: bool) -> bool:
        """Whether the client is still to be told to move. cut: the balancer's end ended the relay, after all
        others had moved. Guards a client whose server has just ended its connection against two farewells."""
        return (self._moved or cut) and self.last not in FAREWELLS

    async def _first(self, part: Callable[[], Awaitable[AttemptStatus]], scope: trio.CancelScope) -> None:
        """The first part that ends decides how the connection ended."""
        try:
            self.status = await part()
        except trio.ClosedResourceError:  # another part has reset this side, and tells why
            return
        scope.cancel()

    async def _upward(self) -> AttemptStatus:
        try:
            while data := await self.client.read_complete_lines():
                for _ in range(data.count(b"\n")):
                    self.handle.record_line_forwarded()
                try:
                    await self.upstream.send(data)
                except trio.BrokenResourceError:
                    await trio.sleep_forever()  # the other way reads why it broke, and what came before
            await self.upstream.send_eof()
            await trio.sleep(LINGER_S)  # the server's last lines still go down
        except LineError as error:
            _malformed.count(f"request {self.handle.id}: {error}")
        except trio.BrokenResourceError:
            await self.upstream.reset()
        return AttemptStatus.CANCELLED

    async def _downward(self) -> AttemptStatus:
        try:
            while data := await self.upstream.read_complete_lines():
                for line in data.splitlines():
                    self._heard(line)
                try:
                    await self.client.send(data)
                except trio.BrokenResourceError:
                    return AttemptStatus.CANCELLED
        except LineError as error:
            log.warning("subchannel-malformed server=%s error=%r", self.handle.endpoint_id, str(error))
        except trio.BrokenResourceError:
            await self.client.reset()
            return AttemptStatus.CONNECTION_RESET
        if self.client.ended:
            return AttemptStatus.CANCELLED
        return FAREWELLS.get(self.last, AttemptStatus.CONNECTION_RESET)

    def _heard(self, line: bytes) -> None:
        self.last = first_word(line)
        if self.last == b"LOAD":
            try:
                self.handle.report_load_signal(float(line.split()[1]))
            except (IndexError, ValueError):
                log.warning("subchannel-odd server=%s line=%r", self.handle.endpoint_id, line[:80])
        elif self.last not in FAREWELLS:
            self.handle.record_line_returned()

    async def _commands(self) -> AttemptStatus:
        while not isinstance(await self.handle.next_command(), MigrateConnection):
            pass
        log.info("rpc-moved request=%d server=%s", self.handle.id, self.handle.endpoint_id)
        self._moved = True
        return AttemptStatus.CANCELLED

    async def _silence(self) -> AttemptStatus:
        while self.handle.oldest_pending_line_ms() < SILENT_MS:
            await trio.sleep(LOOK_S)
        log.warning("subchannel-silent server=%s request=%d", self.handle.endpoint_id, self.handle.id)
        self._moved = True
        return AttemptStatus.CONNECTION_RESET
