"""The lifetime of one QUIC connection at this balancer; one task serves it."""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from walkloom.engine.engine import RequestHandle
from walkloom.frontends.quic.activity import ActivityMonitor
from walkloom.frontends.quic.connection_admission import ConnectionSlot
from walkloom.frontends.quic.connection_context import ConnectionContext
from walkloom.frontends.quic.connection_state import ConnectionState
from walkloom.frontends.quic.connection_table import ConnectionIds
from walkloom.frontends.quic.handshake import Handshake
from walkloom.frontends.quic.packet import PacketHeader
from walkloom.frontends.quic.relay import Relay
from walkloom.frontends.quic.server_paths import ServerPaths
from walkloom.frontends.quic.settings import QuicEndpoint
from walkloom.messages import AttemptStatus, Fail, Reject, StartAttempt
from walkloom.transport.address import SocketAddress

log = logging.getLogger("walkloom")

# How long Initial packets that a rejected client sends again are answered with the same packet: three times
# the probe timeout (RFC 9000, section 10.2), which is initially about one second (RFC 9002, section 6.2.2).
CLOSING_PERIOD_S = 3.0


class QuicConnection:
    """One client connection.

    The frontend's task passes the client's datagrams to `receive`; the connection's own task runs `serve` or
    `serve_adopted`.
    """

    def __init__(self, context: ConnectionContext, handle: RequestHandle, slot: ConnectionSlot) -> None:
        """Create the connection.

        handle: the connection's request at the engine. slot: its place, with the address of the client.
        """
        self._client_address = slot.address
        self._state = ConnectionState(
            context=context,
            handle=handle,
            slot=slot,
            connection_ids=ConnectionIds(context.connection_table, self),
            paths=ServerPaths(),
            activity=ActivityMonitor(),
        )
        self._handshake = Handshake(self._state, slot.address)
        self._relay = Relay(self._state)
        slot.release = self._release
        # The Initial packet that rejects the client; empty unless the request was rejected or has failed.
        self._refusal_datagram = b""

    def register_connection_id(self, connection_id: bytes) -> None:
        """Route packets with this destination connection id to this connection."""
        self._state.connection_ids.register(connection_id)

    async def receive(self, header: PacketHeader, datagram: bytes, client_address: SocketAddress) -> None:
        """Process one datagram from the client.

        header: the header of the datagram's first packet. Raises OSError where a rejection cannot be sent
        again, or a socket to the server cannot be opened for a new client address.
        """
        self._state.activity.record_client_datagram()
        if self._state.activity.has_server_answered:
            self._state.slot.confirm()
        if self._refusal_datagram:
            await self._state.context.send_to_client(self._refusal_datagram, client_address)
            return
        if not self._state.handle.is_established:
            self._handshake.add_client_datagram(header, datagram, client_address)
        elif self._relay.has_started and client_address not in self._state.paths:
            await self._relay.add_path(client_address)
        sock = self._find_path(client_address)
        if sock:
            self._state.activity.record_forwarded_datagram()
            # An ICMP error is handled where the server's packets are read.
            with suppress(OSError):
                await sock.send(datagram)

    def _find_path(self, client_address: SocketAddress) -> trio.socket.SocketType | None:
        """Return the socket to the server for a client address.

        During the handshake any path is correct, because a client must not migrate yet (RFC 9000, section 9).
        """
        sock = self._state.paths.find(client_address)
        if sock is None and not self._state.handle.is_established:
            sock = self._state.paths.oldest()
        return sock

    async def serve(self) -> None:
        """Serve a new connection from the handshake to its end."""
        try:
            if await self._establish():
                await self._relay.run()
        except trio.Cancelled:
            self._report_abandoned()
            raise
        finally:
            self._close()

    async def serve_adopted(self, endpoint: QuicEndpoint, header: PacketHeader, datagram: bytes) -> None:
        """Serve a connection that is already established at a server but new to this balancer.

        header, datagram: the first datagram that arrived here. Raises OSError where the socket to the server
        cannot be opened.
        """
        try:
            await self._state.paths.open(self._client_address, endpoint.address)
            await self.receive(header, datagram, self._client_address)
            await self._relay.run()
        finally:
            self._close()

    async def _establish(self) -> bool:
        """Execute the engine's commands, one attempt after another; return whether a server answered."""
        while True:
            command = await self._state.handle.next_command()
            if isinstance(command, Reject | Fail):
                await self._refuse()
                return False
            if isinstance(command, StartAttempt):
                failure = await self._handshake.attempt(command)
                if failure is None:
                    return True
                self._state.paths.close_all()
                self._state.handle.report_ended(failure)

    async def _refuse(self) -> None:
        """Send the client its final answer, and keep it for packets sent again in the closing period."""
        self._refusal_datagram = self._handshake.build_refusal()
        log.info("quic_request_rejected request=%d", self._state.handle.id)
        with suppress(OSError):
            await self._state.context.send_to_client(self._refusal_datagram, self._handshake.client_address)
        await trio.sleep(CLOSING_PERIOD_S)

    def _report_abandoned(self) -> None:
        """Report a request that has no answer: its place was given to another connection."""
        handle = self._state.handle
        if not handle.is_established:
            handle.report_client_disconnected()
            status = AttemptStatus.CANCELLED if handle.sending_started else AttemptStatus.NOT_SENT
            handle.report_ended(status, ends_request=True)

    def _release(self) -> None:
        self._state.paths.close_all()
        self._state.connection_ids.remove_all()

    def _close(self) -> None:
        self._release()
        self._state.handle.close()
