"""Stub clients and servers on loopback UDP, for scenarios (tests/scenario.py) with the QUIC frontend.

A client can send:

    initial                    its first Initial packet
    initial_too_short          the same packet in a datagram under 1200 octets
    initial_truncated          only the first octets of the same packet
    other_version              a first packet with an unsupported version
    one_rtt                    a 1-RTT packet of its connection
    one_rtt_of_other_balancer  a 1-RTT packet with an id of server a that no balancer has seen
    one_rtt_unroutable         a 1-RTT packet with an id that names no server

A server can send:

    initial, retry, one_rtt    a packet of this type
    connection_refused         an Initial packet that closes with CONNECTION_REFUSED after an ACK frame
    internal_error             an Initial packet that closes with INTERNAL_ERROR

A received packet is described by the name of its packet type, or as `close CODE` if it is an Initial packet
that closes the connection. At a server, ` at NAME` is appended.
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

# The destination connection id that client c chooses, and the source connection id of all clients.
CLIENT_DCID = b"first-id"
CLIENT_SCID = b"cl"

UNROUTABLE_DCID = b"\xff" * CONNECTION_ID_FORMAT.length

# A version of the pattern that RFC 9000, section 15, reserves to force version negotiation.
RESERVED_VERSION = 0x1A2A3A4A

# Encoded frames.
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
    """Return the description of a datagram; Initial packets are decrypted with the keys of their sender."""
    header = parse_header(datagram, CONNECTION_ID_FORMAT.length)
    if header.packet_type is not PacketType.INITIAL:
        return header.packet_type.name.lower()
    frames = decrypt_initial(derive_initial_keys(client_dcid, sender), datagram)
    error_code = find_close_error_code(frames)
    return "initial" if error_code is None else f"close {error_code}"


class Client:
    """A stub client of the balancers."""

    def __init__(self, world: Any, balancer_address: SocketAddress, initial_dcid: bytes) -> None:
        """Create a client.

        initial_dcid: the destination connection id of its first Initial packet.
        """
        self._world = world
        self._balancer_address = balancer_address
        self._initial_dcid = initial_dcid
        # The destination of its 1-RTT packets: the connection id that the server issued last.
        self._server_connection_id = initial_dcid
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def send(self, text: str) -> None:
        """Send the named datagram; see the module."""
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
        """Return the description of the next datagram, and store the connection id that it contains."""
        datagram = await self._socket.recv(LARGEST_DATAGRAM_BYTES)
        if not has_long_header(datagram):
            # Raises PacketError for a malformed packet, which fails the test.
            parse_header(datagram, len(CLIENT_SCID))
            return "one_rtt"
        header = parse_header(datagram, CONNECTION_ID_FORMAT.length)
        if header.packet_type is PacketType.RETRY:
            self._initial_dcid = header.source_connection_id
        else:
            self._server_connection_id = header.source_connection_id
        return describe(datagram, Sender.SERVER, self._initial_dcid)

    async def close(self) -> None:
        """Close the client's socket."""
        self._socket.close()

    async def reset(self) -> None:
        """Migrate the connection to another client address."""
        self._socket.close()
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def switch_balancer(self) -> None:
        """Send the connection's packets to the second balancer from now on."""
        self._balancer_address = self._world.second_balancer_address


class ServerPath:
    """One path of a connection at a stub server, identified by the source address of its packets."""

    def __init__(self, server: str, socket: Any, peer_address: SocketAddress) -> None:
        """Create a path for the server's socket and the source address of the packets."""
        self._server = server
        self._socket = socket
        self._peer_address = peer_address
        self.incoming, self._received = trio.open_memory_channel[bytes](100)
        self._client_dcid = CLIENT_DCID

    async def send(self, text: str) -> None:
        """Send the named datagram; see the module."""
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
        """Return the description of the next datagram."""
        datagram = await self._received.receive()
        if has_long_header(datagram):
            self._client_dcid = parse_header(datagram, 0).destination_connection_id
        return f"{describe(datagram, Sender.CLIENT, self._client_dcid)} at {self._server}"

    async def close(self) -> None:
        """Close the server's socket, which all of its paths share."""
        self._socket.close()

    async def reset(self) -> None:
        """Raise NotImplementedError: UDP has no reset."""
        raise NotImplementedError


async def build_frontends(world: Any) -> None:
    """Start servers a and b, and two balancers without shared state; clients begin at the first."""
    world.servers = ("a", "b")
    endpoints = [await start_server(world, server) for server in world.servers]
    config = QuicConfig(
        listen=ANY_LOCAL_PORT,
        connection_id_format=CONNECTION_ID_FORMAT,
        request_class=0,
        tenant=0,
        request_timeout_ms=REQUEST_TIMEOUT_MS,
        max_connections=MAX_CONNECTIONS,
        endpoints=tuple(endpoints),
    )
    frontend = QuicFrontend(world.engine, config)
    world.frontend = frontend
    address = await world.nursery.start(frontend.run)
    second_world = scenario.World(world.nursery)
    second_world.servers = world.servers
    second_world.list_servers_as("up")
    second_frontend = QuicFrontend(second_world.engine, config)
    world.second_balancer_address = await world.nursery.start(second_frontend.run)

    async def assert_dropped(expected_summary: str) -> None:
        assert frontend.drop_counters.summary() == expected_summary

    async def dial(name: str) -> Client:
        initial_dcid = CLIENT_DCID if name == "c" else name.encode().ljust(len(CLIENT_DCID), b"-")
        return Client(world, address, initial_dcid)

    world.verbs["dropped"] = assert_dropped
    world.dial = dial


async def start_server(world: Any, server: str) -> QuicEndpoint:
    """Start a stub server on its own port."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await sock.bind(ANY_LOCAL_PORT)
    world.nursery.start_soon(receive_at_server, world, server, sock)
    return QuicEndpoint(endpoint_id=server, server_id=b"\0" + server.encode(), address=sock.getsockname())


async def receive_at_server(world: Any, server: str, sock: Any) -> None:
    """Pass each datagram to the path of its source address until the server's socket is closed."""
    paths: dict[SocketAddress, ServerPath] = {}
    with suppress(trio.ClosedResourceError):
        while True:
            datagram, address = await sock.recvfrom(LARGEST_DATAGRAM_BYTES)
            if address not in paths:
                paths[address] = ServerPath(server, sock, address)
                world.add_server_connection(paths[address])
            paths[address].incoming.send_nowait(datagram)
