"""Scripted balancers on loopback for tests of both drivers, on clocks that skip idle time.

A balancer runs one script per connection, and repeats the last script for all further connections. Each
line of a script is one step:

    > TEXT      sends a line        raw TEXT    sends the text without a line end
    expect GLOB reads a line        wait MS     lets time pass
    echo        answers every line with itself, until the client closes
    trickle MS  sends a byte every MS, until the client closes
    flood       sends 64 MB without a line end
    hold        waits until the client closes (the end of a script closes the connection)
    reset       makes the connection end with a reset
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import struct
import threading
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from typing import Any, Protocol

import trio
from trio.testing import MockClock

from walkloom.client import on_asyncio, on_trio
from walkloom.client.driver import BaseClient
from walkloom.client.settings import ClassPolicy, Limits

VIEW = ClassPolicy("tile-view", aim_ms=300, give_up_ms=1200)
Script = str
CHUNK_BYTES = 16_384
FLOOD_CHUNKS = 4000  # 64 MB: more than any buffer on the way
JUMP_IDLE_S = 0.01  # loopback delivers at once: a loop idle for this long waits only for its clock


class Peer(Protocol):
    """The balancer's end of one connection, on trio or asyncio."""

    async def line(self) -> bytes:
        """Return the next line; empty after the end of the connection."""

    async def send(self, data: bytes) -> None:
        """Send bytes."""

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""

    def reset(self) -> None:
        """Make the connection end with a reset."""


@dataclass
class Balancer:
    """A balancer that runs scripts and records what it receives."""

    scripts: Sequence[Script]
    port: int = 0
    opening_lines: list[str] = field(default_factory=list)  # received opening lines
    open_connections: int = 0  # currently open connections
    mismatches: list[str] = field(default_factory=list)  # received lines that differ from the expected ones

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return f"127.0.0.1:{self.port}"

    async def serve(self, peer: Peer) -> None:
        """Run the script of one connection."""
        self.open_connections += 1
        try:
            opening_line = (await peer.line()).decode().strip()
            if not opening_line:
                return
            self.opening_lines.append(opening_line)
            script = self.scripts[min(len(self.opening_lines), len(self.scripts)) - 1]
            for step in filter(None, map(str.strip, script.splitlines())):
                await self._run_step(step, peer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1

    async def _run_step(self, step: str, peer: Peer) -> None:
        verb, _, argument = step.partition(" ")
        match verb:
            case ">":
                await peer.send(argument.encode() + b"\r\n")
            case "raw":
                await peer.send(argument.encode().decode("unicode_escape").encode("latin-1"))
            case "wait":
                await peer.sleep(float(argument) / 1000.0)
            case "expect":
                await self._expect(argument, peer)
            case "echo":
                while data := await peer.line():
                    await peer.send(data)
            case "trickle":
                while True:
                    await peer.send(b"U")
                    await peer.sleep(float(argument) / 1000.0)
            case "flood":
                for _ in range(FLOOD_CHUNKS):
                    await peer.send(b"z" * CHUNK_BYTES)
            case "hold":
                while await peer.line():
                    pass
            case "reset":
                peer.reset()
            case _:
                raise AssertionError(f"unknown step {verb!r}")

    async def _expect(self, pattern: str, peer: Peer) -> None:
        line = (await peer.line()).decode().strip()
        if not fnmatchcase(line, pattern):
            self.mismatches.append(f"got {line!r} instead of {pattern!r}")


@dataclass
class LoopAdapter:
    """Operations of one event loop, for tests that run on both loops."""

    client: Callable[..., BaseClient]
    sleep: Callable[[float], Awaitable[None]]
    now: Callable[[], float]
    cancelled_after: Callable[[int, Callable[[], Awaitable[Any]]], Awaitable[bool]]


Body = Callable[[LoopAdapter, Sequence[Balancer]], Awaitable[None]]


def _client_factory(client_type: Callable[..., BaseClient]) -> Callable[..., BaseClient]:
    def create_client(balancers: Sequence[Balancer], **limits: Any) -> BaseClient:
        limits = {"return_first_ms": 0.0} | limits
        return client_type([b.address for b in balancers], [VIEW], Limits(**limits), 1)

    return create_client


def _reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class _TrioPeer:
    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def line(self) -> bytes:
        while b"\n" not in self._buffer:
            data = await self._stream.receive_some(CHUNK_BYTES)
            if not data:
                return b""
            self._buffer.extend(data)
        end = self._buffer.index(b"\n") + 1
        line = bytes(self._buffer[:end])
        del self._buffer[:end]
        return line

    async def send(self, data: bytes) -> None:
        await self._stream.send_all(data)

    async def sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)

    def reset(self) -> None:
        _reset(self._stream.socket)


class _AsyncioPeer:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._socket = writer.get_extra_info("socket")

    async def line(self) -> bytes:
        return await self._reader.readline()

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def reset(self) -> None:
        _reset(self._socket)

    def close(self) -> None:
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER):
            self._writer.transport.abort()
        else:
            self._writer.close()


def run_trio(body: Body, *balancers: Balancer) -> None:
    """Run a test body on trio, with a clock that skips idle time."""

    async def cancelled_after(steps: int, operation: Callable[[], Awaitable[Any]]) -> bool:
        async def cancel(scope: trio.CancelScope) -> None:
            for _ in range(steps):
                await trio.lowlevel.checkpoint()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                nursery.start_soon(cancel, scope)
                await operation()
            nursery.cancel_scope.cancel()
        return scope.cancelled_caught

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for balancer in balancers:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                balancer.port = listener.socket.getsockname()[1]

                async def handle(stream: trio.SocketStream, balancer: Balancer = balancer) -> None:
                    await balancer.serve(_TrioPeer(stream))
                    await trio.aclose_forcefully(stream)

                nursery.start_soon(trio.serve_listeners, handle, [listener])
            await body(
                LoopAdapter(_client_factory(on_trio.Client), trio.sleep, trio.current_time, cancelled_after),
                balancers,
            )
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=JUMP_IDLE_S))
    assert not any(b.mismatches for b in balancers), [b.mismatches for b in balancers]


class _TimeSkippingSelector(selectors.DefaultSelector):
    """A selector that skips idle time, and adds up the skipped time."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= JUMP_IDLE_S:
            return super().select(timeout)
        events = super().select(JUMP_IDLE_S)
        if not events:
            self.skipped_s += timeout - JUMP_IDLE_S
        return events


class _TimeSkippingLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._skipping_selector = _TimeSkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        return super().time() + self._skipping_selector.skipped_s


def run_asyncio(body: Body, *balancers: Balancer) -> None:
    """Run a test body on asyncio, with a clock that skips idle time."""

    async def cancelled_after(steps: int, operation: Callable[[], Awaitable[Any]]) -> bool:
        task = asyncio.ensure_future(operation())
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            return True
        return False

    async def main() -> None:
        servers = []
        for balancer in balancers:

            async def handle(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, balancer: Balancer = balancer
            ) -> None:
                peer = _AsyncioPeer(reader, writer)
                await balancer.serve(peer)
                peer.close()

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            balancer.port = server.sockets[0].getsockname()[1]
            servers.append(server)
        loop = asyncio.get_running_loop()
        await body(
            LoopAdapter(_client_factory(on_asyncio.Client), asyncio.sleep, loop.time, cancelled_after),
            balancers,
        )
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    with asyncio.Runner(loop_factory=_TimeSkippingLoop) as runner:
        runner.run(main())
    assert not any(b.mismatches for b in balancers), [b.mismatches for b in balancers]


@contextmanager
def serve_in_thread(balancer: Balancer) -> Iterator[None]:
    """Run the balancer in a separate thread, for tests of blocking code."""
    ready, done = threading.Event(), threading.Event()

    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        ready.set()
        while not done.is_set():
            await adapter.sleep(0.005)

    thread = threading.Thread(target=run_asyncio, args=(body, balancer))
    thread.start()
    try:
        assert ready.wait(10)
        yield
    finally:
        done.set()
        thread.join(10)
