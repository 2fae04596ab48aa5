"""The UDP side: reads the clients' datagrams and finds for each its connection, or its server.

No datagram and no connection may end the frontend: it drops and counts what it cannot use, and logs a fault
of the program.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import trio

from walkloom.engine.engine import Engine
from walkloom.frontends.quic.connection import QuicConnection
from walkloom.frontends.quic.connection_context import ConnectionContext
from walkloom.frontends.quic.connection_table import ConnectionTable
from walkloom.frontends.quic.drop_counters import DropCounters, DropReason
from walkloom.frontends.quic.errors import PacketError
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


class QuicFrontend:
    """The QUIC frontend of one balancer.

    Attributes that others read:

    - connections: the connection ids that are known.
    - drop_counters: what was not forwarded, since the start.
    """

    def __init__(self, engine: Engine, conf: QuicConfig) -> None:
        """Create the frontend; to be called inside a trio run."""
        self._engine = engine
        self._conf = conf
        self._endpoint_by_server_id = {endpoint.server_id: endpoint for endpoint in conf.endpoints}
        self.connections = ConnectionTable(conf.max_connections)
        self.drop_counters = DropCounters()
        self._context = ConnectionContext(
            engine=engine,
            endpoints={endpoint.endpoint_id: endpoint for endpoint in conf.endpoints},
            connection_id_length=conf.connection_id_format.length,
            table=self.connections,
            drop_counters=self.drop_counters,
            send_to_client=self._send_to_client,
        )
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        # Set by `run`; holds a task for each connection.
        self._nursery: trio.Nursery

    async def run(self, task_status: trio.TaskStatus[SocketAddress] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports the address that it listens on, with the port the system chose.

        Raises OSError where it cannot listen.
        """
        with self._socket:
            await self._socket.bind(self._conf.listen)
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.drop_counters.report)
                task_status.started(self._socket.getsockname())
                while True:
                    await self._receive_datagram()

    async def _receive_datagram(self) -> None:
        try:
            datagram, client_address = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            await self._route(datagram, client_address)
        except PacketError:
            self.drop_counters.count(DropReason.MALFORMED)
        except Exception:
            # Broad on purpose: whatever is wrong with one datagram, the next ones must be read.
            log.exception("quic_datagram_error")

    async def _route(self, datagram: bytes, client_address: SocketAddress) -> None:
        """Pass a datagram to whom it belongs; raises PacketError."""
        header = parse_header(datagram, self._conf.connection_id_format.length)
        connection = self.connections.find(header.destination_connection_id)
        if connection:
            await connection.receive(header, datagram, client_address)
        elif self.connections.is_full:
            self.drop_counters.count(DropReason.TABLE_FULL)
        elif endpoint := self._find_endpoint(header.destination_connection_id):
            self._adopt(endpoint, header, datagram, client_address)
        elif _needs_version_negotiation(header, datagram):
            await self._send_to_client(build_version_negotiation(header), client_address)
        elif header.packet_type is PacketType.INITIAL:
            await self._accept(header, datagram, client_address)
        else:
            self.drop_counters.count(DropReason.UNROUTABLE)

    def _find_endpoint(self, connection_id: bytes) -> QuicEndpoint | None:
        """Return the server that a connection id names."""
        server_id = self._conf.connection_id_format.server_id(connection_id)
        if server_id is None:
            return None
        return self._endpoint_by_server_id.get(server_id)

    def _adopt(
        self, endpoint: QuicEndpoint, header: PacketHeader, datagram: bytes, client_address: SocketAddress
    ) -> None:
        """Take over a connection that another balancer placed; its id names the server."""
        handle = self._engine.adopt(endpoint.endpoint_id, self._conf.request_class, tenant=self._conf.tenant)
        connection = QuicConnection(self._context, handle, client_address)
        connection.learn_connection_id(header.destination_connection_id)
        self._start_connection(connection.serve_adopted, endpoint, header, datagram)

    async def _accept(self, header: PacketHeader, datagram: bytes, client_address: SocketAddress) -> None:
        """Take a client's first Initial packet as a request; raises PacketError where it is too short."""
        has_dcid = len(header.destination_connection_id) >= MIN_CLIENT_DCID_BYTES
        if len(datagram) < MIN_INITIAL_DATAGRAM_BYTES or not has_dcid:
            raise PacketError("too short for a first Initial packet")
        deadline_ms = self._engine.now() + self._conf.request_timeout_ms
        handle = self._engine.submit(self._conf.request_class, deadline_ms, tenant=self._conf.tenant)
        connection = QuicConnection(self._context, handle, client_address)
        connection.learn_connection_id(header.destination_connection_id)
        await connection.receive(header, datagram, client_address)
        self._start_connection(connection.serve)

    def _start_connection(self, serve: Callable[..., Awaitable[None]], *args: object) -> None:
        # Counted here and not in the task: many datagrams may be read before the task first runs, and each
        # of them may open a connection.
        self.connections.reserve()
        self._nursery.start_soon(self._run_connection, serve, *args)

    async def _run_connection(self, serve: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await serve(*args)
        except Exception:
            # Broad on purpose: a fault ends its own connection only.
            log.exception("quic_connection_crashed")
        finally:
            self.connections.release()

    async def _send_to_client(self, datagram: bytes, client_address: SocketAddress) -> None:
        await self._socket.sendto(datagram, client_address)


def _needs_version_negotiation(header: PacketHeader, datagram: bytes) -> bool:
    """Return whether a packet asks for a version that no server here speaks (RFC 9000, section 6.1).

    A Version Negotiation packet is never answered, and neither is a datagram that is too short for a first
    Initial packet: a forged source address would get more than was sent.
    """
    if header.packet_type is not PacketType.OTHER_VERSION or header.version == VERSION_NEGOTIATION:
        return False
    return len(datagram) >= MIN_INITIAL_DATAGRAM_BYTES
