"""Scripted balancers on loopback and both drivers beside them, on clocks that jump over idle time.

A balancer plays one script for each connection that comes, the last one again for all further ones. A step
a line:

    > TEXT      sends a line        raw TEXT    sends the text as it is
    expect GLOB the next line       wait MS     time passes
    echo        answers every line with itself, until the client ends
    trickle MS  sends a byte every so often, until the client ends
    flood       sends without an end
    hold        until the client ends (the end of a script closes the connection)
    reset       ends it with a reset
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
from typing import Any

import trio
from trio.testing import MockClock

from walkloom.client import on_asyncio, on_trio
from walkloom.client.driver import BaseClient
from walkloom.client.settings import ClassPolicy, Limits

VIEW = ClassPolicy("tile-view", aim_ms=300, give_up_ms=1200)
Script = str


@dataclass
class Balancer:
    scripts: Sequence[Script]
    port: int = 0
    opened: list[str] = field(default_factory=list)  # every opening line that came
    open: int = 0  # connections now
    most: int = 0  # at a time
    faults: list[str] = field(default_factory=list)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def play(self, line: Callable[[], Awaitable[bytes]], send: Any, sleep: Any, reset: Any) -> None:
        self.open += 1
        self.most = max(self.most, self.open)
        try:
            first = (await line()).decode().strip()
            if not first:
                return
            self.opened.append(first)
            script = self.scripts[min(len(self.opened), len(self.scripts)) - 1]
            for step in filter(None, map(str.strip, script.splitlines())):
                verb, _, rest = step.partition(" ")
                if verb == ">":
                    await send(rest.encode() + b"\r\n")
                elif verb == "raw":
                    await send(rest.encode().decode("unicode_escape").encode("latin-1"))
                elif verb == "wait":
                    await sleep(float(rest) / 1000.0)
                elif verb == "expect":
                    got = (await line()).decode().strip()
                    if not fnmatchcase(got, rest):
                        self.faults.append(f"got {got!r} for {rest!r}")
                elif verb == "echo":
                    while data := await line():
                        await send(data)
                elif verb == "trickle":
                    while True:
                        await send(b"U")
                        await sleep(float(rest) / 1000.0)
                elif verb == "flood":
                    for _ in range(4000):
                        await send(b"z" * 16_384)
                elif verb == "hold":
                    while await line():
                        pass
                else:
                    reset()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open -= 1


@dataclass
class Kit:
    """What a test needs of its loop."""

    client: Callable[..., BaseClient]
    sleep: Callable[[float], Awaitable[None]]
    now: Callable[[], float]
    cancelled_after: Callable[[int, Callable[[], Awaitable[Any]]], Awaitable[bool]]


Body = Callable[[Kit, Sequence[Balancer]], Awaitable[None]]


def _client(of: Callable[..., BaseClient]) -> Callable[..., BaseClient]:
    def make(balancers: Sequence[Balancer], **limits: Any) -> BaseClient:
        limits = {"return_first_ms": 0.0} | limits
        return of([b.address for b in balancers], [VIEW], Limits(**limits), 1)

    return make


def _reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def run_trio(body: Body, *balancers: Balancer) -> None:
    async def cancelled_after(steps: int, what: Callable[[], Awaitable[Any]]) -> bool:
        async def cancel(scope: trio.CancelScope) -> None:
            for _ in range(steps):
                await trio.lowlevel.checkpoint()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            with trio.CancelScope() as scope:
                nursery.start_soon(cancel, scope)
                await what()
            nursery.cancel_scope.cancel()
        return scope.cancelled_caught

    async def serve(balancer: Balancer, stream: trio.SocketStream) -> None:
        buffer = bytearray()

        async def line() -> bytes:
            while b"\n" not in buffer:
                if not (data := await stream.receive_some(16_384)):
                    return b""
                buffer.extend(data)
            end = buffer.index(b"\n") + 1
            got = bytes(buffer[:end])
            del buffer[:end]
            return got

        await balancer.play(line, stream.send_all, trio.sleep, lambda: _reset(stream.socket))
        await trio.aclose_forcefully(stream)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for balancer in balancers:
                (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
                balancer.port = listener.socket.getsockname()[1]

                async def handle(stream: trio.SocketStream, of: Balancer = balancer) -> None:
                    await serve(of, stream)

                nursery.start_soon(trio.serve_listeners, handle, [listener])
            await body(
                Kit(_client(on_trio.Client), trio.sleep, trio.current_time, cancelled_after), balancers
            )
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.01))
    assert not any(b.faults for b in balancers), [b.faults for b in balancers]


class _JumpingSelector(selectors.DefaultSelector):
    """Loopback is delivered at once, so whatever is idle for 10 ms waits for time only: the clock jumps."""

    jumped = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0.01:
            return super().select(timeout)
        events = super().select(0.01)
        if not events:
            self.jumped += timeout - 0.01
        return events


class _JumpingLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return super().time() + self._jumping.jumped


def run_asyncio(body: Body, *balancers: Balancer) -> None:
    async def cancelled_after(steps: int, what: Callable[[], Awaitable[Any]]) -> bool:
        task = asyncio.ensure_future(what())
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            return True
        return False

    async def serve(balancer: Balancer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async def send(data: bytes) -> None:
            writer.write(data)
            await writer.drain()

        sock = writer.get_extra_info("socket")
        await balancer.play(reader.readline, send, asyncio.sleep, lambda: _reset(sock))
        writer.transport.abort() if sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER) else writer.close()

    async def main() -> None:
        servers = []
        for balancer in balancers:

            async def handle(
                r: asyncio.StreamReader, w: asyncio.StreamWriter, of: Balancer = balancer
            ) -> None:
                await serve(of, r, w)

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            balancer.port = server.sockets[0].getsockname()[1]
            servers.append(server)
        loop = asyncio.get_running_loop()
        await body(Kit(_client(on_asyncio.Client), asyncio.sleep, loop.time, cancelled_after), balancers)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    with asyncio.Runner(loop_factory=_JumpingLoop) as runner:
        runner.run(main())
    assert not any(b.faults for b in balancers), [b.faults for b in balancers]


@contextmanager
def served(balancer: Balancer) -> Iterator[None]:
    """The balancer on a thread of its own, for a script that blocks."""
    ready, done = threading.Event(), threading.Event()

    async def body(kit: Kit, balancers: Sequence[Balancer]) -> None:
        ready.set()
        while not done.is_set():
            await kit.sleep(0.005)

    thread = threading.Thread(target=run_asyncio, args=(body, balancer))
    thread.start()
    try:
        assert ready.wait(10)
        yield
    finally:
        done.set()
        thread.join(10)
