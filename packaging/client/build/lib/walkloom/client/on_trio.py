"""The client on trio.

    async with Client(["10.0.0.4:9000"], [ClassPolicy("tile-view", 300, 1200)]) as client:
        async with await client.open("tile-view", tenant="herb-serra") as session:
            await session.send("sheet 17")
            print(await session.receive())

One task for each connection, which makes it and reads it; one for the client's clock. What is written goes to
the socket at once; only where that does not take it all, a task writes the rest.
"""

from __future__ import annotations

import errno
import logging
import math
import os
import socket
from typing import Self

import trio

from walkloom.client.driver import LINGER_S, BaseClient, Session
from walkloom.client.session import Session as Machine
from walkloom.client.wire import CHUNK

__all__ = ["Client", "Session"]
log = logging.getLogger("walkloom.client")


class Client(BaseClient):
    __doc__ = BaseClient.__doc__

    async def __aenter__(self) -> Self:
        self._earlier, self._at = trio.Event(), math.inf
        self._manager = trio.open_nursery()
        self.nursery = await self._manager.__aenter__()
        self.nursery.start_soon(self._keep_time)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._hang_all()
        self.nursery.cancel_scope.cancel()
        # the caller's own exception goes on as it is, not within a group of the nursery's
        await self._manager.__aexit__(None, None, None)

    def now(self) -> float:
        return trio.current_time() * 1000.0

    def _event(self) -> trio.Event:
        return trio.Event()

    async def _checkpoint(self) -> None:
        await trio.lowlevel.checkpoint()

    def _dial(self, session: Machine, conn: int, to: tuple[str, int]) -> _Connection:
        connection = _Connection(self, session, conn)
        self.nursery.start_soon(connection.live, to)
        return connection

    def _ring_at(self, at: float) -> None:
        if at < self._at:
            self._earlier.set()

    async def _keep_time(self) -> None:
        while True:
            self._earlier = trio.Event()
            self._at = self.core.wake_at()
            with trio.move_on_after(max(self._at - self.now(), 0.0) / 1000.0):
                await self._earlier.wait()
            self.step()


class _Connection:
    def __init__(self, client: Client, machine: Machine, conn: int) -> None:
        self.client, self.machine, self.conn = client, machine, conn
        self._scope = trio.CancelScope()
        self._sock: socket.socket | None = None
        self._out = bytearray()  # unwritten
        self._room = trio.Event()

    async def live(self, to: tuple[str, int]) -> None:
        core, now = self.client.core, self.client.now
        with self._scope:
            try:
                await self._connect(to)
            except OSError as error:
                core.not_connected(
                    self.machine, self.conn, now(), f"cannot connect: {error.strerror or error}"
                )
            else:
                core.connected(self.machine, self.conn, now())
                self.client.step()
                try:
                    why = await self._read()
                except Exception as error:  # guards the other sessions: a fault of ours ends this connection
                    log.exception("connection-crashed session=%s", self.machine.name)
                    why = repr(error)
                core.ended(self.machine, self.conn, now(), why)
            self.client.step()

    async def _connect(self, to: tuple[str, int]) -> None:
        family, kind, proto, _, where = (await trio.socket.getaddrinfo(*to, type=socket.SOCK_STREAM))[0]
        self._sock = sock = socket.socket(family, kind, proto)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a line waits for no ACK of another
        if (code := sock.connect_ex(where)) not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        await trio.lowlevel.wait_writable(sock)
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, os.strerror(code))

    async def _read(self) -> str:
        """Until the other side ends; why, if not in order."""
        core = self.client.core
        while self._sock:  # it is closed by `hang`, also from within this very task
            try:
                await trio.lowlevel.wait_readable(self._sock)
                if self._sock is None:  # between the wake-up and now
                    break
                if not core.wants_data(self.machine):
                    self._room = trio.Event()
                    await self._room.wait()
                    continue
                data = self._sock.recv(CHUNK)
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                break
            except OSError as error:
                return f"the connection broke: {error.strerror}"
            if not data:
                return ""
            core.received(self.machine, self.conn, data, self.client.now())
            self.client.step()
        return ""

    def read_on(self) -> None:
        self._room.set()

    def write(self, data: bytes) -> None:
        idle = not self._out
        self._out += data
        if idle and not self._push():
            self.client.nursery.start_soon(self._write_rest)
        self.machine.clogged = len(self._out) >= self.client.limits.bytes_out

    def _push(self) -> bool:
        """Writes what the socket takes; whether that was all."""
        assert self._sock
        try:
            while self._out:
                del self._out[: self._sock.send(self._out)]
        except BlockingIOError:
            return False
        except OSError:  # the reading finds and tells what broke
            self._out.clear()
        return True

    async def _write_rest(self) -> None:
        try:
            while self._sock and not self._push():
                await trio.lowlevel.wait_writable(self._sock)
                if self.client.connections.get(self.machine.number) is self:
                    self.machine.clogged = len(self._out) >= self.client.limits.bytes_out
                    self.client.wake(self.machine)
        except trio.ClosedResourceError:
            return

    async def _linger(self) -> None:
        with trio.move_on_after(LINGER_S):
            await self._write_rest()
        self._close()

    def hang(self, gently: bool) -> None:
        self._scope.cancel()
        if gently and self._out:
            self.client.nursery.start_soon(self._linger)
        else:
            self._close()

    def _close(self) -> None:
        """At once: guards the rule that a request has one try at a time against a task that runs late."""
        if self._sock:
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()
            self._sock = None
