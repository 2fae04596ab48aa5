"""A stand-in tile server that follows the platform's protocol, and the troubles that one can be put in.

Its capacity: set-ups are served one after another, `setup_ms` each, slower while it is cold; connections take
slots. It answers every line with itself, `STATS` with its load, and a malformed first line with `SYNTAX`.
"""

from __future__ import annotations

import math
import re
from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

import trio

from walkloom.lab.invariant_checker import Attempt, Ledger
from walkloom.transport.line_stream import LineError, LineStream

_OPEN = re.compile(rb"OPEN ([0-9a-f]+) [0-9a-f]+ ([!-~]+)\r\n")


class Trouble(Enum):
    """What a tile server does instead of its work, to `share` of what comes."""

    NONE = "none"
    FULL = "full"  # BUSY
    FAILING = "failing"  # ERR
    RESETTING = "resetting"  # a reset instead of an answer
    SILENT = "silent"  # no answer
    TRICKLING = "trickling"  # a byte of an answer now and then, never a line


@dataclass(eq=False, slots=True)
class Standing:
    """One connection that stands."""

    id: str
    values: dict[str, str]
    lines: LineStream


class TileServer:
    def __init__(
        self,
        name: str,
        ledger: Ledger,
        *,
        slots: int = 400,
        setup_ms: float = 1.0,
        queue_ms: float = 1000.0,
        load_each: float = 0.0,
        cold_from: float = 1.0,
        cold_ms: float = 0.0,
        seed: int = 0,
    ) -> None:
        """slots: most connections. setup_ms: work of a set-up when warm. queue_ms: work piled up beyond which
        new ones are turned away. load_each: what a connection adds to the load (1.0: all it can do); 0.0: one
        slot. cold_from, cold_ms: share of its capacity right after `start`, and the time until it has all."""
        self.name, self.slots, self.setup_ms, self.queue_ms = name, slots, setup_ms, queue_ms
        self.load_each = load_each or 1.0 / slots
        self.cold_from, self.cold_ms = cold_from, cold_ms
        self.trouble, self.share = Trouble.NONE, 1.0
        self.draining = False
        self.standing: dict[str, Standing] = {}
        self.setups = 0  # answered UP
        self._recent = deque[float]()  # when, those of the last second
        self.port = 0
        self._ledger, self._rng = ledger, Random(f"{seed}/{name}")
        self._busy_until = self._started = -math.inf
        self._scope = trio.CancelScope()
        self._done = trio.Event()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def load(self) -> float:
        """Load asked over what it can do."""
        return len(self.standing) * self.load_each / self.capacity()

    def capacity(self) -> float:
        """Share of its full capacity that it has now: cold servers warm evenly."""
        age = self._now() - self._started
        if age >= self.cold_ms:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * age / self.cold_ms

    @staticmethod
    def _now() -> float:
        return trio.current_time() * 1000.0

    # Its life

    async def serve(
        self, cold: bool = False, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens (at the port of before, if any) until `crash` or the end of the nursery."""
        self._scope, self._done = trio.CancelScope(), trio.Event()
        self.draining = False
        self._busy_until = -math.inf
        self._started = self._now() if cold else -math.inf
        try:
            with self._scope:
                (listener,) = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
                self.port = listener.socket.getsockname()[1]
                async with trio.open_nursery() as nursery:
                    await nursery.start(trio.serve_listeners, self._live, [listener])
                    task_status.started()
        finally:
            self.standing.clear()
            self._done.set()

    async def crash(self) -> None:
        """The process dies: its connections are reset, new ones are refused."""
        for each in list(self.standing.values()):
            await each.lines.reset()
        self._scope.cancel()
        await self._done.wait()

    async def drain(self, over_ms: float = 0.0) -> None:
        """Takes nothing new, and sends its clients away: at once, or evenly over a time."""
        self.draining = True
        away = list(self.standing.values())
        start = self._now()
        for number, each in enumerate(away):
            due = start + over_ms * number / len(away)
            if due > self._now():
                await trio.sleep((due - self._now()) / 1000.0)
            if self.standing.get(each.id) is each:
                await self._end(each, b"MOVE\r\n")

    async def bye(self, rid: str) -> None:
        """Serves a connection to its end."""
        await self._end(self.standing[rid], b"BYE\r\n")

    async def _end(self, each: Standing, word: bytes) -> None:
        del self.standing[each.id]
        try:
            with trio.move_on_after(1.0):
                await each.lines.send(word)
                await each.lines.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):  # it left by itself
            return

    # A connection's life

    async def _live(self, stream: trio.SocketStream) -> None:
        lines = LineStream(stream)
        try:
            while line := await lines.read_line():
                word = line.strip()
                if word == b"PING":
                    await lines.send(b"PONG\r\n")
                elif word == b"STATS":
                    await lines.send(b"PONG %s\r\n" % self._report())
                else:
                    await self._opened(lines, line)
                    break
        except (LineError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await lines.close()

    def _report(self) -> bytes:
        self._forget()
        return b"served_ps=%.2f,busy_reqs=%d,x0=%.4f" % (len(self._recent), len(self.standing), self.load)

    def _forget(self) -> None:
        while self._recent and self._recent[0] <= self._now() - 1000.0:
            self._recent.popleft()

    async def _opened(self, lines: LineStream, line: bytes) -> None:
        match = _OPEN.fullmatch(line)
        if not match:
            self._ledger.fault(f"{self.name} was sent {line[:80]!r}")
            return await lines.send(b"SYNTAX\r\n")
        values = dict(item.split("=", 1) for item in match[2].decode().split(",") if "=" in item)
        rid = match[1].decode()
        attempt = self._ledger.began(self.name, rid, self._now(), "at" in values)
        try:
            if await self._placed(lines, attempt, values):
                await self._stand(lines, Standing(rid, values, lines), attempt)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._ledger.ended(attempt, "reset", self._now())
            raise
        finally:
            self._ledger.ended(attempt, "left", self._now())

    async def _placed(self, lines: LineStream, attempt: Attempt, values: dict[str, str]) -> bool:
        """Whether the connection came up; else it has its answer."""
        if self.trouble is not Trouble.NONE and self._rng.random() < self.share:
            return await self._troubled(lines, attempt)
        now = self._now()
        begin = max(now, self._busy_until)
        if self.draining or len(self.standing) >= self.slots or begin - now > self.queue_ms:
            return await self._answer(lines, attempt, b"BUSY")
        self._busy_until = begin + self.setup_ms / self.capacity()
        if not await _while_there(lines, self._busy_until - now):
            return False
        patience = float(values.get("d", "inf"))
        if ("at" not in values and self._now() - now > patience) or self.draining:
            return await self._answer(lines, attempt, b"BUSY")
        return True

    async def _troubled(self, lines: LineStream, attempt: Attempt) -> bool:
        match self.trouble:
            case Trouble.FULL:
                return await self._answer(lines, attempt, b"BUSY")
            case Trouble.FAILING:
                return await self._answer(lines, attempt, b"ERR")
            case Trouble.RESETTING:
                self._ledger.ended(attempt, "reset", self._now())
                await lines.reset()
            case Trouble.SILENT:
                await _while_there(lines, math.inf)
            case Trouble.TRICKLING:
                while await _while_there(lines, 100.0):
                    await lines.send(b"U")
        return False

    async def _answer(self, lines: LineStream, attempt: Attempt, word: bytes) -> bool:
        self._ledger.ended(attempt, word.decode(), self._now())
        await lines.send(word + b"\r\n")
        await lines.send_eof()
        return False

    async def _stand(self, lines: LineStream, each: Standing, attempt: Attempt) -> None:
        # the attempt ends with its answer: from now on the connection stands
        self._ledger.ended(attempt, "UP", self._now())
        self.setups += 1
        self._forget()
        self._recent.append(self._now())
        self.standing[each.id] = each
        try:
            await lines.send(b"UP %d\r\n" % self.setups)
            while data := await lines.read_complete_lines():
                await lines.send(data)
        finally:
            if self.standing.get(each.id) is each:
                del self.standing[each.id]


async def _while_there(lines: LineStream, ms: float) -> bool:
    """Waits so long; False at once where the other side leaves meanwhile."""
    with trio.move_on_after(max(ms, 0.0) / 1000.0):
        while await lines.wait_for_input():
            pass
        return False
    return True
