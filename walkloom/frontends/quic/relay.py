"""The stage after a server has taken a connection: packets pass in both directions until it has ended."""

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

log = logging.getLogger("walkloom")

# How often the relay looks whether its connection has ended; short against the limits in `activity`.
END_CHECK_S = 0.25


class Relay:
    """Passes the server's packets to the client; those of the client come by `QuicConnection.receive`."""

    def __init__(self, state: ConnectionState) -> None:
        """Create the relay; `run` starts it."""
        self._state = state
        # None before `run`.
        self._nursery: trio.Nursery | None = None
        self._server_lost = False
        self._shutting_down = False

    @property
    def has_started(self) -> bool:
        """Whether `run` has been called, so that paths may be added."""
        return self._nursery is not None

    async def run(self) -> None:
        """Relay until the connection has ended, and report to the engine how it did."""
        status = AttemptStatus.CANCELLED
        try:
            async with trio.open_nursery() as self._nursery:
                for client_address, sock in self._state.paths.items():
                    self._nursery.start_soon(self._relay_to_client, sock, client_address)
                self._nursery.start_soon(self._receive_commands)
                status = await self._wait_until_ended()
                self._nursery.cancel_scope.cancel()
        finally:
            self._state.handle.report_ended(status, ends_request=True)

    async def add_path(self, client_address: SocketAddress) -> None:
        """Open a path for a new address of the client (RFC 9000, section 9); raises OSError.

        Its packets go to the same server on.
        """
        handle = self._state.handle
        endpoint = self._state.context.endpoints[str(handle.endpoint_id)]
        self._state.paths.make_room()
        sock = await self._state.paths.open(client_address, endpoint.address)
        log.info("quic_address_changed request=%d endpoint=%s", handle.id, endpoint.endpoint_id)
        if self._nursery:
            self._nursery.start_soon(self._relay_to_client, sock, client_address)

    async def _relay_to_client(self, sock: trio.socket.SocketType, client_address: SocketAddress) -> None:
        """Pass on what the server sends on one path, until that is closed or refused."""
        while True:
            try:
                datagram = await sock.recv(MAX_DATAGRAM_BYTES)
            except trio.ClosedResourceError:
                # The path gave way to a newer one.
                return
            except OSError:
                # An ICMP error: the server's process is gone. It counts only on a path that is in use.
                if self._state.paths.find(client_address) is sock:
                    self._server_lost = True
                return
            self._state.activity.record_server_datagram()
            self._learn_connection_id(datagram)
            with suppress(OSError):
                await self._state.context.send_to_client(datagram, client_address)

    def _learn_connection_id(self, datagram: bytes) -> None:
        """Enter the id that the server has chosen, which long headers carry as their source."""
        with suppress(PacketError):
            header = parse_header(datagram, self._state.context.connection_id_length)
            self._state.connection_ids.learn(header.source_connection_id)

    async def _receive_commands(self) -> None:
        """Count the migrations that the policy asks for; runs until cancelled.

        A balancer cannot make a QUIC client move. When this balancer itself shuts down, it ends the relay:
        the others forward the connection by its id.
        """
        while True:
            await self._state.handle.next_command()
            self._shutting_down = self._state.context.engine.stopping
            self._state.context.drop_counters.count(DropReason.MIGRATIONS_NOT_SENT)

    async def _wait_until_ended(self) -> AttemptStatus:
        """Return how the connection ended; see `activity` for how that shows."""
        activity = self._state.activity
        while not self._server_lost:
            await trio.sleep(END_CHECK_S)
            now = trio.current_time()
            if self._shutting_down:
                return AttemptStatus.CANCELLED
            if activity.is_server_silent(now):
                break
            if activity.is_idle(now):
                return AttemptStatus.OK
        handle = self._state.handle
        log.warning("quic_server_lost endpoint=%s request=%d", handle.endpoint_id, handle.id)
        return AttemptStatus.CONNECTION_RESET
