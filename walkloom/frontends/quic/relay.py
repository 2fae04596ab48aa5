"""The stage after a server has accepted the connection: forwards packets until the connection has ended."""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from walkloom.frontends.quic.connection_state import ConnectionState
from walkloom.frontends.quic.drop_counters import DropReason
from walkloom.frontends.quic.errors import PacketError
from walkloom.frontends.quic.packet import MAX_DATAGRAM_BYTES, parse_header
from walkloom.messages import AttemptStatus
from walkloom.transport.address import SocketAddress
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")

# Shared by all connections: anyone who knows a connection id can send from ever new addresses.
_address_changes = RateLimitedLog("quic_address_changed")

# Interval between checks whether the connection has ended; short compared to the timeouts in `activity`.
END_CHECK_INTERVAL_S = 0.25


class Relay:
    """Forwards the server's packets to the client.

    The client's packets are forwarded by `QuicConnection.receive`.
    """

    def __init__(self, state: ConnectionState) -> None:
        """Create the relay; `run` starts forwarding."""
        self._state = state
        # None before `run`.
        self._nursery: trio.Nursery | None = None
        self._server_lost = False
        self._shutting_down = False

    @property
    def has_started(self) -> bool:
        """Whether `run` has started, so that paths may be added."""
        return self._nursery is not None

    async def run(self) -> None:
        """Forward until the connection has ended, and report its final status to the engine."""
        status = AttemptStatus.CANCELLED
        try:
            async with trio.open_nursery() as self._nursery:
                for client_address, sock in self._state.paths.items():
                    self._nursery.start_soon(self._relay_to_client, sock, client_address)
                self._nursery.start_soon(self._handle_commands)
                status = await self._wait_until_ended()
                self._nursery.cancel_scope.cancel()
        finally:
            self._state.handle.report_ended(status, ends_request=True)

    async def add_path(self, client_address: SocketAddress) -> None:
        """Open a path for a new address of the client (RFC 9000, section 9); raises OSError.

        The connection stays at the same server.
        """
        handle = self._state.handle
        endpoint = self._state.context.endpoints[str(handle.endpoint_id)]
        self._state.paths.close_oldest_if_full()
        sock = await self._state.paths.open(client_address, endpoint.address)
        _address_changes.count(f"request {handle.id} endpoint {endpoint.endpoint_id}")
        if self._nursery:
            self._nursery.start_soon(self._relay_to_client, sock, client_address)

    async def _relay_to_client(self, sock: trio.socket.SocketType, client_address: SocketAddress) -> None:
        """Forward the server's datagrams on one path until the path is closed or fails."""
        while True:
            try:
                datagram = await sock.recv(MAX_DATAGRAM_BYTES)
            except trio.ClosedResourceError:
                # The path was closed in favour of a newer one.
                return
            except OSError:
                # An ICMP error: the server's process no longer runs. It counts only on a path that is in use.
                if self._state.paths.find(client_address) is sock:
                    self._server_lost = True
                return
            self._state.activity.record_server_datagram()
            self._register_connection_id(datagram)
            with suppress(OSError):
                await self._state.context.send_to_client(datagram, client_address)

    def _register_connection_id(self, datagram: bytes) -> None:
        """Register the id that the server has chosen: the source connection id of its long headers."""
        with suppress(PacketError):
            header = parse_header(datagram, self._state.context.connection_id_length)
            self._state.connection_ids.register(header.source_connection_id)

    async def _handle_commands(self) -> None:
        """Count the migrations that the policy requests; runs until cancelled.

        A balancer cannot make a QUIC client migrate. When this balancer itself shuts down, it ends the relay,
        because the other balancers can forward the connection by its connection id.
        """
        while True:
            await self._state.handle.next_command()
            self._shutting_down = self._state.context.engine.stopping
            self._state.context.drop_counters.count(DropReason.MIGRATIONS_NOT_SENT)

    async def _wait_until_ended(self) -> AttemptStatus:
        """Wait until the connection has ended and return its status; `activity` infers the end."""
        activity = self._state.activity
        while not self._server_lost:
            await trio.sleep(END_CHECK_INTERVAL_S)
            now = trio.current_time()
            if self._shutting_down:
                return AttemptStatus.CANCELLED
            if activity.is_server_silent(now):
                break
            if activity.is_idle(now, self._state.slot.is_confirmed):
                return AttemptStatus.OK
        handle = self._state.handle
        log.warning("quic_server_lost endpoint=%s request=%d", handle.endpoint_id, handle.id)
        return AttemptStatus.CONNECTION_RESET
