"""A stand-in for a server that records the first byte of each attempt, with faults on demand."""

from __future__ import annotations

import math
import socket
from contextlib import suppress
from enum import Enum
from itertools import count

import trio

from walkloom.lab.soak.history import (
    AttemptBegan,
    AttemptEnd,
    AttemptEnded,
    AttemptNamed,
    History,
    ServerConnectionEnded,
)
from walkloom.lab.soak.hosts import LoopbackHost
from walkloom.transport.line_stream import RESET_ON_CLOSE, LineError, LineStream

SETUP_DURATION_S = 0.004
LOAD_REPORT = b"PONG served_ps=1,busy_reqs=%d,x0=%.3f\r\n"
# The number of connections at which a server reports full load.
CAPACITY = 400
RECEIVE_BYTES = 4096
# Attempt numbers are unique across all servers.
_attempt_numbers = count(1)


class ServerMode(Enum):
    """How a server handles request lines."""

    HEALTHY = "healthy"
    FAILING = "failing"
    HANGING = "hanging"
    RESETTING = "resetting"
    HALF_ANSWER = "half_answer"
    ENDLESS_ANSWER = "endless_answer"
    # Lines on established connections are not returned.
    MUTE = "mute"


class RecordingServer:
    """One server on loopback; its port stays the same across restarts."""

    def __init__(self, name: str, host: LoopbackHost, history: History, nursery: trio.Nursery) -> None:
        """The server's tasks run in the nursery; it listens on the host."""
        self.name = name
        self._host = host
        self.mode = ServerMode.HEALTHY
        self.port = host.next_port()
        self.connection_count = 0
        self._history = history
        self._nursery = nursery
        self._listener: trio.SocketListener | None = None
        self._streams: set[trio.SocketStream] = set()
        # Connections that this server has reset.
        self._reset_streams: set[trio.SocketStream] = set()
        self._established: dict[int, LineStream] = {}

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self._host.address}:{self.port}"

    def start(self) -> None:
        """Listen on the port; after a crash it is the same port."""
        sock = socket.create_server((self._host.address, self.port), backlog=128)
        self._listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        self._nursery.start_soon(self._accept, self._listener)

    async def crash(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._listener:
            await self._listener.aclose()
            self._listener = None
        await self.reset_connections()

    async def reset_connections(self) -> None:
        """Reset all open connections, and keep serving new ones."""
        for stream in list(self._streams):
            self._reset_streams.add(stream)
            with suppress(OSError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await trio.aclose_forcefully(stream)

    async def migrate_clients(self) -> None:
        """Send MOVE to all clients, as a server does before it is removed."""
        for attempt, lines in list(self._established.items()):
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await lines.send(b"MOVE\r\n")
                await lines.send_eof()
                self._end_established(attempt, by_server=True)

    async def _accept(self, listener: trio.SocketListener) -> None:
        with suppress(trio.ClosedResourceError):
            while True:
                stream = await listener.accept()
                self.connection_count += 1
                self._nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        lines = LineStream(stream)
        attempt = 0
        try:
            while await lines.wait_for_input():
                first_byte_at = trio.current_time()
                line = await lines.read_line()
                if line.startswith((b"PING", b"STATS")):
                    established_count = len(self._established)
                    await lines.send(LOAD_REPORT % (established_count, established_count / CAPACITY))
                    continue
                attempt = next(_attempt_numbers)
                self._history.add(AttemptBegan(first_byte_at, self.name, attempt))
                await self._serve_request(lines, line, attempt)
                return
        except (LineError, trio.BrokenResourceError, trio.ClosedResourceError):
            if attempt:
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.RESET))
        finally:
            self._end_established(attempt, by_server=stream in self._reset_streams)
            self._reset_streams.discard(stream)
            self._streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, lines: LineStream, line: bytes, attempt: int) -> None:
        words = line.split()
        request = words[1].decode() if len(words) > 1 else ""
        self._history.add(AttemptNamed(trio.current_time(), attempt, request))
        if self.mode not in (ServerMode.HEALTHY, ServerMode.MUTE):
            await self._serve_with_fault(lines, attempt)
            return
        if await _is_closed_within(lines, SETUP_DURATION_S):
            self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.ABANDONED))
            return
        self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.ESTABLISHED))
        self._established[attempt] = lines
        await lines.send(b"UP %d\r\n" % attempt)
        while data := await lines.read_complete_lines():
            if self.mode is not ServerMode.MUTE:
                await lines.send(data)

    async def _serve_with_fault(self, lines: LineStream, attempt: int) -> None:
        match self.mode:
            case ServerMode.FAILING:
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.ERROR))
                await lines.send(b"ERR\r\n")
            case ServerMode.RESETTING:
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.RESET))
                await lines.reset()
            case ServerMode.HALF_ANSWER:
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.RESET))
                await lines.send(b"UP 12")
            case ServerMode.ENDLESS_ANSWER:
                while not await _is_closed_within(lines, 0.05):
                    await lines.send(b"U" * 64)
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.ABANDONED))
            case _:
                await _is_closed_within(lines, math.inf)
                self._history.add(AttemptEnded(trio.current_time(), attempt, AttemptEnd.ABANDONED))

    def _end_established(self, attempt: int, *, by_server: bool) -> None:
        if self._established.pop(attempt, None):
            self._history.add(ServerConnectionEnded(trio.current_time(), attempt, by_server))


async def _is_closed_within(lines: LineStream, seconds: float) -> bool:
    """Wait for `seconds`; return True as soon as the peer closes or resets the connection, else False."""
    with trio.move_on_after(seconds):
        while await lines.wait_for_input():
            pass
        return True
    return False
