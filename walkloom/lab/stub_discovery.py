"""A stub of endpoint discovery: serves the registry over HTTP/1.1, with watches, delays and outages."""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import h11
import orjson
import trio

from walkloom.lab.invariant_checker import InvariantChecker
from walkloom.lab.registry import Registry, RegistryChange, RegistryEntry, RegistryUpdate

INSTANCES_PATH = "/registry/instances"
MAX_WAIT_MS = 60_000.0  # of a watch; longer waits are shortened to it
READ_SIZE_BYTES = 16_384  # far larger than a request


class StubDiscovery:
    """A registry on a loopback port."""

    def __init__(self, invariants: InvariantChecker, delay_ms: float = 0.0) -> None:
        self.delay_ms = delay_ms  # until a change becomes visible; applies to later changes
        self.request_count = 0
        self.address = ("", 0)
        self._registry = Registry()
        self._invariants = invariants
        self._is_down = False
        self._changed = trio.Event()

    def put(self, entry: RegistryEntry) -> None:
        """Add or change a server; a server is removed with the lifecycle `removed`."""
        self._registry.put(entry, _now_ms() + self.delay_ms)
        self._wake_watchers()

    def update(self, name: str, **fields: object) -> None:
        """Change fields of a server; raises KeyError if it was never listed."""
        self._registry.update(name, _now_ms() + self.delay_ms, **fields)
        self._wake_watchers()

    def set_outage(self, is_down: bool) -> None:
        """Set whether requests and watches are answered with 503."""
        self._is_down = is_down
        self._wake_watchers()

    def endpoint_list(self) -> list[dict[str, object]]:
        """Return the visible endpoint list as JSON objects of the registry's protocol."""
        return [entry.to_wire() for entry in self._registry.entries(_now_ms())]

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve requests until cancelled; `address` is set once started."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listener.socket.getsockname()[:2]
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve_stream, [listener])
            task_status.started()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(READ_SIZE_BYTES))
                elif isinstance(event, h11.Request):
                    target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    await self._send_response(stream, http, target)
                    if http.our_state is h11.MUST_CLOSE:
                        break
                    http.start_next_cycle()
                else:
                    break
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _send_response(self, stream: trio.SocketStream, http: h11.Connection, target: str) -> None:
        self.request_count += 1
        status, update = await self._handle_request(target)
        body = _encode(update) if update else b""
        response = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        chunks = [http.send(event) or b"" for event in (response, h11.Data(data=body), h11.EndOfMessage())]
        await stream.send_all(b"".join(chunks))
        if update and status == HTTPStatus.OK:
            self._report_changes(update.changes)

    async def _handle_request(self, target: str) -> tuple[HTTPStatus, RegistryUpdate | None]:
        parts = urlsplit(target)
        if parts.path != INSTANCES_PATH:
            return HTTPStatus.NOT_FOUND, None
        try:
            query = {name: int(values[0]) for name, values in parse_qs(parts.query).items()}
        except ValueError:
            return HTTPStatus.BAD_REQUEST, None
        index = query.get("index")
        if index is not None:
            await self._wait_for_change(index, min(query.get("wait", 0), MAX_WAIT_MS))
        status = HTTPStatus.SERVICE_UNAVAILABLE if self._is_down else HTTPStatus.OK
        return status, self._registry.poll(index, _now_ms())

    def _report_changes(self, changes: list[RegistryChange]) -> None:
        for change in changes:
            is_ready = change.entry.lifecycle == "up"
            self._invariants.watcher_notified(change.entry.name, is_ready, _now_ms())

    async def _wait_for_change(self, index: int, wait_ms: float) -> None:
        with trio.move_on_after(wait_ms / 1000.0):
            while not self._is_down:
                change_at_ms = self._registry.next_change_at_ms(index)
                if change_at_ms <= _now_ms():
                    return
                with trio.move_on_after((change_at_ms - _now_ms()) / 1000.0):
                    await self._changed.wait()


def _encode(update: RegistryUpdate) -> bytes:
    instances = [entry.to_wire() for entry in update.entries]
    return orjson.dumps(
        {"generation": update.generation, "reset": update.is_snapshot, "instances": instances}
    )


def _now_ms() -> float:
    return trio.current_time() * 1000.0
