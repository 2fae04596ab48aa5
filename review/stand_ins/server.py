"""A tile server that follows the page "Protocol"; it echoes each line of an open connection."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from stand_ins.record import Record

MAX_CONNECTIONS = 600


class Server:
    """One tile server on a loopback port.

    Attributes:
        is_draining: new connections are answered `BUSY`.
        attempts: time (s of the record) and request id of each request line, by its first byte.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.is_draining = False
        self.attempts: list[tuple[float, str]] = []
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.port = 0
        self._receipts = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; raises OSError if the address cannot be used."""
        self._listener = await asyncio.start_server(self._serve, host, port, limit=1 << 16)
        self.port = self._listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    def drain(self) -> None:
        """Turn new work away from now on, and send all clients away."""
        self.is_draining = True
        self.record.write(f"server {self.name} begins to drain")
        for writer in self.open.values():
            with suppress(OSError):
                writer.write(b"MOVE\r\n")
                writer.write_eof()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A cancellation comes only at the end of the program.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError)
        with suppress(*ends):
            while first := await reader.read(1):
                first_byte_at = self.record.now()
                line = first + await reader.readuntil(b"\n")
                if line.startswith(b"PING"):
                    writer.write(b"PONG\r\n")
                elif line.startswith(b"STATS"):
                    load = len(self.open) / 40
                    writer.write(b"PONG served_ps=1,busy_reqs=%d,x0=%.3f\r\n" % (len(self.open), load))
                else:
                    await self.serve_request(first_byte_at, line, reader, writer)
                    break
        with suppress(OSError):
            writer.close()

    async def serve_request(
        self, at: float, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request line and its connection; a subclass may behave otherwise."""
        request = line.split()[1].decode()
        self.attempts.append((at, request))
        self.record.write(f"server {self.name} got {line.decode().strip()!r} (first byte at {at:.4f})")
        if self.is_draining or len(self.open) >= MAX_CONNECTIONS:
            writer.write(b"BUSY\r\n")
            return
        self._receipts += 1
        writer.write(b"UP %s-%d\r\n" % (self.name.encode(), self._receipts))
        self.open[request] = writer
        try:
            while data := await reader.readline():
                self.received(request, data)
                writer.write(data)
        finally:
            del self.open[request]

    def received(self, request: str, line: bytes) -> None:
        """Take note of a line on an open connection."""
