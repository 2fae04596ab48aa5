"""Every name of the program that the characterisation of the QUIC front uses, and the neutral words."""

from __future__ import annotations

from collections.abc import Callable
from unittest.mock import patch

import trio

from tests.helpers import settings
from walkloom.engine.engine import Engine
from walkloom.frontends.quic.connection_id import ConnectionIdFormat
from walkloom.frontends.quic.datagram_reader import DatagramReader
from walkloom.frontends.quic.drop_counters import DropReason
from walkloom.frontends.quic.errors import ConnectionIdError, PacketError
from walkloom.frontends.quic.frames import find_close_error_code
from walkloom.frontends.quic.frontend import QuicFrontend
from walkloom.frontends.quic.initial_keys import Sender, derive_initial_keys
from walkloom.frontends.quic.initial_packet import build_refusal, decrypt_initial, encrypt_initial
from walkloom.frontends.quic.packet import PacketType, build_version_negotiation, parse_header
from walkloom.frontends.quic.settings import QuicConfig, QuicEndpoint
from walkloom.messages import Endpoint, Lifecycle, UpdateKind

PACKET_TYPES = {
    PacketType.INITIAL: "initial",
    PacketType.ZERO_RTT: "early",
    PacketType.HANDSHAKE: "handshake",
    PacketType.RETRY: "retry",
    PacketType.ONE_RTT: "short",
    PacketType.OTHER_VERSION: "other",
}
SENDERS = {"client": Sender.CLIENT, "server": Sender.SERVER}
DROPS = {
    DropReason.MALFORMED: "broken",
    DropReason.UNROUTABLE: "stray",
    DropReason.TABLE_FULL: "full",
    DropReason.MIGRATIONS_NOT_SENT: "untold",
}
LISTED = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "gone": Lifecycle.REMOVED}
Outcome = tuple[object, ...]


def _outcome(do: Callable[[], object]) -> Outcome:
    """What a call gave, or which kind of error it raised."""
    try:
        return ("gave", do())
    except PacketError:
        return ("broken",)
    except ConnectionIdError:
        return ("invalid",)


def parsed(data: bytes, id_length: int) -> Outcome:
    """The fields of a datagram's first packet."""

    def fields() -> Outcome:
        header = parse_header(data, id_length)
        return (
            PACKET_TYPES[header.packet_type],
            header.version,
            header.destination_connection_id,
            header.source_connection_id,
            header.payload_offset,
        )

    return _outcome(fields)


def number_at(data: bytes, at: int) -> Outcome:
    """The number of variable length at a place, and where it ends."""
    reader = DatagramReader(data, at)
    return _outcome(lambda: (reader.read_varint(), reader.position))


def other_version(data: bytes) -> Outcome:
    """The answer to a packet of another version."""
    return _outcome(lambda: build_version_negotiation(parse_header(data, 0)))


def id_made(form: tuple[int, int, int], server: bytes, nonce: bytes) -> Outcome:
    """An id of a form."""
    return _outcome(lambda: ConnectionIdFormat(*form).encode(server, nonce))


def id_read(form: tuple[int, int, int], cid: bytes) -> Outcome:
    """The server within an id, and the length of ids of the form."""
    return _outcome(
        lambda: (ConnectionIdFormat(*form).decode_server_id(cid), ConnectionIdFormat(*form).length)
    )


def key_fields(first: bytes, side: str) -> Outcome:
    """The keys of one side."""
    keys = derive_initial_keys(first, SENDERS[side])
    return (keys.key, keys.iv, keys.hp)


def sealed(first: bytes, side: str, to: bytes, own: bytes, frames: bytes, number: int = 0) -> bytes:
    """An Initial packet."""
    return encrypt_initial(derive_initial_keys(first, SENDERS[side]), to, own, frames, number)


def unsealed(first: bytes, side: str, data: bytes) -> Outcome:
    """The frames of an Initial packet."""
    return _outcome(lambda: decrypt_initial(derive_initial_keys(first, SENDERS[side]), data))


def refused(first: bytes, client: bytes, own: bytes) -> bytes:
    """The packet that refuses a client."""
    return build_refusal(first, client, own)


def closing(frames: bytes) -> Outcome:
    """The code with which frames close a connection."""
    return _outcome(lambda: find_close_error_code(frames))


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
        endpoints = tuple(QuicEndpoint(name, cid, address) for name, (cid, address) in servers.items())
        self._frontend = QuicFrontend(
            self._engine, QuicConfig(listen, ConnectionIdFormat(*form), 0, 0, 2000.0, connections, endpoints)
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
        dropped = sorted(
            (DROPS[reason], count) for reason, count in self._frontend.drop_counters.counts.items()
        )
        return (*dropped, *sorted(self._frontend.connections), self._engine.open_requests)
