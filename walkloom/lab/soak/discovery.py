"""A stand-in of discovery with faults: one registry, and a listener for each balancer."""

from __future__ import annotations

import re
import socket
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import orjson
import trio

from walkloom.lab.soak.history import (
    CallFailed,
    CallReceived,
    DiscoveryReachable,
    History,
    Lifecycle,
    ListChanged,
    ListWritten,
    WatchSilenced,
)
from walkloom.lab.soak.hosts import LoopbackHost
from walkloom.transport.line_stream import RESET_ON_CLOSE

MAX_HEAD_BYTES = 8192
RECEIVE_BYTES = 4096
TRICKLE_BYTES = 200
TRICKLE_INTERVAL_S = 0.05
BACKLOG = 64
# In ANSWERING_LATE.
ANSWER_DELAY_S = 1.5
# In CROWDED: what each call takes, one after another, and how old a call may get in the queue.
CROWDED_CALL_S = 0.05
CROWDED_MAX_WAIT_S = 2.0

_TARGET = re.compile(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1\r\n")
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class DiscoveryMode(Enum):
    """What discovery does with calls."""

    HEALTHY = "healthy"
    # Connections are refused, and open ones were reset.
    REFUSING = "refusing"
    # Every call, and every open watch, is answered 503.
    UNAVAILABLE = "unavailable"
    # Connections are accepted, and no call is answered.
    SILENT = "silent"
    ANSWERING_LATE = "answering_late"
    TRICKLING = "trickling"
    # The answer ends within its body.
    CUT = "cut"
    # One call at a time; calls that waited too long end with 503, and still take their turn.
    CROWDED = "crowded"


# In these discovery is down. Silence and spoilt answers excuse nobody: what a balancer misses then counts as
# notified all the same.
DOWN_MODES = (DiscoveryMode.REFUSING, DiscoveryMode.UNAVAILABLE)
PUSHED_DOWN_MODES = (*DOWN_MODES, DiscoveryMode.SILENT)


@dataclass
class _Entry:
    """A server in the registry."""

    name: str
    address: str
    zone: str
    lifecycle: Lifecycle
    generation: int
    started_at_unix_ms: float = 0.0

    def to_wire(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "std-node",
            "cell": 0,
            "lifecycle": self.lifecycle.value,
            "weight": 1.0,
            "startedAtMs": self.started_at_unix_ms,
        }


@dataclass(eq=False)
class _Connection:
    """One connection of a balancer."""

    stream: trio.SocketStream
    # The open watch gets no answer any more.
    is_silenced: bool = False
    is_in_call: bool = False


@dataclass
class _Gate:
    """The listener of one balancer."""

    balancer: str
    port: int
    listener: trio.SocketListener | None = None
    connections: list[_Connection] = field(default_factory=list)
    # So many next calls are answered 503, whatever the mode.
    failing_calls: int = 0


class FaultyDiscovery:
    """The registry of a run."""

    def __init__(
        self, host: LoopbackHost, history: History, nursery: trio.Nursery, *, is_pushed: bool
    ) -> None:
        """The listeners run in the nursery, on ports of the host.

        is_pushed: it is the agent of a pushed list, which learns nothing while it is silent.
        """
        self._host = host
        self._down_modes = PUSHED_DOWN_MODES if is_pushed else DOWN_MODES
        self._mode_lock = trio.Lock()
        self.mode = DiscoveryMode.HEALTHY
        # Whole lists are sent in place of changes.
        self.sends_snapshots = False
        self.generation = 0
        # Of all lists, their heads included.
        self.written_bytes = 0
        self._history = history
        self._nursery = nursery
        self._entries: dict[str, _Entry] = {}
        self._gates: dict[str, _Gate] = {}
        self._changed = trio.Event()
        self._queue_free_at = 0.0

    # The registry

    def put(self, name: str, address: str, zone: str, started_at_unix_ms: float = 0.0) -> None:
        """List a server as ready."""
        self._change(_Entry(name, address, zone, Lifecycle.READY, 0, started_at_unix_ms))

    def set_lifecycle(self, name: str, lifecycle: Lifecycle, started_at_unix_ms: float = 0.0) -> None:
        """Change what the list says of a server."""
        entry = self._entries[name]
        self._change(
            _Entry(
                name, entry.address, entry.zone, lifecycle, 0, started_at_unix_ms or entry.started_at_unix_ms
            )
        )

    def _change(self, entry: _Entry) -> None:
        self.generation += 1
        entry.generation = self.generation
        self._entries[entry.name] = entry
        self._history.add(ListChanged(trio.current_time(), self.generation, entry.name, entry.lifecycle))
        self._wake()

    def snapshot(self) -> dict[str, object]:
        """Return the whole list, in the wire's form."""
        present = [entry for entry in self._entries.values() if entry.lifecycle is not Lifecycle.REMOVED]
        instances = [entry.to_wire() for entry in present]
        return {"generation": self.generation, "reset": True, "instances": instances}

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # Faults

    async def set_mode(self, mode: DiscoveryMode) -> None:
        """Change what becomes of calls, for all balancers."""
        async with self._mode_lock:
            await self._set_mode(mode)

    async def _set_mode(self, mode: DiscoveryMode) -> None:
        self.mode = mode
        reachable = mode not in self._down_modes
        for gate in self._gates.values():
            self._history.add(DiscoveryReachable(trio.current_time(), gate.balancer, reachable))
            if mode is DiscoveryMode.REFUSING and gate.listener:
                await gate.listener.aclose()
                gate.listener = None
                await self._reset(gate)
            elif mode is not DiscoveryMode.REFUSING and gate.listener is None:
                self._listen(gate)
        self._wake()

    async def reset_watches(self) -> None:
        """Reset all open connections."""
        for gate in self._gates.values():
            await self._reset(gate)

    def silence_watches(self) -> None:
        """Let all open watches fall silent; calls over other connections are answered."""
        for gate in self._gates.values():
            for connection in gate.connections:
                connection.is_silenced = True
            self._history.add(WatchSilenced(trio.current_time(), gate.balancer))

    def fail_next_calls(self, count: int) -> None:
        """Answer the next calls of each balancer 503."""
        for gate in self._gates.values():
            gate.failing_calls = count

    async def _reset(self, gate: _Gate) -> None:
        for connection in list(gate.connections):
            with suppress(OSError):
                connection.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await trio.aclose_forcefully(connection.stream)

    # Listeners

    def open_gate(self, balancer: str) -> str:
        """Listen for a balancer; return the address that it is to call."""
        gate = _Gate(balancer, self._host.next_port())
        self._gates[balancer] = gate
        self._history.add(DiscoveryReachable(trio.current_time(), balancer, True))
        self._listen(gate)
        return f"{self._host.address}:{gate.port}"

    def _listen(self, gate: _Gate) -> None:
        sock = trio.socket.from_stdlib_socket(
            socket.create_server((self._host.address, gate.port), backlog=BACKLOG)
        )
        gate.listener = trio.SocketListener(sock)
        self._nursery.start_soon(self._accept, gate, gate.listener)

    async def _accept(self, gate: _Gate, listener: trio.SocketListener) -> None:
        with suppress(trio.ClosedResourceError):
            while True:
                stream = await listener.accept()
                self._nursery.start_soon(self._serve, gate, _Connection(stream))

    async def _serve(self, gate: _Gate, connection: _Connection) -> None:
        gate.connections.append(connection)
        try:
            while await self._serve_call(gate, connection):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._history.add(CallFailed(trio.current_time(), gate.balancer))
        finally:
            gate.connections.remove(connection)
            await trio.aclose_forcefully(connection.stream)

    # One call

    async def _serve_call(self, gate: _Gate, connection: _Connection) -> bool:
        """Answer one call; False where the connection is to be closed."""
        head = bytearray()
        while b"\r\n\r\n" not in head:
            data = await connection.stream.receive_some(RECEIVE_BYTES)
            if not data or len(head) > MAX_HEAD_BYTES:
                return False
            head += data
        self._history.add(CallReceived(trio.current_time(), gate.balancer))
        match = _TARGET.match(head)
        if match is None:
            return False
        if gate.failing_calls > 0:
            gate.failing_calls -= 1
            return await self._refuse(gate, connection)
        if self.mode is DiscoveryMode.CROWDED and not await self._wait_in_queue():
            return await self._refuse(gate, connection)
        index = int(match[1]) if match[1] else None
        if index is not None and not await self._hold_while_open(connection, index, int(match[2]) / 1000.0):
            return False
        return await self._answer(gate, connection, index)

    async def _wait_in_queue(self) -> bool:
        """Take a turn; False where the call waited too long."""
        now = trio.current_time()
        starts_at = max(now, self._queue_free_at)
        self._queue_free_at = starts_at + CROWDED_CALL_S
        if starts_at - now > CROWDED_MAX_WAIT_S:
            await trio.sleep(CROWDED_MAX_WAIT_S)
            return False
        await trio.sleep(self._queue_free_at - now)
        return True

    async def _hold_while_open(self, connection: _Connection, index: int, wait_s: float) -> bool:
        """Hold a call; False where the balancer ends the connection meanwhile."""
        is_open = True

        async def watch_for_end() -> None:
            nonlocal is_open
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while await connection.stream.receive_some(RECEIVE_BYTES):
                    pass
            is_open = False
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_for_end)
            await self._hold(connection, index, wait_s)
            nursery.cancel_scope.cancel()
        return is_open

    async def _hold(self, connection: _Connection, index: int, wait_s: float) -> None:
        """Wait for a change after a generation, a fault that ends the watch, or the end of its time."""
        with trio.move_on_after(wait_s):
            while self.generation <= index and self.mode is not DiscoveryMode.UNAVAILABLE:
                await self._changed.wait()
        while connection.is_silenced or self.mode is DiscoveryMode.SILENT:
            await self._changed.wait()

    async def _answer(self, gate: _Gate, connection: _Connection, index: int | None) -> bool:
        while self.mode is DiscoveryMode.SILENT:
            await self._changed.wait()
        if self.mode is DiscoveryMode.UNAVAILABLE:
            return await self._refuse(gate, connection)
        if self.mode is DiscoveryMode.ANSWERING_LATE:
            await trio.sleep(ANSWER_DELAY_S)
        generation = self.generation
        body = orjson.dumps(self._list_after(index))
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.mode is DiscoveryMode.CUT:
            await connection.stream.send_all(data[: -len(body) // 2])
            self._history.add(CallFailed(trio.current_time(), gate.balancer))
            return False
        if self.mode is DiscoveryMode.TRICKLING:
            await _trickle(connection.stream, data)
        else:
            await connection.stream.send_all(data)
        self.written_bytes += len(data)
        self._history.add(ListWritten(trio.current_time(), gate.balancer, generation))
        return True

    async def _refuse(self, gate: _Gate, connection: _Connection) -> bool:
        await connection.stream.send_all(_UNAVAILABLE)
        self._history.add(CallFailed(trio.current_time(), gate.balancer))
        return False

    def _list_after(self, index: int | None) -> dict[str, object]:
        if index is None or index > self.generation or self.sends_snapshots:
            return self.snapshot()
        changed = [entry.to_wire() for entry in self._entries.values() if entry.generation > index]
        return {"generation": self.generation, "reset": False, "instances": changed}


async def _trickle(stream: trio.SocketStream, data: bytes) -> None:
    for start in range(0, len(data), TRICKLE_BYTES):
        await stream.send_all(data[start : start + TRICKLE_BYTES])
        await trio.sleep(TRICKLE_INTERVAL_S)
