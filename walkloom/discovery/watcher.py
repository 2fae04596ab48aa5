"""The watcher: keeps a watch on discovery, one call at a time, and hands its results to the engine."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

import h11
import orjson
import trio

from walkloom.config import SettingNames, address
from walkloom.engine.engine import Engine
from walkloom.messages import Endpoint, EndpointId, Lifecycle, UpdateKind

log = logging.getLogger("walkloom")
# What a silent watch misses counts as told 6 s after it fell silent. It is given up WAIT_MS + SLACK_S after
# its call; the 2.2 s left and the drain grace are for a queue of all that ask again (2 s, decide.CALLS_MS)
WAIT_MS = 2000  # how long discovery may hold a call while nothing changes
SLACK_S = 1.8  # an answer later than this after the wait counts as none; at 2 s it would count as told
CONNECT_S = 1.0
PACE_S = 0.1  # the watch goes on if the next call comes within 0.2 s
LARGEST = 4 << 20
NOWHERE = ("", 0)
# the log's words where they are not the names
LOGGED_KINDS = {UpdateKind.INCREMENTAL: "DELTA", UpdateKind.SNAPSHOT: "FULL"}
LOGGED_STATES = {Lifecycle.REMOVED: "GONE"}
_STATES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}


class DiscoveryError(Exception):
    """A call that brought no result; the text says why."""


@dataclass(frozen=True, slots=True)
class Result:
    """One resolver result: the whole list or what changed in it."""

    generation: int
    whole: bool
    servers: tuple[Endpoint, ...]
    addresses: dict[EndpointId, tuple[str, int]]


def decode(body: bytes, names: SettingNames) -> Result:
    try:
        data = orjson.loads(body)
        servers, addresses, odd = [], {}, []
        for x in data["instances"]:
            try:
                server, at = _entry(x, names)
            except (KeyError, TypeError, ValueError, AttributeError) as error:  # guards the rest of the list
                odd.append(f"{error!r} in {x!r}")
                continue
            servers.append(server)
            if server.lifecycle is not Lifecycle.REMOVED:
                addresses[server.id] = at
        if odd:
            log.warning("resolver-odd count=%d last=%r", len(odd), odd[-1][:80])
        if odd and not servers:  # guards the servers that are known against a list in another form
            raise ValueError("no entry in a known form")
        return Result(int(data["generation"]), bool(data["reset"]), tuple(servers), addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DiscoveryError(f"malformed: {error!r}") from None


def _entry(x: dict[str, Any], names: SettingNames) -> tuple[Endpoint, tuple[str, int]]:
    """One server and its address; what is optional may lack or be null."""

    def number(key: str, default: float) -> float:
        return default if x.get(key) is None else float(x[key])

    server = Endpoint(
        id=str(x["instanceId"]),
        zone=_index(names.zones, x.get("zone")),
        machine_type=_index(names.machine_types, x.get("machineType")),
        cell=int(number("cell", 0.0)),
        lifecycle=_STATES[x["lifecycle"]],
        capacity_weight=number("weight", 1.0),
        started_at=number("startedAtMs", 0.0),
    )
    return server, NOWHERE if server.lifecycle is Lifecycle.REMOVED else address(x["hostPort"])


def _index(names: tuple[str, ...], name: object) -> int:
    """A zone or kind that the settings do not name counts as one more: none of ours."""
    return names.index(name) if name in names else len(names)


class EndpointWatcher:
    def __init__(self, engine: Engine, discovery: tuple[str, int], names: SettingNames) -> None:
        self._engine, self._discovery, self._names = engine, discovery, names
        self._addresses: dict[EndpointId, tuple[str, int]] = {}
        self._generation: int | None = 0  # None: the whole list is wanted, whatever its version
        self._calls = trio.CancelScope()
        # a pushed list lies with an agent on this machine, which answers at once unless it is silent; all it
        # has counts as told, so that an answer must come well within the grace after which a drain binds
        self._pushed = not engine.settings.polls_endpoint_list
        self._agent_s = min(engine.settings.drain_grace_ms / 2000.0, SLACK_S)
        self._first = trio.Event()

    def address(self, server: EndpointId) -> tuple[str, int] | None:
        return self._addresses.get(server)

    def load_cached(self, body: bytes) -> None:
        """The list as it was last held, before any call."""
        try:
            self._take(decode(body, self._names), UpdateKind.CACHED)
        except DiscoveryError as error:
            log.warning("resolver-known-unusable error=%r", str(error))
            self._engine.endpoint_list_received(UpdateKind.CACHED)
        if self._pushed:
            self._generation = None

    async def wait_until_ready(self) -> None:
        """Returns once clients may come. Guards rule 3: what the agent has counts as told from the start of a
        process, and the list as it was last held may be older. A silent agent is not waited for."""
        if self._pushed:
            with trio.move_on_after(self._agent_s):
                await self._first.wait()

    def _take(self, result: Result, kind: UpdateKind) -> None:
        self._generation = result.generation
        if kind is UpdateKind.INCREMENTAL:
            self._addresses |= result.addresses
            for server in result.servers:
                if server.lifecycle is Lifecycle.REMOVED:
                    self._addresses.pop(server.id, None)
        else:
            self._addresses = dict(result.addresses)
        for server in result.servers:
            log.info(
                "resolver-result kind=%s server=%s zone=%d state=%s",
                *(LOGGED_KINDS.get(kind, kind.name), server.id, server.zone),
                LOGGED_STATES.get(server.lifecycle, server.lifecycle.name),
            )
        self._engine.endpoint_list_received(kind, result.servers)
        if kind is not UpdateKind.CACHED:
            self._first.set()

    async def run(self) -> None:
        """Watches whenever the module asks for it; a failed watch is told, the module says when to go on."""
        while True:
            await self._engine.wait_for_watch_request()
            with trio.CancelScope() as self._calls:
                try:
                    await self._watch()
                except (DiscoveryError, OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
                    if not self._calls.cancel_called:  # a call to the discovery before this one tells nothing
                        self._lost(str(error) or repr(error))
                        self._engine.endpoint_list_received(UpdateKind.FAILED)

    def _lost(self, error: str) -> None:
        log.warning("resolver-failed error=%r", error)
        if self._pushed:  # the whole list comes at once when the agent speaks again, where a watch might wait
            self._generation = None

    def change_discovery(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address: the call in flight ends, the next wants the whole list."""
        self._discovery, self._generation = discovery, None
        self._calls.cancel()
        self._engine.discovery_changed()

    async def _watch(self) -> None:
        while True:
            stream = await self._connect()
            try:
                http, empty = h11.Connection(h11.CLIENT), False  # the answer before brought nothing, at once
                while http.our_state is h11.IDLE:
                    at_once = self._pushed and self._generation is None
                    left = self._agent_s if at_once else WAIT_MS / 1000.0 + SLACK_S
                    asked_at = trio.current_time()
                    with trio.move_on_after(left) as scope:
                        body = await self._call(stream, http)
                    if scope.cancelled_caught:
                        # guards rule 3: what a silent watch misses counts as told soon, so the next is opened
                        # with no pause as after a failure; silence tells nothing of discovery's queue
                        self._lost("stalled")
                        break
                    if self._calls.cancel_called:  # guards the list of the discovery that came after this one
                        return
                    result = decode(body, self._names)
                    self._take(result, UpdateKind.SNAPSHOT if result.whole else UpdateKind.INCREMENTAL)
                    if http.trailing_data[
                        0
                    ].strip():  # guards the next call against an answer that is not its own
                        raise DiscoveryError("an answer to no call")
                    if set(http.states.values()) == {h11.DONE}:
                        http.start_next_cycle()
                    early = trio.current_time() - asked_at < PACE_S and not result.servers
                    if early and empty:  # guards the CPU against a discovery that holds no call
                        await trio.sleep(PACE_S)
                    empty = early
            finally:
                await trio.aclose_forcefully(stream)

    async def _connect(self) -> trio.SocketStream:
        with trio.move_on_after(CONNECT_S):
            return await trio.open_tcp_stream(*self._discovery)
        raise DiscoveryError("does not accept")

    async def _call(self, stream: trio.SocketStream, http: h11.Connection) -> bytes:
        host = "{}:{}".format(*self._discovery)
        target = "/registry/instances"
        if self._generation is not None:
            target += f"?index={self._generation}&wait={WAIT_MS}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        await stream.send_all((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise DiscoveryError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > LARGEST:
                    raise DiscoveryError("too large")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryError("closed")
