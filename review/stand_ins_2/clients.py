"""A stand-in of a client: opens a connection, sends a line every 2 s, and notes how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os

from stand_ins_2.ports import HOST
from stand_ins_2.record import Record

LINE_INTERVAL_S = 2.0
# A client waits this much longer than its own patience, so that a late answer is seen as late, s.
LATE_ANSWER_S = 3.0


class Client:
    """One client with one connection. All times are seconds of the record's clock."""

    def __init__(
        self, record: Record, balancer: str, port: int, request_class: str, wait_ms: int, group: int = 0
    ) -> None:
        """wait_ms: how long the client waits for its answer; group: 0 for none."""
        self.id = os.urandom(8).hex()
        self.balancer = balancer
        self.answer = ""
        self.sent_at = math.inf
        self.answered_at = math.inf
        self.ended_at = math.inf
        self.moved_at = math.inf
        self.last_line = ""
        self.was_reset = False
        self.has_left = False
        self._port = port
        self._record = record
        self._wait_ms = wait_ms
        parameters = f"c={request_class},d={wait_ms}" + (f",g={group:x}" if group else "")
        self._request = f"OPEN {self.id} {os.urandom(8).hex()} {parameters}\r\n".encode()

    async def run(self, life_s: float = math.inf) -> None:
        """Open the connection and use it until it ends, or for `life_s`."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self._port)
        except OSError as error:
            self._record.add(f"client {self.id} {self.balancer} not connected: {error}")
            return
        try:
            await self._use(reader, writer, life_s)
        except OSError as error:
            self.was_reset = True
            self._end(f"broken: {error!r}")
        finally:
            writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, life_s: float) -> None:
        writer.write(self._request)
        self.sent_at = self._record.add(
            f"client {self.id} {self.balancer} sends {self._request.decode()[:-2]}"
        )
        try:
            line = await asyncio.wait_for(reader.readline(), self._wait_ms / 1000.0 + LATE_ANSWER_S)
        except TimeoutError:
            self._leave("without an answer")
            return
        self._take(line)
        self.answer = self.last_line
        if line:
            self.answered_at = self._record.add(f"client {self.id} {self.balancer} answer {self.answer}")
        if not line.startswith(b"UP"):
            await reader.read()
            self._end(f"answer {self.answer or 'none'}")
            return
        sender = asyncio.create_task(self._send_lines(writer))
        try:
            await asyncio.wait_for(self._read_lines(reader), None if math.isinf(life_s) else life_s)
        except TimeoutError:
            self._leave("as it wants")
        finally:
            sender.cancel()

    async def _send_lines(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            number = 0
            while True:
                await asyncio.sleep(LINE_INTERVAL_S)
                number += 1
                writer.write(f"LINE {number}\r\n".encode())
                await writer.drain()

    async def _read_lines(self, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            self._take(line)
            if line == b"MOVE\r\n":
                self.moved_at = self._record.add(f"client {self.id} {self.balancer} told to MOVE")
                return
        self._end("by the other side")

    def _take(self, line: bytes) -> None:
        self.last_line = line.decode(errors="replace").strip()

    def _leave(self, text: str) -> None:
        self.has_left = True
        self._record.add(f"client {self.id} {self.balancer} leaves {text}")

    def _end(self, text: str) -> None:
        self.ended_at = self._record.add(
            f"client {self.id} {self.balancer} connection ended {text}, last line {self.last_line!r}"
        )
