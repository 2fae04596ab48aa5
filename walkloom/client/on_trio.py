"""The client on trio.

    async with Client(["10.0.0.4:9000"], [ClassPolicy("tile-view", 300, 1200)]) as client:
        async with await client.open("tile-view", tenant="herb-serra") as session:
            await session.send("sheet 17")
            print(await session.receive())

Each connection has one task, which opens and reads it; the client has one task for its timer. Bytes are
written to the socket at once; if the socket does not accept all of them, another task writes the rest.
"""

from __future__ import annotations

import errno
import logging
import math
import os
import socket
from typing import Self

import trio

from walkloom.client.driver import FLUSH_TIMEOUT_S, BaseClient, Session
from walkloom.client.session import Session as CoreSession
from walkloom.client.wire import READ_CHUNK_BYTES

__all__ = ["Client", "Session"]
logger = logging.getLogger("walkloom.client")


class Client(BaseClient):
    """A client of the balancers on trio; see BaseClient for its methods."""

    async def __aenter__(self) -> Self:
        self._rescheduled = trio.Event()
        self._next_step_at = math.inf
        self._nursery_manager = trio.open_nursery()
        self.nursery = await self._nursery_manager.__aenter__()
        self.nursery.start_soon(self._run_timer)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._disconnect_all()
        self.nursery.cancel_scope.cancel()
        # the caller's exception propagates unchanged, not wrapped in an exception group of the nursery
        await self._nursery_manager.__aexit__(None, None, None)

    def now(self) -> float:
        """Return the clock of the trio run, in ms."""
        return trio.current_time() * 1000.0

    def _create_event(self) -> trio.Event:
        return trio.Event()

    async def _checkpoint(self) -> None:
        await trio.lowlevel.checkpoint()

    def _connect(self, session: CoreSession, connection_id: int, address: tuple[str, int]) -> _Connection:
        connection = _Connection(self, session, connection_id)
        self.nursery.start_soon(connection.run, address)
        return connection

    def _schedule_step(self, at: float) -> None:
        if at < self._next_step_at:
            self._rescheduled.set()

    async def _run_timer(self) -> None:
        while True:
            self._rescheduled = trio.Event()
            self._next_step_at = self.core.next_wake_at()
            with trio.move_on_after(max(self._next_step_at - self.now(), 0.0) / 1000.0):
                await self._rescheduled.wait()
            self.step()


class _Connection:
    """One connection; its public methods are those of `driver.Connection`."""

    def __init__(self, client: Client, session: CoreSession, connection_id: int) -> None:
        self.client = client
        self.session = session
        self.connection_id = connection_id
        self._scope = trio.CancelScope()
        self._socket: socket.socket | None = None
        self._unwritten = bytearray()
        self._reading_allowed = trio.Event()

    async def run(self, address: tuple[str, int]) -> None:
        """Open the connection and read it to its end."""
        client = self.client
        with self._scope:
            try:
                await self._open(address)
            except OSError as error:
                reason = f"cannot connect: {error.strerror or error}"
                client.core.connect_failed(self.session, self.connection_id, client.now(), reason)
            else:
                client.core.connection_made(self.session, self.connection_id, client.now())
                client.step()
                reason = await self._read_guarded()
                client.core.connection_ended(self.session, self.connection_id, client.now(), reason)
            client.step()

    async def _open(self, address: tuple[str, int]) -> None:
        candidates = await trio.socket.getaddrinfo(*address, type=socket.SOCK_STREAM)
        family, kind, protocol, _, resolved = candidates[0]
        self._socket = socket.socket(family, kind, protocol)
        new_socket = self._socket
        new_socket.setblocking(False)
        # send a line without waiting for the ACK of the previous one
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = new_socket.connect_ex(resolved)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        await trio.lowlevel.wait_writable(new_socket)
        code = new_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))

    async def _read_guarded(self) -> str:
        """Read to the end; an unexpected exception ends this connection only, not the other sessions."""
        try:
            return await self._read()
        except Exception as error:
            logger.exception("connection_crashed session=%s", self.session.name)
            return repr(error)

    async def _read(self) -> str:
        """Read until the peer ends the connection; return the error, empty for a regular end."""
        client = self.client
        while self._socket:  # `disconnect` closes it, also when called from this task
            try:
                await trio.lowlevel.wait_readable(self._socket)
                if self._socket is None:  # closed between the wake-up and this line
                    break
                if not client.core.wants_data(self.session):
                    self._reading_allowed = trio.Event()
                    await self._reading_allowed.wait()
                    continue
                data = self._socket.recv(READ_CHUNK_BYTES)
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                break
            except OSError as error:
                return f"connection broke: {error.strerror}"
            if not data:
                return ""
            client.core.data_received(self.session, self.connection_id, data, client.now())
            client.step()
        return ""

    def resume_reading(self) -> None:
        self._reading_allowed.set()

    def write(self, data: bytes) -> None:
        was_idle = not self._unwritten
        self._unwritten += data
        if was_idle and not self._write_now():
            self.client.nursery.start_soon(self._write_rest)
        self._update_write_blocked()

    def _write_now(self) -> bool:
        """Write what the socket accepts; return whether nothing is left to write."""
        assert self._socket
        try:
            while self._unwritten:
                del self._unwritten[: self._socket.send(self._unwritten)]
        except BlockingIOError:
            return False
        except OSError:  # the reading task reports the error
            self._unwritten.clear()
        return True

    async def _write_rest(self) -> None:
        try:
            while self._socket and not self._write_now():
                await trio.lowlevel.wait_writable(self._socket)
                if self.client.connections.get(self.session.session_id) is self:
                    self._update_write_blocked()
                    self.client.notify(self.session)
        except trio.ClosedResourceError:
            return

    def _update_write_blocked(self) -> None:
        self.session.write_blocked = len(self._unwritten) >= self.client.limits.bytes_out

    async def _flush_and_close(self) -> None:
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await self._write_rest()
        self._close()

    def disconnect(self, flush: bool) -> None:
        self._scope.cancel()
        if flush and self._unwritten:
            self.client.nursery.start_soon(self._flush_and_close)
        else:
            self._close()

    def _close(self) -> None:
        """Close the socket at once, so that a delayed task cannot leave a session with two connections."""
        if self._socket:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
            self._socket = None
