"""A stand-in of a tile server: sets connections up, returns each line, drains and leaves."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable

from stand_ins_2.ports import HOST, free_port
from stand_ins_2.record import Record

BACKLOG = 256
# Connections that fill the queue of a listener that accepts none.
FILLERS = 4
RESET = struct.pack("ii", 1, 0)


class TileServer:
    """One tile server on a loopback address."""

    def __init__(self, name: str, record: Record, setup_s: float = 0.005) -> None:
        """Choose a free port; setup_s: time of a set-up, s. Raises OSError if there is no port."""
        self.name = name
        self.port = free_port()
        self.setup_s = setup_s
        # Load reports are refreshed after this time, s, and show what was so long before.
        self.report_period_s = 0.17
        self.report_delay_s = 0.08
        # Connections that fill the server when it is warm.
        self.full = 30
        # When it started, s; how long it is cold, s, and the share of its capacity that it starts with.
        self.started_at = -1e9
        self.cold_s = 7.7
        self.cold_from = 0.37
        self.is_draining = False
        # Share of the requests that are answered with an error.
        self.failing_share = 0.0
        # Called with the id of each request whose line has come.
        self.on_open: Callable[[str], None] = lambda _: None
        # Ids of the clients that are set up here, and the times of all first bytes of requests, s.
        self.clients: dict[str, asyncio.StreamWriter] = {}
        self.opens: list[tuple[float, str]] = []
        self._record = record
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None]
        self._may_accept = asyncio.Event()
        self._fillers: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._counts: list[tuple[float, int]] = []
        self._report = b"PONG\r\n"
        self._reported_at = -1e9

    def capacity_share(self, at: float) -> float:
        """Return the share of its capacity that the server has at a time, s; it rises evenly to 1."""
        share = self.cold_from + (1.0 - self.cold_from) * (at - self.started_at) / self.cold_s
        return min(share, 1.0)

    @property
    def address(self) -> str:
        """Host and port, as the list names them."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen; raises OSError if the port was taken meanwhile."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((HOST, self.port))
        sock.listen(BACKLOG)
        self._listener = sock
        self._may_accept.set()
        self._accepting = asyncio.create_task(self._accept(sock))

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        while True:
            await self._may_accept.wait()
            connection, _ = await loop.sock_accept(sock)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = asyncio.create_task(self._serve(reader, writer))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def set_late(self, is_late: bool) -> None:
        """Let new connections come up only after this is taken back: the listener's queue is kept full."""
        if self._listener is None or is_late != self._may_accept.is_set():
            return
        if is_late:
            self._may_accept.clear()
            self._listener.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((HOST, self.port))
                self._fillers.append(filler)
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(BACKLOG)
        self._may_accept.set()

    def drain(self) -> None:
        """Begin to drain: turn new requests away and send all clients away at once."""
        self.is_draining = True
        self._record.add(f"server {self.name} begins to drain and sends {len(self.clients)} clients away")
        for writer in list(self.clients.values()):
            writer.write(b"MOVE\r\n")
            writer.write_eof()

    def leave(self) -> None:
        """End the process: new connections are refused, and open ones are reset."""
        self._record.add(f"server {self.name} leaves with clients {sorted(self.clients) or 'none'}")
        if self._listener:
            self._accepting.cancel()
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            reset(writer)
        self.clients.clear()
        self._count()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        client = ""
        try:
            while first := await reader.read(1):
                first_byte_at = self._record.now()
                line = first + await reader.readline()
                words = line.split()
                if words[:1] == [b"STATS"]:
                    writer.write(self._load_report())
                elif words[:1] == [b"PING"]:
                    writer.write(b"PONG\r\n")
                elif words[:1] == [b"OPEN"] and len(words) == 4:
                    client = words[1].decode()
                    self.opens.append((first_byte_at, client))
                    self._record.add(f"server {self.name} got {line.decode().strip()}")
                    await self._serve_client(client, reader, writer)
                    break
                else:
                    writer.write(b"SYNTAX\r\n")
                    break
        except OSError:
            pass
        finally:
            if client and self.clients.pop(client, None):
                self._count()
                self._record.add(f"server {self.name} client {client} ended")
            self._writers.discard(writer)
            writer.close()

    def _load_report(self) -> bytes:
        now = self._record.now()
        if now - self._reported_at >= self.report_period_s:
            self._reported_at = now
            past = [count for at, count in self._counts if at <= now - self.report_delay_s]
            count = past[-1] if past else 0
            load = count / (self.full * self.capacity_share(now))
            self._report = b"PONG served_ps=1.0,busy_reqs=%d,x0=%.3f\r\n" % (count, load)
        return self._report

    def _count(self) -> None:
        self._counts.append((self._record.now(), len(self.clients)))

    async def _serve_client(
        self, client: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.on_open(client)
        if self.is_draining:
            self._answer(client, writer, b"BUSY")
            return
        if random.random() < self.failing_share:
            self._answer(client, writer, b"ERR")
            return
        with contextlib.suppress(TimeoutError):
            # A balancer that gives the attempt up ends its connection; nothing else may come before the UP.
            await asyncio.wait_for(reader.read(1), self.setup_s)
            self._record.add(f"server {self.name} client {client} given up before its set-up ended")
            return
        self._answer(client, writer, b"UP %s-%s" % (self.name.encode(), client.encode()))
        self.clients[client] = writer
        self._count()
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()

    def _answer(self, client: str, writer: asyncio.StreamWriter, answer: bytes) -> None:
        self._record.add(f"server {self.name} answers {client}: {answer.decode()}")
        writer.write(answer + b"\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of a process does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
