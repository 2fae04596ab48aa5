"""A stand-in for discovery with faults: one registry, and a listener for each balancer."""

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
from walkloom.lab.soak.registry import Registry, ServerEntry
from walkloom.transport.line_stream import RESET_ON_CLOSE

MAX_HEAD_BYTES = 8192
RECEIVE_BYTES = 4096
TRICKLE_BYTES = 200
TRICKLE_INTERVAL_S = 0.05
BACKLOG = 64
# Delay of each answer in ANSWERING_LATE.
ANSWER_DELAY_S = 1.5
# In CROWDED, calls are served one at a time: their service time, and the longest wait in the queue.
CROWDED_CALL_S = 0.05
CROWDED_MAX_WAIT_S = 2.0

_REQUEST_HEAD = re.compile(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1\r\n")
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class DiscoveryMode(Enum):
    """How discovery handles calls."""

    HEALTHY = "healthy"
    # Connections are refused, and open ones are reset.
    REFUSING = "refusing"
    # Every call and every open watch is answered with 503.
    UNAVAILABLE = "unavailable"
    # Connections are accepted, but no call is answered.
    SILENT = "silent"
    ANSWERING_LATE = "answering_late"
    TRICKLING = "trickling"
    # The answer ends in the middle of its body.
    CUT = "cut"
    # Calls are served one at a time. A call that waits too long ends with 503, but still uses its service
    # time.
    CROWDED = "crowded"


# Modes in which discovery counts as down. In every other mode a change counts as notified after a time limit
# at the latest, even if the balancer got no answer or a malformed one.
DOWN_MODES = (DiscoveryMode.REFUSING, DiscoveryMode.UNAVAILABLE)
PUSHED_DOWN_MODES = (*DOWN_MODES, DiscoveryMode.SILENT)


@dataclass(eq=False)
class _Connection:
    """One connection of a balancer."""

    stream: trio.SocketStream
    # The open watch on this connection is never answered.
    is_silenced: bool = False


@dataclass
class _Caller:
    """A balancer that calls discovery: its listener and its open connections."""

    balancer: str
    port: int
    listener: trio.SocketListener | None = None
    connections: list[_Connection] = field(default_factory=list)
    # The number of next calls that are answered with 503, whatever the mode.
    calls_to_fail: int = 0
    # How long each of them waits for its answer.
    failure_delay_s: float = 0.0


class FaultyDiscovery:
    """The discovery service of a run: the registry and its faults."""

    def __init__(
        self, host: LoopbackHost, history: History, nursery: trio.Nursery, *, is_pushed: bool
    ) -> None:
        """The listeners run in the nursery, on ports of the host.

        is_pushed: the balancers get a pushed list, and this stand-in is the agent that they call for it.
        While SILENT, the agent itself receives no change, so that mode counts as down too.
        """
        self._host = host
        self._down_modes = PUSHED_DOWN_MODES if is_pushed else DOWN_MODES
        self._mode_lock = trio.Lock()
        self.mode = DiscoveryMode.HEALTHY
        # Whether snapshots are sent instead of incremental updates.
        self.sends_snapshots = False
        self.registry = Registry()
        # Total size of all lists that were written, with their HTTP heads.
        self.written_bytes = 0
        self._history = history
        self._nursery = nursery
        self._callers: dict[str, _Caller] = {}
        self._changed = trio.Event()
        self._queue_free_at = 0.0

    # The registry

    def add_server(self, name: str, address: str, zone: str) -> None:
        """Add a server to the registry as ready."""
        self._record_change(self.registry.add_server(name, address, zone))

    def set_lifecycle(self, name: str, lifecycle: Lifecycle, started_at_unix_ms: float = 0.0) -> None:
        """Change the lifecycle of a server in the registry; started_at_unix_ms: 0 leaves it as it is."""
        self._record_change(self.registry.set_lifecycle(name, lifecycle, started_at_unix_ms))

    def _record_change(self, entry: ServerEntry) -> None:
        self._history.add(ListChanged(trio.current_time(), entry.generation, entry.name, entry.lifecycle))
        self._wake_waiting_calls()

    def _wake_waiting_calls(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # Faults

    async def set_mode(self, mode: DiscoveryMode) -> None:
        """Change the mode for all balancers."""
        async with self._mode_lock:
            await self._set_mode(mode)

    async def _set_mode(self, mode: DiscoveryMode) -> None:
        self.mode = mode
        reachable = mode not in self._down_modes
        for caller in self._callers.values():
            self._history.add(DiscoveryReachable(trio.current_time(), caller.balancer, reachable))
            if mode is DiscoveryMode.REFUSING and caller.listener:
                await caller.listener.aclose()
                caller.listener = None
                await self._reset(caller)
            elif mode is not DiscoveryMode.REFUSING and caller.listener is None:
                self._listen(caller)
        self._wake_waiting_calls()

    async def reset_watches(self) -> None:
        """Reset all open connections."""
        for caller in self._callers.values():
            await self._reset(caller)

    def silence_watches(self) -> None:
        """Leave all open watches unanswered; calls over other connections are answered."""
        for caller in self._callers.values():
            for connection in caller.connections:
                connection.is_silenced = True
            self._history.add(WatchSilenced(trio.current_time(), caller.balancer))

    def fail_next_calls(self, count: int, delay_s: float = 0.0) -> None:
        """Answer the next `count` calls of each balancer with 503, each after `delay_s`."""
        for caller in self._callers.values():
            caller.calls_to_fail = count
            caller.failure_delay_s = delay_s

    async def _reset(self, caller: _Caller) -> None:
        for connection in list(caller.connections):
            with suppress(OSError):
                connection.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await trio.aclose_forcefully(connection.stream)

    # Listeners

    def listen_for(self, balancer: str) -> str:
        """Listen for a balancer; return the address that it must call."""
        caller = _Caller(balancer, self._host.next_port())
        self._callers[balancer] = caller
        self._history.add(DiscoveryReachable(trio.current_time(), balancer, True))
        self._listen(caller)
        return f"{self._host.address}:{caller.port}"

    def _listen(self, caller: _Caller) -> None:
        sock = trio.socket.from_stdlib_socket(
            socket.create_server((self._host.address, caller.port), backlog=BACKLOG)
        )
        caller.listener = trio.SocketListener(sock)
        self._nursery.start_soon(self._accept, caller, caller.listener)

    async def _accept(self, caller: _Caller, listener: trio.SocketListener) -> None:
        with suppress(trio.ClosedResourceError):
            while True:
                stream = await listener.accept()
                self._nursery.start_soon(self._serve, caller, _Connection(stream))

    async def _serve(self, caller: _Caller, connection: _Connection) -> None:
        caller.connections.append(connection)
        try:
            while await self._serve_call(caller, connection):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._history.add(CallFailed(trio.current_time(), caller.balancer))
        finally:
            caller.connections.remove(connection)
            await trio.aclose_forcefully(connection.stream)

    # One call

    async def _serve_call(self, caller: _Caller, connection: _Connection) -> bool:
        """Answer one call; return False where the connection must be closed."""
        head = bytearray()
        while b"\r\n\r\n" not in head:
            data = await connection.stream.receive_some(RECEIVE_BYTES)
            if not data or len(head) > MAX_HEAD_BYTES:
                return False
            head += data
        self._history.add(CallReceived(trio.current_time(), caller.balancer, connection.is_silenced))
        match = _REQUEST_HEAD.match(head)
        if match is None:
            return False
        if caller.calls_to_fail > 0:
            caller.calls_to_fail -= 1
            await trio.sleep(caller.failure_delay_s)
            return await self._answer_unavailable(caller, connection)
        if self.mode is DiscoveryMode.CROWDED and not await self._wait_in_queue():
            return await self._answer_unavailable(caller, connection)
        index = int(match[1]) if match[1] else None
        if index is not None and not await self._hold_watch_while_open(
            connection, index, int(match[2]) / 1000.0
        ):
            return False
        return await self._answer(caller, connection, index)

    async def _wait_in_queue(self) -> bool:
        """Wait for a turn in the queue; return False where the call waited too long."""
        now = trio.current_time()
        turn_starts_at = max(now, self._queue_free_at)
        self._queue_free_at = turn_starts_at + CROWDED_CALL_S
        if turn_starts_at - now > CROWDED_MAX_WAIT_S:
            await trio.sleep(CROWDED_MAX_WAIT_S)
            return False
        await trio.sleep(self._queue_free_at - now)
        return True

    async def _hold_watch_while_open(self, connection: _Connection, index: int, wait_s: float) -> bool:
        """Hold a watch; return False where the balancer ends the connection meanwhile."""
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
            await self._hold_watch(connection, index, wait_s)
            nursery.cancel_scope.cancel()
        return is_open

    async def _hold_watch(self, connection: _Connection, index: int, wait_s: float) -> None:
        """Wait for a change after generation `index`, a fault that ends the watch, or its timeout."""
        with trio.move_on_after(wait_s):
            while self.registry.generation <= index and self.mode is not DiscoveryMode.UNAVAILABLE:
                await self._changed.wait()
        while connection.is_silenced or self.mode is DiscoveryMode.SILENT:
            await self._changed.wait()

    async def _answer(self, caller: _Caller, connection: _Connection, index: int | None) -> bool:
        while self.mode is DiscoveryMode.SILENT:
            await self._changed.wait()
        if self.mode is DiscoveryMode.UNAVAILABLE:
            return await self._answer_unavailable(caller, connection)
        if self.mode is DiscoveryMode.ANSWERING_LATE:
            await trio.sleep(ANSWER_DELAY_S)
        generation = self.registry.generation
        body = orjson.dumps(self.registry.list_after(None if self.sends_snapshots else index))
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if self.mode is DiscoveryMode.CUT:
            await connection.stream.send_all(data[: -len(body) // 2])
            self._history.add(CallFailed(trio.current_time(), caller.balancer))
            return False
        if self.mode is DiscoveryMode.TRICKLING:
            await _trickle(connection.stream, data)
        else:
            await connection.stream.send_all(data)
        self.written_bytes += len(data)
        self._history.add(ListWritten(trio.current_time(), caller.balancer, generation))
        return True

    async def _answer_unavailable(self, caller: _Caller, connection: _Connection) -> bool:
        await connection.stream.send_all(_UNAVAILABLE)
        self._history.add(CallFailed(trio.current_time(), caller.balancer))
        return False


async def _trickle(stream: trio.SocketStream, data: bytes) -> None:
    for start in range(0, len(data), TRICKLE_BYTES):
        await stream.send_all(data[start : start + TRICKLE_BYTES])
        await trio.sleep(TRICKLE_INTERVAL_S)
