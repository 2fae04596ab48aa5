"""Clients of a run: each opens one connection, sends a request, and uses the connection until it ends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import trio

from walkloom.lab.soak.history import (
    ClientConnectionEnded,
    ClientLeft,
    History,
    LineReturned,
    LineUnanswered,
    RequestAnswered,
    RequestSent,
)
from walkloom.transport.line_stream import LineError, LineStream, first_word

# A client waits this long past its deadline, so that a late answer is recorded as late.
LATE_ANSWER_WAIT_S = 2.0
LINE_INTERVAL_S = 0.4
# Pause between the pieces of a request line (WRITES_SLOWLY).
PIECE_INTERVAL_S = 0.02
# The platform requires that a connection is closed or migrated once a line is unanswered for 7 s. A longer
# wait is recorded.
MAX_UNANSWERED_S = 7.0
# Lines carry their time of sending with six decimals.
SENT_AT_PRECISION_S = 1e-6
CONNECT_TIMEOUT_S = 1.0


class ClientBehaviour(Enum):
    """What a client does after it connects."""

    ORDINARY = "ordinary"
    # Disconnects shortly after its request, without waiting for the answer.
    LEAVES_EARLY = "leaves_early"
    # Writes its request line in pieces.
    WRITES_SLOWLY = "writes_slowly"
    # Sends half a request line and keeps the connection open.
    STOPS_MIDWAY = "stops_midway"
    # Sends a second command directly after its request.
    PIPELINES = "pipelines"
    # Connects and sends nothing.
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """One client, as drawn from the seed."""

    # Seconds from the start of the run.
    offset_s: float
    balancer: str
    request: str
    request_class: str
    deadline_ms: int
    group: int
    lifetime_s: float
    leave_after_s: float = 0.05
    behaviour: ClientBehaviour = ClientBehaviour.ORDINARY

    def request_line(self) -> bytes:
        """Return the request line, with its line end."""
        # The number of the group is also the client key, the second argument of OPEN.
        fields = f"c={self.request_class},d={self.deadline_ms},g={self.group:x}"
        return f"OPEN {self.request} {self.group:x} {fields}\r\n".encode()


async def run_client(plan: ClientPlan, address: str, history: History) -> None:
    """Run one client; where the balancer accepts no connection, no request is recorded."""
    host, _, port = address.rpartition(":")
    stream = None
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
    if stream is None:
        return
    async with stream:
        await _Client(plan, LineStream(stream), history).run()


class _Client:
    """A client with an open connection."""

    def __init__(self, plan: ClientPlan, lines: LineStream, history: History) -> None:
        self._plan = plan
        self._lines = lines
        self._history = history
        self._last_line = ""
        self._has_left = False
        self._was_reset = False
        # Times at which the lines without an answer were sent, oldest first.
        self._unanswered = deque[float]()

    async def run(self) -> None:
        """Send the request, read the answer, and use the connection."""
        try:
            if await self._send_request() and await self._read_answer():
                await self._use_connection()
        except trio.BrokenResourceError:
            self._was_reset = True
        except LineError:
            self._last_line = "a line of over 4096 bytes"
        if not self._has_left:
            now = trio.current_time()
            self._history.add(
                ClientConnectionEnded(now, self._plan.request, self._last_line, self._was_reset)
            )

    async def _send_request(self) -> bool:
        """Send the request line; return False where this client never sends a whole one."""
        line = self._plan.request_line()
        match self._plan.behaviour:
            case ClientBehaviour.IDLE:
                await self._read_until_end()
                return False
            case ClientBehaviour.STOPS_MIDWAY:
                await self._lines.send(line[: len(line) // 2])
                await self._read_until_end()
                return False
            case ClientBehaviour.WRITES_SLOWLY:
                # Pieces of 16 bytes.
                for start in range(0, len(line), 16):
                    await self._lines.send(line[start : start + 16])
                    await trio.sleep(PIECE_INTERVAL_S)
            case ClientBehaviour.PIPELINES:
                await self._lines.send(line + b"PING\r\n")
            case _:
                await self._lines.send(line)
        now = trio.current_time()
        self._history.add(RequestSent(now, self._plan.balancer, self._plan.request, self._plan.deadline_ms))
        return True

    async def _read_answer(self) -> bool:
        """Return whether the connection is established."""
        if self._plan.behaviour is ClientBehaviour.LEAVES_EARLY:
            await trio.sleep(self._plan.leave_after_s)
            self._leave()
            return False
        with trio.move_on_after(self._plan.deadline_ms / 1000.0 + LATE_ANSWER_WAIT_S):
            line = await self._lines.read_line()
            if not line:
                return False
            self._last_line = line.decode(errors="replace").strip()
            word = first_word(line).decode(errors="replace")
            self._history.add(RequestAnswered(trio.current_time(), self._plan.request, word))
            if word == "UP":
                return True
            await self._read_until_end()
            return False
        self._leave()
        return False

    async def _read_until_end(self) -> None:
        while line := await self._lines.read_line():
            self._last_line = line.decode(errors="replace").strip()

    async def _use_connection(self) -> None:
        """Send lines until the lifetime is over or the balancer ends the connection."""
        with trio.move_on_after(self._plan.lifetime_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_lines)
                try:
                    await self._read_lines()
                except trio.BrokenResourceError:
                    self._was_reset = True
                nursery.cancel_scope.cancel()
            return
        self._leave()

    async def _send_lines(self) -> None:
        try:
            while True:
                sent_at = trio.current_time()
                self._unanswered.append(sent_at)
                await self._lines.send(f"M {sent_at:.6f}\r\n".encode())
                await trio.sleep(LINE_INTERVAL_S)
                self._record_unanswered_line()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # the reading task records how the connection ended

    async def _read_lines(self) -> None:
        while line := await self._lines.read_line():
            self._last_line = line.decode(errors="replace").strip()
            word, _, sent_at = self._last_line.partition(" ")
            if word == "M":
                now = trio.current_time()
                self._history.add(LineReturned(now, self._plan.request, now - float(sent_at)))
                # Lines sent before this one were dropped by the server; this line counts as their answer too.
                while self._unanswered and self._unanswered[0] <= float(sent_at) + SENT_AT_PRECISION_S:
                    self._unanswered.popleft()
            elif word == "MOVE":
                return

    def _record_unanswered_line(self) -> None:
        waited_s = trio.current_time() - self._unanswered[0] if self._unanswered else 0.0
        if waited_s > MAX_UNANSWERED_S:
            self._history.add(LineUnanswered(trio.current_time(), self._plan.request, waited_s))

    def _leave(self) -> None:
        self._has_left = True
        self._history.add(ClientLeft(trio.current_time(), self._plan.request))
