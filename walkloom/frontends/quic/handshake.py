"""The stage before a server accepts the connection: attempts that forward the client's first packets."""

from __future__ import annotations

import logging
import math

import trio

from walkloom.frontends.quic.connection_id import create_unroutable_connection_id
from walkloom.frontends.quic.connection_state import ConnectionState
from walkloom.frontends.quic.errors import PacketError
from walkloom.frontends.quic.frames import CONNECTION_REFUSED, find_close_error_code
from walkloom.frontends.quic.initial_keys import Sender, derive_initial_keys
from walkloom.frontends.quic.initial_packet import build_refusal, decrypt_initial
from walkloom.frontends.quic.packet import MAX_DATAGRAM_BYTES, PacketHeader, PacketType, parse_header
from walkloom.frontends.quic.settings import QuicEndpoint
from walkloom.messages import AttemptStatus, StartAttempt
from walkloom.transport.address import SocketAddress

log = logging.getLogger("walkloom")

# Client datagrams that are buffered for further attempts, and their bytes in all; bounds the memory that one
# client can occupy. A client's first flight has two or three datagrams of some 1,200 bytes.
MAX_BUFFERED_DATAGRAMS = 8
MAX_BUFFERED_BYTES = 16_384

# Packets that show that a server continues the handshake. A Retry does not: the server only validates the
# client's address with it (RFC 9000, section 8.1.2).
ESTABLISHING_PACKET_TYPES = (PacketType.INITIAL, PacketType.HANDSHAKE)


class Handshake:
    """Buffers the client's first packets and forwards them, one attempt after another.

    Public attributes:

    - client_address: the client's latest address; the server's answers are sent there.
    """

    def __init__(self, state: ConnectionState, client_address: SocketAddress) -> None:
        """Begin without a datagram; client_address: the source of the first one."""
        self._state = state
        self.client_address = client_address
        # Destination and source connection id of the client's first Initial packet, or of its first one
        # after a Retry. The Initial keys are derived from the former (RFC 9001, section 5.2).
        self._client_dcid = b""
        self._client_scid = b""
        self._buffered_datagrams: list[bytes] = []

    def add_client_datagram(
        self, header: PacketHeader, datagram: bytes, client_address: SocketAddress
    ) -> None:
        """Buffer a datagram of the client for further attempts."""
        self.client_address = client_address
        is_initial = header.packet_type is PacketType.INITIAL
        if is_initial and header.destination_connection_id != self._client_dcid:
            # The first Initial packet, or the first one after a Retry, which restarts the handshake.
            self._client_dcid = header.destination_connection_id
            self._client_scid = header.source_connection_id
            self._buffered_datagrams = []
        buffered_bytes = sum(map(len, self._buffered_datagrams))
        fits = buffered_bytes + len(datagram) <= MAX_BUFFERED_BYTES
        if fits and len(self._buffered_datagrams) < MAX_BUFFERED_DATAGRAMS:
            self._buffered_datagrams.append(datagram)

    async def attempt(self, command: StartAttempt) -> AttemptStatus | None:
        """Try one server; return why the attempt failed, or None once the server continues the handshake.

        The path to the server is still open on return, even after a failure.
        """
        handle = self._state.handle
        endpoint = self._state.context.endpoints.get(str(command.endpoint_id))
        if endpoint is None or not handle.may_start_sending():
            log.warning("quic_attempt_not_sent endpoint=%s request=%d", command.endpoint_id, handle.id)
            return AttemptStatus.NOT_SENT
        attempt_deadline_ms = handle.attempt_started_at + (command.timeout_ms or math.inf)
        deadline_ms = min(attempt_deadline_ms, handle.deadline)
        timeout_ms = max(deadline_ms - self._state.context.engine.now(), 0.0)
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                return await self._forward_until_answered(endpoint)
        except OSError:
            # Usually an ICMP error: no socket is bound to the server's port.
            return AttemptStatus.CONNECT_FAILED
        return AttemptStatus.TIMED_OUT

    async def _forward_until_answered(self, endpoint: QuicEndpoint) -> AttemptStatus | None:
        """Forward the buffered datagrams until the server answers or refuses; return as `attempt` does."""
        sock = await self._state.paths.open(self.client_address, endpoint.address)
        # A datagram that arrives during this loop is sent twice, here and by `QuicConnection.receive`. QUIC
        # ignores the duplicate, because UDP may duplicate datagrams at any time.
        for datagram in self._buffered_datagrams:
            await sock.send(datagram)
        while True:
            datagram = await sock.recv(MAX_DATAGRAM_BYTES)
            try:
                header = parse_header(datagram, self._state.context.connection_id_length)
                failure = self._get_attempt_failure(header, datagram)
            except PacketError:
                # Corrupted; the server will retransmit.
                continue
            if failure is not None:
                return failure
            await self._forward_answer(header, datagram)
            if header.packet_type in ESTABLISHING_PACKET_TYPES:
                self._state.activity.record_server_datagram()
                self._state.handle.report_established()
                return None

    async def _forward_answer(self, header: PacketHeader, datagram: bytes) -> None:
        self._state.connection_ids.register(header.source_connection_id)
        await self._state.context.send_to_client(datagram, self.client_address)

    def _get_attempt_failure(self, header: PacketHeader, datagram: bytes) -> AttemptStatus | None:
        """Return the failure that a server's packet means for the attempt (RFC 9000, section 10.2.3).

        None where the packet does not close the connection. Raises PacketError for an Initial packet that
        cannot be decrypted.
        """
        if header.packet_type is not PacketType.INITIAL:
            return None
        keys = derive_initial_keys(self._client_dcid, Sender.SERVER)
        error_code = find_close_error_code(decrypt_initial(keys, datagram))
        if error_code is None:
            return None
        if error_code == CONNECTION_REFUSED:
            return AttemptStatus.AT_CAPACITY
        return AttemptStatus.ERROR

    def build_refusal(self) -> bytes:
        """Return the datagram that rejects the client when no server has accepted the connection."""
        return build_refusal(self._client_dcid, self._client_scid, create_unroutable_connection_id())
