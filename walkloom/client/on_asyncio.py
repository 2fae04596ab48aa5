"""The client on asyncio, with the same interface and behaviour as on trio.

    async with Client(["10.0.0.4:9000"], [ClassPolicy("tile-view", 300, 1200)]) as client:
        async with await client.open("tile-view", tenant="herb-serra") as session:
            await session.send("sheet 17")
            print(await session.receive())

Each connection has a protocol object, and a task only while it is being opened; the client has one timer.
"""

from __future__ import annotations

import asyncio
import math
from typing import Self

from walkloom.client.driver import FLUSH_TIMEOUT_S, BaseClient, Session
from walkloom.client.session import Session as CoreSession
from walkloom.client.wire import READ_CHUNK_BYTES

__all__ = ["Client", "Session"]


class Client(BaseClient):
    """A client of the balancers on asyncio; see BaseClient for its methods."""

    async def __aenter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._next_step_at = math.inf
        # shared by all reads: the data is copied before the next read
        self.buffer = memoryview(bytearray(READ_CHUNK_BYTES))
        return self

    async def __aexit__(self, *_: object) -> None:
        self._set_timer(math.inf)
        self._disconnect_all()
        await asyncio.sleep(0)  # the sockets close in the next iteration of the loop

    def now(self) -> float:
        """Return the clock of the event loop, in ms."""
        return self.loop.time() * 1000.0

    def _create_event(self) -> asyncio.Event:
        return asyncio.Event()

    async def _checkpoint(self) -> None:
        await asyncio.sleep(0)

    def _connect(self, session: CoreSession, connection_id: int, address: tuple[str, int]) -> _Connection:
        return _Connection(self, session, connection_id, address)

    def _schedule_step(self, at: float) -> None:
        if at < self._next_step_at or at == math.inf:
            self._set_timer(at)

    def _set_timer(self, at: float) -> None:
        if self._timer:
            self._timer.cancel()
        self._next_step_at = at
        self._timer = self.loop.call_at(at / 1000.0, self._timer_fired) if at < math.inf else None

    def _timer_fired(self) -> None:
        self._next_step_at = math.inf
        self._timer = None
        self.step()


class _Connection(asyncio.BufferedProtocol):
    """One connection; the method names are those of `asyncio.BufferedProtocol` and `driver.Connection`."""

    def __init__(
        self, client: Client, session: CoreSession, connection_id: int, address: tuple[str, int]
    ) -> None:
        self.client = client
        self.session = session
        self.connection_id = connection_id
        self._transport: asyncio.Transport | None = None
        self._disconnected = False
        self._reading_paused = False
        self._opening = client.loop.create_task(self._open(address))

    async def _open(self, address: tuple[str, int]) -> None:
        client = self.client
        try:
            await client.loop.create_connection(lambda: self, *address)
        except OSError as error:
            reason = f"cannot connect: {error.strerror or error}"
            client.core.connect_failed(self.session, self.connection_id, client.now(), reason)
        else:
            client.core.connection_made(self.session, self.connection_id, client.now())
        client.step()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=self.client.limits.bytes_out)
        if self._disconnected:  # `disconnect` was called while the connection was being opened
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.client.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._disconnected:
            return
        client = self.client
        data = bytes(client.buffer[:nbytes])
        client.core.data_received(self.session, self.connection_id, data, client.now())
        if not client.core.wants_data(self.session) and self._transport:
            self._reading_paused = True
            self._transport.pause_reading()
        client.step()

    def resume_reading(self) -> None:
        if self._reading_paused and self._transport and self.client.core.wants_data(self.session):
            self._reading_paused = False
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        self._report_end("")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._report_end(f"connection broke: {error}" if error else "")

    def _report_end(self, reason: str) -> None:
        if not self._disconnected:
            self.client.core.connection_ended(self.session, self.connection_id, self.client.now(), reason)
            self.client.step()

    def write(self, data: bytes) -> None:
        assert self._transport
        self._transport.write(data)

    def pause_writing(self) -> None:
        if not self._disconnected:
            self.session.write_blocked = True

    def resume_writing(self) -> None:
        if not self._disconnected:
            self.session.write_blocked = False
            self.client.notify(self.session)

    def disconnect(self, flush: bool) -> None:
        self._disconnected = True
        if self._transport is None:
            self._opening.cancel()
        elif flush and self._transport.get_write_buffer_size():
            self._transport.close()
            self.client.loop.call_later(FLUSH_TIMEOUT_S, self._transport.abort)
        else:
            self._transport.abort()
