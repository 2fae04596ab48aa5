"""A stand-in for discovery: the registry over HTTP/1.1, whole or as a watch, told late, and down on
request."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from urllib.parse import parse_qs, urlsplit

import h11
import orjson
import trio

from walkloom.lab.invariant_checker import Ledger

PATH = "/registry/instances"
WAIT_MOST_MS = 60_000.0
KEEPS = 10_000  # changes in its log; who asks for older ones gets the whole list


@dataclass(frozen=True, slots=True)
class Entry:
    """One server, in the registry's form."""

    name: str
    address: str
    zone: str
    kind: str
    state: str = "up"
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0

    def row(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.state,
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


@dataclass(frozen=True, slots=True)
class Change:
    generation: int
    seen_at: float  # ms; when the registry begins to tell it
    entry: Entry


class Discovery:
    def __init__(self, ledger: Ledger, delay_ms: float = 0.0) -> None:
        self.delay_ms = delay_ms  # of every change from now on
        self._down = False
        self.calls = 0
        self.address = ("", 0)
        self._ledger = ledger
        self._log: list[Change] = []
        self._changed = trio.Event()

    def set(self, entry: Entry) -> None:
        """A server is new or has changed; `removed` is a state."""
        generation = self._log[-1].generation + 1 if self._log else 1
        at = max(self._now() + self.delay_ms, self._log[-1].seen_at if self._log else 0.0)
        self._log.append(Change(generation, at, entry))
        if len(self._log) > KEEPS:
            newest = {change.entry.name: change for change in self._log}  # what a whole list needs stays
            self._log = sorted(newest.values(), key=lambda c: c.generation)
        self._stir()

    def outage(self, down: bool) -> None:
        """While it is down, calls are answered 503 and watches end so."""
        self._down = down
        self._stir()

    def _stir(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def change(self, name: str, **fields: object) -> None:
        """Changes fields of a server that is known."""
        self.set(replace(self._latest()[name], **fields))  # type: ignore[arg-type]

    def _latest(self) -> dict[str, Entry]:
        return {change.entry.name: change.entry for change in self._log}

    def listed(self) -> list[dict[str, object]]:
        """The whole list as it is told now, in the registry's form."""
        seen = {c.entry.name: c.entry for c in self._log if c.seen_at <= self._now()}
        return [entry.row() for entry in seen.values() if entry.state != "removed"]

    @staticmethod
    def _now() -> float:
        return trio.current_time() * 1000.0

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listener.socket.getsockname()[:2]
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._live, [listener])
            task_status.started()

    async def _live(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(16_384))
                elif isinstance(event, h11.Request):
                    target = event.target.decode()
                elif isinstance(event, h11.EndOfMessage):
                    await self._answer(stream, http, target)
                    if http.our_state is h11.MUST_CLOSE:
                        break
                    http.start_next_cycle()
                else:
                    break
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream, http: h11.Connection, target: str) -> None:
        self.calls += 1
        status, body, told = 200, b"", list[Change]()
        parts = urlsplit(target)
        try:
            query = {name: int(values[0]) for name, values in parse_qs(parts.query).items()}
        except ValueError:
            query, status = {}, 400
        if parts.path != PATH:
            status = 404
        elif status == 200:
            index = query.get("index")
            if index is not None:
                await self._wait(index, min(query.get("wait", 0), WAIT_MOST_MS))
            status = 503 if self._down else 200
            body, told = self._result(index)
        await stream.send_all(
            (http.send(h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])) or b"")
            + (http.send(h11.Data(data=body)) or b"")
            + (http.send(h11.EndOfMessage()) or b"")
        )
        for change in told if status == 200 else ():
            self._ledger.told(change.entry.name, change.entry.state != "up", self._now())

    async def _wait(self, index: int, ms: float) -> None:
        with trio.move_on_after(ms / 1000.0):
            while not self._down:
                later = [c.seen_at for c in self._log if c.generation > index]
                if later and min(later) <= self._now():
                    return
                with trio.move_on_after((min(later, default=math.inf) - self._now()) / 1000.0):
                    await self._changed.wait()

    def _result(self, index: int | None) -> tuple[bytes, list[Change]]:
        seen = [c for c in self._log if c.seen_at <= self._now()]
        generation = seen[-1].generation if seen else 0
        whole = index is None or index > generation or (seen and index < seen[0].generation - 1)
        if whole:
            news = seen
            rows = self.listed()
        else:
            assert index is not None
            news = [c for c in seen if c.generation > index]
            rows = [change.entry.row() for change in {c.entry.name: c for c in news}.values()]
        body = orjson.dumps({"generation": generation, "reset": bool(whole), "instances": rows})
        return body, news
