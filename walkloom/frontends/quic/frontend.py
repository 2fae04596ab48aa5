"""The UDP listener: reads client datagrams and routes each to its connection or server.

No datagram and no connection may stop the frontend: it drops and counts datagrams that it cannot use, and
logs unexpected exceptions.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from walkloom.engine.engine import Engine
from walkloom.frontends.quic.connection import QuicConnection
from walkloom.frontends.quic.connection_admission import ConnectionAdmission, ConnectionSlot
from walkloom.frontends.quic.connection_context import ConnectionContext
from walkloom.frontends.quic.connection_table import ConnectionTable
from walkloom.frontends.quic.drop_counters import DropCounters, DropReason
from walkloom.frontends.quic.errors import PacketError
from walkloom.frontends.quic.listening_sockets import close_all, open_listening_sockets
from walkloom.frontends.quic.packet import (
    MAX_DATAGRAM_BYTES,
    MIN_CLIENT_DCID_BYTES,
    MIN_INITIAL_DATAGRAM_BYTES,
    VERSION_NEGOTIATION,
    PacketHeader,
    PacketType,
    build_version_negotiation,
    parse_header,
)
from walkloom.frontends.quic.settings import QuicConfig, QuicEndpoint
from walkloom.transport.address import SocketAddress

log = logging.getLogger("walkloom")

# Sockets on which clients' datagrams are received; each holds a descriptor.
LISTENING_SOCKETS = 16


class QuicFrontend:
    """The QUIC frontend of one balancer.

    Public attributes:

    - connections: the table of connections by connection id.
    - drop_counters: counts of what was not forwarded or sent.
    """

    def __init__(
        self, engine: Engine, config: QuicConfig, listening_sockets: int = LISTENING_SOCKETS
    ) -> None:
        """Create the frontend; listening_sockets: number of sockets on which it receives."""
        self._engine = engine
        self._config = config
        self._endpoint_by_server_id = {endpoint.server_id: endpoint for endpoint in config.endpoints}
        self.connections = ConnectionTable()
        self._admission = ConnectionAdmission(config.max_connections)
        self.drop_counters = DropCounters()
        self._context = ConnectionContext(
            engine=engine,
            endpoints={endpoint.endpoint_id: endpoint for endpoint in config.endpoints},
            connection_id_length=config.connection_id_format.length,
            connection_table=self.connections,
            drop_counters=self.drop_counters,
            send_to_client=self._send_to_client,
        )
        self._listening_sockets = listening_sockets
        # Set by `run`; packets to clients are sent from it.
        self._socket: trio.socket.SocketType
        # Set by `run`; contains one task for each connection.
        self._nursery: trio.Nursery

    async def run(self, task_status: trio.TaskStatus[SocketAddress] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; task_status reports the listening address with the actual port.

        Raises OSError where the socket cannot be bound.
        """
        sockets = await open_listening_sockets(self._config.listen, self._listening_sockets)
        try:
            self._socket = sockets[0]
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.drop_counters.report)
                for sock in sockets:
                    nursery.start_soon(self._receive_datagrams, sock)
                task_status.started(self._socket.getsockname())
        finally:
            close_all(sockets)

    async def _receive_datagrams(self, sock: trio.socket.SocketType) -> None:
        """Receive on one socket until cancelled; after each datagram the other sockets have their turn."""
        while True:
            await self._receive_datagram(sock)

    async def _receive_datagram(self, sock: trio.socket.SocketType) -> None:
        try:
            datagram, client_address = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            await self._route(datagram, client_address)
        except PacketError:
            self.drop_counters.count(DropReason.MALFORMED)
        except Exception:
            # Deliberately broad: a fault with one datagram must not keep the next ones from being read.
            log.exception("quic_datagram_error")

    async def _route(self, datagram: bytes, client_address: SocketAddress) -> None:
        """Route a datagram to its connection, or open one; raises PacketError for a malformed datagram."""
        header = parse_header(datagram, self._config.connection_id_format.length)
        connection = self.connections.find(header.destination_connection_id)
        if connection:
            await connection.receive(header, datagram, client_address)
        elif endpoint := self._find_endpoint(header.destination_connection_id):
            self._adopt_connection(endpoint, header, datagram, client_address)
        elif _needs_version_negotiation(header, datagram):
            await self._send_to_client(build_version_negotiation(header), client_address)
        elif header.packet_type is PacketType.INITIAL:
            await self._accept_connection(header, datagram, client_address)
        else:
            self.drop_counters.count(DropReason.UNROUTABLE)

    def _find_endpoint(self, connection_id: bytes) -> QuicEndpoint | None:
        """Return the server that a connection id names; None if it names none."""
        server_id = self._config.connection_id_format.decode_server_id(connection_id)
        if server_id is None:
            return None
        return self._endpoint_by_server_id.get(server_id)

    def _adopt_connection(
        self, endpoint: QuicEndpoint, header: PacketHeader, datagram: bytes, client_address: SocketAddress
    ) -> None:
        """Adopt a connection that another balancer placed; its connection id names the server."""
        slot = self._open_slot(header, client_address)
        if slot is None:
            return
        handle = self._engine.adopt(
            endpoint.endpoint_id, self._config.request_class, tenant=self._config.tenant
        )
        connection = QuicConnection(self._context, handle, slot)
        connection.register_connection_id(header.destination_connection_id)
        self._nursery.start_soon(
            self._run_connection, slot, partial(connection.serve_adopted, endpoint, header, datagram)
        )

    async def _accept_connection(
        self, header: PacketHeader, datagram: bytes, client_address: SocketAddress
    ) -> None:
        """Submit a request for a client's first Initial packet.

        Raises PacketError where the datagram or its destination connection id is too short.
        """
        has_valid_dcid_length = len(header.destination_connection_id) >= MIN_CLIENT_DCID_BYTES
        if len(datagram) < MIN_INITIAL_DATAGRAM_BYTES or not has_valid_dcid_length:
            raise PacketError("datagram or connection id too short for a first Initial packet")
        slot = self._open_slot(header, client_address)
        if slot is None:
            return
        deadline_ms = self._engine.now() + self._config.request_timeout_ms
        handle = self._engine.submit(
            self._config.request_class,
            deadline_ms,
            tenant=self._config.tenant,
            idempotency_key=header.destination_connection_id.hex(),
        )
        connection = QuicConnection(self._context, handle, slot)
        connection.register_connection_id(header.destination_connection_id)
        await connection.receive(header, datagram, client_address)
        self._nursery.start_soon(self._run_connection, slot, connection.serve)

    def _open_slot(self, header: PacketHeader, client_address: SocketAddress) -> ConnectionSlot | None:
        """Return a place for a new connection; None where there is none, which is counted.

        It is taken here and not in the connection's task: many datagrams may be read before the task first
        runs, and each of them may open a connection.
        """
        slot = self._admission.open(client_address, header.destination_connection_id)
        if isinstance(slot, ConnectionSlot):
            return slot
        self.drop_counters.count(slot)
        return None

    async def _run_connection(self, slot: ConnectionSlot, serve: Callable[[], Awaitable[None]]) -> None:
        try:
            with slot.scope:
                await serve()
        except Exception:
            # Deliberately broad: a fault must end only the connection in which it occurs.
            log.exception("quic_connection_crashed")
        finally:
            slot.close()

    async def _send_to_client(self, datagram: bytes, client_address: SocketAddress) -> None:
        await self._socket.sendto(datagram, client_address)


def _needs_version_negotiation(header: PacketHeader, datagram: bytes) -> bool:
    """Return whether a packet has a version that the servers do not support (RFC 9000, section 6.1).

    A Version Negotiation packet is never answered. Neither is a datagram that is too short for a first
    Initial packet: the answer to a spoofed source address could be larger than the datagram (amplification).
    """
    if header.packet_type is not PacketType.OTHER_VERSION or header.version == VERSION_NEGOTIATION:
        return False
    return len(datagram) >= MIN_INITIAL_DATAGRAM_BYTES
