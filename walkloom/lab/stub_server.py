"""A stub of a tile server that follows the platform's line protocol and can inject faults.

It echoes every line of an established connection, answers `STATS` with a load report, and answers a malformed
first line with `SYNTAX`.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from random import Random

import trio

from walkloom.lab.fault import Fault
from walkloom.lab.invariant_checker import Attempt, InvariantChecker
from walkloom.lab.server_capacity import ServerCapacity, StubServerSettings
from walkloom.transport.line_stream import LineError, LineStream

LAST_LINE_TIMEOUT_S = 1.0  # to send the last line of a connection to a client that does not read
TRICKLE_INTERVAL_MS = 100.0  # short compared with the timeouts of requests

_OPEN_LINE = re.compile(rb"OPEN ([0-9a-f]+) [0-9a-f]+ ([!-~]+)\r\n")


@dataclass(eq=False, slots=True)
class StubConnection:
    """One established connection."""

    request_id: str
    lines: LineStream


class StubServer:
    """A server on loopback; it keeps its port across restarts."""

    def __init__(
        self, name: str, invariants: InvariantChecker, settings: StubServerSettings, seed: int = 0
    ) -> None:
        self.name = name
        self.settings = settings
        self.capacity = ServerCapacity(settings)
        self.fault = Fault.NONE
        self.fault_share = 1.0  # of the new connections
        self.is_draining = False
        self.connections: dict[str, StubConnection] = {}  # by request id
        self.setup_count = 0
        self.port = 0
        self._invariants = invariants
        self._random = Random(f"{seed}/{name}")
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()

    @property
    def address(self) -> str:
        """Host and port, as listed by discovery."""
        return f"127.0.0.1:{self.port}"

    @property
    def load(self) -> float:
        """Load relative to the present capacity."""
        return self.capacity.load(len(self.connections), _now_ms())

    @property
    def capacity_share(self) -> float:
        """Share of the full capacity that is available now."""
        return self.capacity.available_share(_now_ms())

    # Start and shutdown

    async def serve(
        self, is_cold: bool = False, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve connections until `crash` or cancellation; a cold server begins its slow start."""
        self._scope = trio.CancelScope()
        self._stopped = trio.Event()
        self.is_draining = False
        self.capacity.start(_now_ms(), is_cold)
        try:
            with self._scope:
                (listener,) = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
                self.port = listener.socket.getsockname()[1]
                async with trio.open_nursery() as nursery:
                    await nursery.start(trio.serve_listeners, self._serve_stream, [listener])
                    task_status.started()
        finally:
            self.connections.clear()
            self._stopped.set()

    async def crash(self) -> None:
        """Reset all connections and stop listening."""
        for connection in list(self.connections.values()):
            await connection.lines.reset()
        self._scope.cancel()
        await self._stopped.wait()

    async def drain(self, duration_ms: float = 0.0) -> None:
        """Reject new connections, and migrate the established ones evenly over `duration_ms` (0: at once)."""
        self.is_draining = True
        migrating = list(self.connections.values())
        started_at_ms = _now_ms()
        for number, connection in enumerate(migrating):
            due_at_ms = started_at_ms + duration_ms * number / len(migrating)
            if due_at_ms > _now_ms():
                await trio.sleep((due_at_ms - _now_ms()) / 1000.0)
            if self.connections.get(connection.request_id) is connection:
                await self._end_connection(connection, b"MOVE\r\n")

    async def complete(self, request_id: str) -> None:
        """End a connection normally, with BYE."""
        await self._end_connection(self.connections[request_id], b"BYE\r\n")

    async def _end_connection(self, connection: StubConnection, last_line: bytes) -> None:
        del self.connections[connection.request_id]
        try:
            with trio.move_on_after(LAST_LINE_TIMEOUT_S):
                await connection.lines.send(last_line)
                await connection.lines.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # the client has already closed the connection

    # One connection

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        lines = LineStream(stream)
        try:
            while line := await lines.read_line():
                command = line.strip()
                if command == b"PING":
                    await lines.send(b"PONG\r\n")
                elif command == b"STATS":
                    await lines.send(b"PONG %s\r\n" % self._load_report())
                else:
                    await self._serve_request(lines, line)
                    break
        except (LineError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await lines.close()

    def _load_report(self) -> bytes:
        setups_per_s = self.capacity.setups_per_s(_now_ms())
        return b"served_ps=%.2f,busy_reqs=%d,x0=%.4f" % (setups_per_s, len(self.connections), self.load)

    async def _serve_request(self, lines: LineStream, request_line: bytes) -> None:
        match = _OPEN_LINE.fullmatch(request_line)
        if not match:
            self._invariants.record_violation(
                f"{self.name} received a malformed request line: {request_line[:80]!r}"
            )
            await lines.send(b"SYNTAX\r\n")
            return
        request_id = match[1].decode()
        parameters = dict(item.split("=", 1) for item in match[2].decode().split(",") if "=" in item)
        is_adopted = "at" in parameters
        attempt = self._invariants.attempt_started(self.name, request_id, _now_ms(), is_adopted)
        try:
            if await self._set_up(lines, attempt, parameters):
                await self._serve_connection(lines, StubConnection(request_id, lines), attempt)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._invariants.attempt_ended(attempt, "reset", _now_ms())
            raise
        finally:
            self._invariants.attempt_ended(attempt, "left", _now_ms())

    async def _set_up(self, lines: LineStream, attempt: Attempt, parameters: dict[str, str]) -> bool:
        """Run the setup; return False if the client was answered otherwise or has disconnected."""
        if self.fault is not Fault.NONE and self._random.random() < self.fault_share:
            await self._apply_fault(lines, attempt)
            return False
        started_at_ms = _now_ms()
        if self._is_full(started_at_ms):
            await self._answer(lines, attempt, b"BUSY")
            return False
        if not await _wait_while_connected(lines, self.capacity.enqueue_setup(started_at_ms)):
            return False
        timeout_ms = float(parameters.get("d", "inf"))
        is_late = "at" not in parameters and _now_ms() - started_at_ms > timeout_ms
        if is_late or self.is_draining:
            await self._answer(lines, attempt, b"BUSY")
            return False
        return True

    def _is_full(self, now_ms: float) -> bool:
        return (
            self.is_draining
            or len(self.connections) >= self.settings.max_connections
            or self.capacity.queue_delay_ms(now_ms) > self.settings.max_queue_ms
        )

    async def _apply_fault(self, lines: LineStream, attempt: Attempt) -> None:
        match self.fault:
            case Fault.AT_CAPACITY:
                await self._answer(lines, attempt, b"BUSY")
            case Fault.FAILING:
                await self._answer(lines, attempt, b"ERR")
            case Fault.RESETTING:
                self._invariants.attempt_ended(attempt, "reset", _now_ms())
                await lines.reset()
            case Fault.SILENT:
                await _wait_while_connected(lines, math.inf)
            case Fault.TRICKLING:
                while await _wait_while_connected(lines, TRICKLE_INTERVAL_MS):
                    await lines.send(b"U")

    async def _answer(self, lines: LineStream, attempt: Attempt, word: bytes) -> None:
        self._invariants.attempt_ended(attempt, word.decode(), _now_ms())
        await lines.send(word + b"\r\n")
        await lines.send_eof()

    async def _serve_connection(
        self, lines: LineStream, connection: StubConnection, attempt: Attempt
    ) -> None:
        # The attempt ends with its answer; from here on the connection is established.
        self._invariants.attempt_ended(attempt, "UP", _now_ms())
        self.setup_count += 1
        self.capacity.setup_finished(_now_ms())
        self.connections[connection.request_id] = connection
        try:
            await lines.send(b"UP %d\r\n" % self.setup_count)
            while data := await lines.read_complete_lines():
                await lines.send(data)
        finally:
            if self.connections.get(connection.request_id) is connection:
                del self.connections[connection.request_id]


def _now_ms() -> float:
    return trio.current_time() * 1000.0


async def _wait_while_connected(lines: LineStream, wait_ms: float) -> bool:
    """Wait for `wait_ms`; return False as soon as the other side closes the connection."""
    with trio.move_on_after(max(wait_ms, 0.0) / 1000.0):
        while await lines.wait_for_input():
            pass
        return False
    return True
