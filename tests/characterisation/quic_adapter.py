"""Every name of the program that the characterisation of the QUIC front uses, and the neutral words."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import patch

import trio

from tests.helpers import settings
from walkloom import interface as f
from walkloom.core import Core
from walkloom.quic import initial
from walkloom.quic.front import QuicFront
from walkloom.quic.ids import IdForm
from walkloom.quic.packet import Kind, PacketError, parse, varint, version_negotiation
from walkloom.quic.settings import QuicConfig, Target

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
LISTED = {"up": f.State.READY, "draining": f.State.DRAINING, "gone": f.State.GONE}
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
    """The front over a core of its own; made inside a trio run, whose sockets are the test's."""

    def __init__(
        self,
        form: tuple[int, int, int],
        servers: dict[str, tuple[bytes, tuple[str, int]]],
        listen: tuple[str, int],
        connections: int,
    ) -> None:
        with patch("time.time", lambda: 1.7e9):
            self._core = Core(settings(max_attempts=2, max_retry_after=1500.0, drain_grace=500.0), 1)
        self._servers = tuple(servers)
        targets = tuple(Target(name, cid, address) for name, (cid, address) in servers.items())
        self._front = QuicFront(
            self._core, QuicConfig(listen, IdForm(*form), 0, 0, 2000.0, connections, targets)
        )

    async def begin(self, nursery: trio.Nursery) -> None:
        """Starts the core's and the front's tasks."""
        nursery.start_soon(self._core.keep_time)
        nursery.start_soon(self._core.keep_pulse)
        await nursery.start(self._front.run)

    def listed(self, word: str) -> None:
        """Every server is listed so."""
        lines = tuple(f.Server(name, state=LISTED[word]) for name in self._servers)
        self._core.list_came(f.ListKind.FULL, lines)

    async def leave(self) -> None:
        """The balancer begins to stop."""
        await self._core.leave(0.5, 1.5)

    def left_behind(self) -> Outcome:
        """What was dropped, the ids that are known, and how many requests are open."""
        dropped = sorted((DROPS[word], count) for word, count in self._front.dropped.items())
        return (*dropped, *sorted(self._front.flows), self._core.open_requests)
