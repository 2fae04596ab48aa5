"""Every name of the program that the characterisation of the QUIC front uses, and the neutral words."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import patch

import trio

from tests.helpers import settings
from walkloom.engine.engine import Engine
from walkloom.frontends.quic import initial
from walkloom.frontends.quic.frontend import QuicFrontend
from walkloom.frontends.quic.ids import IdForm
from walkloom.frontends.quic.packet import Kind, PacketError, parse, varint, version_negotiation
from walkloom.frontends.quic.settings import QuicConfig, Target
from walkloom.messages import Endpoint, Lifecycle, UpdateKind

KINDS = {
    Kind.INITIAL: "initial",
    Kind.ZERO_RTT: "early",
    Kind.HANDSHAKE: "handshake",
    Kind.RETRY: "retry",
    Kind.SHORT: "short",
    Kind.OTHER: "other",
}
SIDES = {"client": initial.CLIENT, "server": initial.SERVER}
DROPS = {"malformed": "broken", "unroutable": "stray", "table-full": "full", "moves-untold": "untold"}
LISTED = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "gone": Lifecycle.REMOVED}
Outcome = tuple[object, ...]


def _outcome(do: Callable[[], object]) -> Outcome:
    """What a call gave, or which kind of error it raised."""
    try:
        return ("gave", do())
    except PacketError:
        return ("broken",)
    except ValueError:
        return ("invalid",)


def parsed(data: bytes, id_length: int) -> Outcome:
    """The fields of a datagram's first packet."""

    def fields() -> Outcome:
        packet = parse(data, id_length)
        return (KINDS[packet.kind], packet.version, packet.dcid, packet.scid, packet.rest)

    return _outcome(fields)


def number_at(data: bytes, at: int) -> Outcome:
    """The number of variable length at a place, and where it ends."""
    return _outcome(lambda: varint(data, at))


def other_version(data: bytes) -> Outcome:
    """The answer to a packet of another version."""
    return _outcome(lambda: version_negotiation(parse(data, 0)))


def id_made(form: tuple[int, int, int], server: bytes, nonce: bytes) -> Outcome:
    """An id of a form."""
    return _outcome(lambda: IdForm(*form).make(server, nonce))


def id_read(form: tuple[int, int, int], cid: bytes) -> Outcome:
    """The server within an id, and the length of ids of the form."""
    return _outcome(lambda: (IdForm(*form).server(cid), IdForm(*form).length))


def key_fields(first: bytes, side: str) -> Outcome:
    """The keys of one side."""
    keys = initial.keys(first, SIDES[side])
    return (keys.key, keys.iv, keys.hp)


def sealed(first: bytes, side: str, to: bytes, own: bytes, frames: bytes, number: int = 0) -> bytes:
    """An Initial packet."""
    return initial.seal(initial.keys(first, SIDES[side]), to, own, frames, number)


def unsealed(first: bytes, side: str, data: bytes) -> Outcome:
    """The frames of an Initial packet."""
    return _outcome(lambda: initial.opened(initial.keys(first, SIDES[side]), data))


def refused(first: bytes, client: bytes, own: bytes) -> bytes:
    """The packet that refuses a client."""
    return initial.refusal(first, client, own)


def closing(frames: bytes) -> Outcome:
    """The code with which frames close a connection."""
    return _outcome(lambda: initial.close_code(frames))


class Front:
    """The front over an engine of its own; made inside a trio run, whose sockets are the test's."""

    def __init__(
        self,
        form: tuple[int, int, int],
        servers: dict[str, tuple[bytes, tuple[str, int]]],
        listen: tuple[str, int],
        connections: int,
    ) -> None:
        with patch("time.time", lambda: 1.7e9):
            self._engine = Engine(
                settings(max_attempts=2, max_retry_after_ms=1500.0, drain_grace_ms=500.0), 1
            )
        self._servers = tuple(servers)
        targets = tuple(Target(name, cid, address) for name, (cid, address) in servers.items())
        self._frontend = QuicFrontend(
            self._engine, QuicConfig(listen, IdForm(*form), 0, 0, 2000.0, connections, targets)
        )

    async def begin(self, nursery: trio.Nursery) -> None:
        """Starts the engine's and the frontend's tasks."""
        nursery.start_soon(self._engine.run_timers)
        nursery.start_soon(self._engine.run_latency_monitor)
        await nursery.start(self._frontend.run)

    def listed(self, word: str) -> None:
        """Every server is listed so."""
        lines = tuple(Endpoint(name, lifecycle=LISTED[word]) for name in self._servers)
        self._engine.endpoint_list_received(UpdateKind.SNAPSHOT, lines)

    async def leave(self) -> None:
        """The balancer begins to stop."""
        await self._engine.migrate_connections(0.5, 1.5)

    def left_behind(self) -> Outcome:
        """What was dropped, the ids that are known, and how many requests are open."""
        dropped = sorted((DROPS[word], count) for word, count in self._frontend.dropped.items())
        return (*dropped, *sorted(self._frontend.connections), self._engine.open_requests)
