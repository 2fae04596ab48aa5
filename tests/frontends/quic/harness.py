"""Stub clients and servers on loopback UDP, for scenarios (tests/scenario.py) against the QUIC frontend.

What a client can send:

    initial                    its first Initial packet
    initial_too_short          the same in a datagram under 1200 octets
    initial_truncated          its first octets alone
    other_version              a first packet of a version that nobody speaks
    one_rtt                    a 1-RTT packet of its connection
    one_rtt_of_other_balancer  a 1-RTT packet to an id of server a that no balancer has seen
    one_rtt_unroutable         a 1-RTT packet to an id that names no server

What a server can send:

    initial, retry, one_rtt    the packets of these types
    connection_refused         an Initial packet that closes with CONNECTION_REFUSED, behind an ACK
    internal_error             an Initial packet that closes with INTERNAL_ERROR

What comes is reported by the name of its packet type, an Initial packet that closes as `close CODE`; at a
server with ` at NAME` behind.
"""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import trio

from tests import scenario
from walkloom.frontends.quic.connection_id import ConnectionIdFormat
from walkloom.frontends.quic.frames import find_close_error_code
from walkloom.frontends.quic.frontend import QuicFrontend
from walkloom.frontends.quic.initial_keys import Sender, derive_initial_keys
from walkloom.frontends.quic.initial_packet import decrypt_initial, encrypt_initial
from walkloom.frontends.quic.packet import (
    FIXED_BIT,
    HEADER_FORM_BIT,
    LONG_PACKET_TYPE_SHIFT,
    MIN_INITIAL_DATAGRAM_BYTES,
    VERSION_1,
    PacketType,
    encode_connection_ids,
    parse_header,
)
from walkloom.frontends.quic.settings import QuicConfig, QuicEndpoint
from walkloom.transport.address import SocketAddress

CONNECTION_ID_FORMAT = ConnectionIdFormat(config_id=1, server_id_length=2, nonce_length=6)
ANY_LOCAL_PORT = ("127.0.0.1", 0)

# The destination connection id that the client c invents, and its own.
CLIENT_DCID = b"first-id"
CLIENT_SCID = b"cl"

UNROUTABLE_DCID = b"\xff" * CONNECTION_ID_FORMAT.length

# A version of the form that RFC 9000, section 15, reserves to force Version Negotiation.
RESERVED_VERSION = 0x1A2A3A4A

# Frames as they stand on the wire.
CRYPTO_FRAME = b"\x06\x00\x04helo"
ACK_FRAME = b"\x02\0\0\0\0"
CLOSE_CONNECTION_REFUSED_FRAME = b"\x1c\x02\0\0"
CLOSE_INTERNAL_ERROR_FRAME = b"\x1c\x01\0\0"
PADDING_FRAMES = bytes(20)

SHORT_HEADER = bytes([FIXED_BIT])
LARGEST_DATAGRAM_BYTES = 2000
MAX_CONNECTIONS = 3
REQUEST_TIMEOUT_MS = 2000.0


def build_long_header(packet_type: int, version: int, dcid: bytes, scid: bytes) -> bytes:
    """Return a long header up to its connection ids."""
    first_octet = HEADER_FORM_BIT | FIXED_BIT | packet_type << LONG_PACKET_TYPE_SHIFT
    return bytes([first_octet]) + version.to_bytes(4) + encode_connection_ids(dcid, scid)


def has_long_header(datagram: bytes) -> bool:
    """Return whether a datagram begins with a long header."""
    return bool(datagram[0] & HEADER_FORM_BIT)


def describe(datagram: bytes, sender: Sender, client_dcid: bytes) -> str:
    """Return what a peer sees in a datagram; Initial packets are opened with the keys of their sender."""
    header = parse_header(datagram, CONNECTION_ID_FORMAT.length)
    if header.packet_type is not PacketType.INITIAL:
        return header.packet_type.name.lower()
    frames = decrypt_initial(derive_initial_keys(client_dcid, sender), datagram)
    error_code = find_close_error_code(frames)
    return "initial" if error_code is None else f"close {error_code}"


class Client:
    """A client of the balancers."""

    def __init__(self, world: Any, balancer_address: SocketAddress, initial_dcid: bytes) -> None:
        """Create it with the id that it invents for its first Initial packet."""
        self._world = world
        self._balancer_address = balancer_address
        self._initial_dcid = initial_dcid
        # Where its 1-RTT packets go: the id that the server gave it last.
        self._server_connection_id = initial_dcid
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def send(self, text: str) -> None:
        """Send what the word stands for; see the module."""
        datagram = self._build_datagrams()[text]
        await self._socket.sendto(datagram, self._balancer_address)

    def _build_datagrams(self) -> dict[str, bytes]:
        keys = derive_initial_keys(self._initial_dcid, Sender.CLIENT)
        initial = encrypt_initial(keys, self._initial_dcid, CLIENT_SCID, CRYPTO_FRAME + PADDING_FRAMES)
        other_version = build_long_header(PacketType.INITIAL, RESERVED_VERSION, CLIENT_DCID, CLIENT_SCID)
        unseen_dcid = CONNECTION_ID_FORMAT.encode(b"\0a", b"unseen")
        payload = b"x" * 20
        return {
            "initial": initial.ljust(MIN_INITIAL_DATAGRAM_BYTES, b"\0"),
            "initial_too_short": initial,
            "initial_truncated": initial[:9],
            "other_version": other_version.ljust(MIN_INITIAL_DATAGRAM_BYTES, b"\0"),
            "one_rtt": SHORT_HEADER + self._server_connection_id + payload,
            "one_rtt_of_other_balancer": SHORT_HEADER + unseen_dcid + payload,
            "one_rtt_unroutable": SHORT_HEADER + UNROUTABLE_DCID + payload,
        }

    async def receive(self) -> str:
        """Return what comes next, and take the connection id from it."""
        datagram = await self._socket.recv(LARGEST_DATAGRAM_BYTES)
        if not has_long_header(datagram):
            # Raises where it is malformed; the test then fails.
            parse_header(datagram, len(CLIENT_SCID))
            return "one_rtt"
        header = parse_header(datagram, CONNECTION_ID_FORMAT.length)
        if header.packet_type is PacketType.RETRY:
            self._initial_dcid = header.source_connection_id
        else:
            self._server_connection_id = header.source_connection_id
        return describe(datagram, Sender.SERVER, self._initial_dcid)

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def reset(self) -> None:
        """Migrate to another address, with the same connection."""
        self._socket.close()
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def switch_balancer(self) -> None:
        """Send to the second balancer from now on, with the same connection."""
        self._balancer_address = self._world.second_balancer_address


class ServerPath:
    """A connection, or one path of it, as a server sees it: an address that packets come from."""

    def __init__(self, server: str, socket: Any, peer_address: SocketAddress) -> None:
        """Create it for the server's socket and the address that its packets come from."""
        self._server = server
        self._socket = socket
        self._peer_address = peer_address
        self.put, self._get = trio.open_memory_channel[bytes](100)
        self._client_dcid = CLIENT_DCID

    async def send(self, text: str) -> None:
        """Send what the word stands for; see the module."""
        await self._socket.sendto(self._build_datagrams()[text], self._peer_address)

    def _build_datagrams(self) -> dict[str, bytes]:
        own_id = CONNECTION_ID_FORMAT.encode(b"\0" + self._server.encode(), b"nonce!")
        keys = derive_initial_keys(self._client_dcid, Sender.SERVER)

        def build_initial(frames: bytes) -> bytes:
            return encrypt_initial(keys, CLIENT_SCID, own_id, frames + PADDING_FRAMES)

        retry_header = build_long_header(PacketType.RETRY, VERSION_1, CLIENT_SCID, own_id)
        retry_integrity_tag = bytes(16)
        return {
            "initial": build_initial(CRYPTO_FRAME),
            "connection_refused": build_initial(ACK_FRAME + CLOSE_CONNECTION_REFUSED_FRAME),
            "internal_error": build_initial(CLOSE_INTERNAL_ERROR_FRAME),
            "retry": retry_header + b"token" + retry_integrity_tag,
            "one_rtt": SHORT_HEADER + CLIENT_SCID + b"y" * 20,
        }

    async def receive(self) -> str:
        """Return what comes next."""
        datagram = await self._get.receive()
        if has_long_header(datagram):
            self._client_dcid = parse_header(datagram, 0).destination_connection_id
        return f"{describe(datagram, Sender.CLIENT, self._client_dcid)} at {self._server}"

    async def close(self) -> None:
        """Close the socket of the whole server."""
        self._socket.close()

    async def reset(self) -> None:
        """Fail: UDP knows no reset."""
        raise NotImplementedError


async def build_frontends(world: Any) -> None:
    """Start servers a and b, and two balancers that share nothing; clients begin at the first."""
    world.servers = ("a", "b")
    endpoints = [await start_server(world, server) for server in world.servers]
    conf = QuicConfig(
        listen=ANY_LOCAL_PORT,
        connection_id_format=CONNECTION_ID_FORMAT,
        request_class=0,
        tenant=0,
        request_timeout_ms=REQUEST_TIMEOUT_MS,
        max_connections=MAX_CONNECTIONS,
        endpoints=tuple(endpoints),
    )
    frontend = QuicFrontend(world.engine, conf)
    world.frontend = frontend
    address = await world.nursery.start(frontend.run)
    second_world = scenario.World(world.nursery)
    second_world.servers = world.servers
    second_world.list_servers_as("up")
    second_frontend = QuicFrontend(second_world.engine, conf)
    world.second_balancer_address = await world.nursery.start(second_frontend.run)

    async def assert_dropped(expected_summary: str) -> None:
        assert frontend.drop_counters.summary() == expected_summary

    async def dial(who: str) -> Client:
        initial_dcid = CLIENT_DCID if who == "c" else who.encode().ljust(len(CLIENT_DCID), b"-")
        return Client(world, address, initial_dcid)

    world.verbs["dropped"] = assert_dropped
    world.dial = dial


async def start_server(world: Any, server: str) -> QuicEndpoint:
    """Start a server on a port of its own."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await sock.bind(ANY_LOCAL_PORT)
    world.nursery.start_soon(receive_at_server, world, server, sock)
    return QuicEndpoint(endpoint_id=server, server_id=b"\0" + server.encode(), address=sock.getsockname())


async def receive_at_server(world: Any, server: str, sock: Any) -> None:
    """Hand each datagram to the path that it comes on, until the server's socket is closed."""
    paths: dict[SocketAddress, ServerPath] = {}
    with suppress(trio.ClosedResourceError):
        while True:
            datagram, address = await sock.recvfrom(LARGEST_DATAGRAM_BYTES)
            if address not in paths:
                paths[address] = ServerPath(server, sock, address)
                world.add_server_connection(paths[address])
            paths[address].put.send_nowait(datagram)
