"""What the watcher reports to the engine as discovery ends a watch, over real sockets on loopback."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import trio

from tests.helpers import settings
from walkloom.config import SettingNames
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.messages import EndpointListUpdate, ListFailure, UpdateKind

EMPTY_LIST = b'{"generation":4,"reset":true,"instances":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(EMPTY_LIST), EMPTY_LIST)
# SO_LINGER of 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
NAMES = SettingNames(classes=(), tenants=(), zones=(), machine_types=())
TEST_TIMEOUT_S = 5.0
# A new call that is refused after this time was queued.
LATE_S = 0.3


class RecordingEngine:
    """Records the updates; it requests one watch, and one for each change of discovery."""

    def __init__(self) -> None:
        self.settings = settings(polls_endpoint_list=True, max_list_age_ms=6000.0)
        self._requests, self._requested = trio.open_memory_channel[None](10)
        self._updates, self.updates = trio.open_memory_channel[EndpointListUpdate](10)
        self.discovery_changed()

    def discovery_changed(self) -> None:
        self._requests.send_nowait(None)

    async def wait_for_watch_request(self) -> None:
        await self._requested.receive()

    def endpoint_list_updated(self, update: EndpointListUpdate) -> None:
        self._updates.send_nowait(update)

    def now(self) -> float:
        return trio.current_time() * 1000.0

    def watch_hold_ms(self) -> float:
        return 500.0

    def list_lease_ms(self) -> float:
        return 6000.0


class Discovery:
    """A listener on loopback whose connections are served by the test itself."""

    def __init__(self) -> None:
        self._listener = trio.socket.from_stdlib_socket(socket.create_server(("127.0.0.1", 0)))
        self.address: tuple[str, int] = self._listener.getsockname()

    async def accept_call(self) -> trio.SocketStream:
        stream = trio.SocketStream((await self._listener.accept())[0])
        await self.receive_call(stream)
        return stream

    async def receive_call(self, stream: trio.SocketStream) -> None:
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            data += await stream.receive_some()

    async def reset(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await trio.aclose_forcefully(stream)

    def stop_listening(self) -> None:
        self._listener.close()


Scenario = Callable[[RecordingEngine, EndpointWatcher, Discovery], Awaitable[None]]


def play(scenario: Scenario) -> None:
    async def main() -> None:
        engine, discovery = RecordingEngine(), Discovery()
        watcher = EndpointWatcher(engine, discovery.address, NAMES)  # type: ignore[arg-type]
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                await scenario(engine, watcher, discovery)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def open_watch(engine: RecordingEngine, discovery: Discovery) -> trio.SocketStream:
    """Answer the first call; return the connection once the watch is open on it."""
    stream = await discovery.accept_call()
    await stream.send_all(ANSWER)
    await discovery.receive_call(stream)
    assert (await engine.updates.receive()).kind is UpdateKind.SNAPSHOT
    return stream


def test_an_outage_that_ends_a_watch_is_reported_at_once() -> None:
    """Guards against rejections in an outage that is observed only with the next call of a large fleet."""

    async def scenario(engine: RecordingEngine, _: EndpointWatcher, discovery: Discovery) -> None:
        stream = await open_watch(engine, discovery)
        await trio.sleep(LATE_S)
        discovery.stop_listening()
        await discovery.reset(stream)
        update = await engine.updates.receive()
        assert update.kind is UpdateKind.FAILED and update.failure is ListFailure.UNREACHABLE

    play(scenario)


def test_a_reset_of_a_watch_alone_is_not_reported_as_an_outage() -> None:
    async def scenario(engine: RecordingEngine, _: EndpointWatcher, discovery: Discovery) -> None:
        stream = await open_watch(engine, discovery)
        await discovery.reset(stream)
        update = await engine.updates.receive()
        assert update.failure is ListFailure.UNANSWERED and update.ended_watch

    play(scenario)


def test_a_call_to_a_new_discovery_does_not_continue_the_watch_of_the_former() -> None:
    """Guards against a first call to a new discovery whose failure counts as the end of a watch."""

    async def scenario(engine: RecordingEngine, watcher: EndpointWatcher, discovery: Discovery) -> None:
        await open_watch(engine, discovery)
        new = Discovery()
        watcher.change_discovery(new.address)
        await new.reset(await new.accept_call())
        assert not (await engine.updates.receive()).ended_watch

    play(scenario)
