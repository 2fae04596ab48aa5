"""The stage before a server has taken a connection: one attempt after another with the client's packets."""

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

# Datagrams of the client that are kept for the next attempt; this bounds the memory that one client can use
# up.
MAX_KEPT_DATAGRAMS = 8

# Packets with which a server goes on with the handshake; a Retry does not yet (RFC 9000, section 8.1.2).
ESTABLISHING_TYPES = (PacketType.INITIAL, PacketType.HANDSHAKE)


class Handshake:
    """The client's first packets, and the attempts to have a server take them.

    Attributes that others read:

    - client_address: the latest of the client; the server's answers go there.
    """

    def __init__(self, state: ConnectionState, client_address: SocketAddress) -> None:
        """Begin without a packet; client_address: where the first one comes from."""
        self._state = state
        self.client_address = client_address
        # Destination and source connection id of the client's newest first Initial packet. From the former
        # come the keys of all Initial packets (RFC 9001, section 5.2).
        self._client_dcid = b""
        self._client_scid = b""
        self._kept_datagrams: list[bytes] = []

    def add_client_datagram(
        self, header: PacketHeader, datagram: bytes, client_address: SocketAddress
    ) -> None:
        """Keep a datagram of the client for further attempts."""
        self.client_address = client_address
        is_initial = header.packet_type is PacketType.INITIAL
        if is_initial and header.destination_connection_id != self._client_dcid:
            # The first Initial packet, or the one with which the client answers a Retry: it begins anew.
            self._client_dcid = header.destination_connection_id
            self._client_scid = header.source_connection_id
            self._kept_datagrams = []
        if len(self._kept_datagrams) < MAX_KEPT_DATAGRAMS:
            self._kept_datagrams.append(datagram)

    async def attempt(self, command: StartAttempt) -> AttemptStatus | None:
        """Make one attempt at one server; return why it failed, or None once the server goes on with it.

        The path to the server stays open on return, also after a failure.
        """
        handle = self._state.handle
        endpoint = self._state.context.endpoints.get(str(command.endpoint_id))
        if endpoint is None or not handle.may_start_sending():
            log.warning("quic_attempt_not_sent endpoint=%s request=%d", command.endpoint_id, handle.id)
            return AttemptStatus.NOT_SENT
        attempt_ends_at_ms = handle.attempt_started_at + (command.timeout_ms or math.inf)
        give_up_at_ms = min(attempt_ends_at_ms, handle.deadline)
        timeout_ms = max(give_up_at_ms - self._state.context.engine.now(), 0.0)
        try:
            with trio.move_on_after(timeout_ms / 1000.0):
                return await self._exchange(endpoint)
        except OSError:
            # Mostly an ICMP error: nothing listens there.
            return AttemptStatus.CONNECT_FAILED
        return AttemptStatus.TIMED_OUT

    async def _exchange(self, endpoint: QuicEndpoint) -> AttemptStatus | None:
        """Send what was kept, and wait for the answer that decides the attempt; see `attempt`."""
        sock = await self._state.paths.open(self.client_address, endpoint.address)
        # What comes during this loop goes out twice, here and by `QuicConnection.receive`; as UDP may
        # duplicate a datagram at any time, QUIC ignores the second one.
        for datagram in self._kept_datagrams:
            await sock.send(datagram)
        while True:
            datagram = await sock.recv(MAX_DATAGRAM_BYTES)
            try:
                header = parse_header(datagram, self._state.context.connection_id_length)
                failure = self._find_refusal(header, datagram)
            except PacketError:
                # Damaged; the server sends it again.
                continue
            if failure is not None:
                return failure
            await self._forward_answer(header, datagram)
            if header.packet_type in ESTABLISHING_TYPES:
                self._state.activity.record_server_datagram()
                self._state.handle.report_established()
                return None

    async def _forward_answer(self, header: PacketHeader, datagram: bytes) -> None:
        self._state.connection_ids.learn(header.source_connection_id)
        await self._state.context.send_to_client(datagram, self.client_address)

    def _find_refusal(self, header: PacketHeader, datagram: bytes) -> AttemptStatus | None:
        """Return how a server's packet ends the attempt, None where it does not (RFC 9000, section 10.2.3).

        Raises PacketError for an Initial packet that does not open.
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
        """Return the datagram that refuses the client, which gets no server."""
        return build_refusal(self._client_dcid, self._client_scid, create_unroutable_connection_id())
