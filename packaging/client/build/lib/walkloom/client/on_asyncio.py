"""The client on asyncio: the same names and behaviour as on trio.

    async with Client(["10.0.0.4:9000"], [ClassPolicy("tile-view", 300, 1200)]) as client:
        async with await client.open("tile-view", tenant="herb-serra") as session:
            await session.send("sheet 17")
            print(await session.receive())

A protocol object for each connection, and a task only while it is made; one timer for the whole client.
"""

from __future__ import annotations

import asyncio
import math
from typing import Self

from walkloom.client.driver import LINGER_S, BaseClient, Session
from walkloom.client.session import Session as Machine
from walkloom.client.wire import CHUNK

__all__ = ["Client", "Session"]


class Client(BaseClient):
    __doc__ = BaseClient.__doc__

    async def __aenter__(self) -> Self:
        self.loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._at = math.inf
        self.buffer = memoryview(bytearray(CHUNK))  # for all reads: each is used up before the next
        return self

    async def __aexit__(self, *_: object) -> None:
        self._set_timer(math.inf)
        self._hang_all()
        await asyncio.sleep(0)  # the sockets close in the loop's next round

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def _event(self) -> asyncio.Event:
        return asyncio.Event()

    async def _checkpoint(self) -> None:
        await asyncio.sleep(0)

    def _dial(self, session: Machine, conn: int, to: tuple[str, int]) -> _Connection:
        return _Connection(self, session, conn, to)

    def _ring_at(self, at: float) -> None:
        if at < self._at or at == math.inf:
            self._set_timer(at)

    def _set_timer(self, at: float) -> None:
        if self._timer:
            self._timer.cancel()
        self._at = at
        self._timer = self.loop.call_at(at / 1000.0, self._ring) if at < math.inf else None

    def _ring(self) -> None:
        self._at, self._timer = math.inf, None
        self.step()


class _Connection(asyncio.BufferedProtocol):
    def __init__(self, client: Client, machine: Machine, conn: int, to: tuple[str, int]) -> None:
        self.client, self.machine, self.conn = client, machine, conn
        self._transport: asyncio.Transport | None = None
        self._over = self._paused = False
        self._dialling = client.loop.create_task(self._dial(to))

    async def _dial(self, to: tuple[str, int]) -> None:
        core, now = self.client.core, self.client.now
        try:
            await self.client.loop.create_connection(lambda: self, *to)
        except OSError as error:
            core.not_connected(self.machine, self.conn, now(), f"cannot connect: {error.strerror or error}")
        else:
            core.connected(self.machine, self.conn, now())
        self.client.step()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=self.client.limits.bytes_out)
        if self._over:  # hung up in the moment in which it came up
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.client.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._over:
            return
        core = self.client.core
        core.received(self.machine, self.conn, bytes(self.client.buffer[:nbytes]), self.client.now())
        if not core.wants_data(self.machine) and self._transport:
            self._paused = True
            self._transport.pause_reading()
        self.client.step()

    def read_on(self) -> None:
        if self._paused and self._transport and self.client.core.wants_data(self.machine):
            self._paused = False
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        self._ended("")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._ended(f"the connection broke: {error}" if error else "")

    def _ended(self, why: str) -> None:
        if not self._over:
            self.client.core.ended(self.machine, self.conn, self.client.now(), why)
            self.client.step()

    def write(self, data: bytes) -> None:
        assert self._transport
        self._transport.write(data)

    def pause_writing(self) -> None:
        if not self._over:
            self.machine.clogged = True

    def resume_writing(self) -> None:
        if not self._over:
            self.machine.clogged = False
            self.client.wake(self.machine)

    def hang(self, gently: bool) -> None:
        self._over = True
        if self._transport is None:
            self._dialling.cancel()
        elif gently and self._transport.get_write_buffer_size():
            self._transport.close()
            self.client.loop.call_later(LINGER_S, self._transport.abort)
        else:
            self._transport.abort()
