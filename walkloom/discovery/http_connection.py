"""HTTP client for discovery: long-poll calls over one HTTP/1.1 connection.

This module knows the path and the query of a call; the codec knows the content of the body.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import h11
import trio

from walkloom.discovery.errors import (
    ConnectRefusedError,
    ConnectTimeoutError,
    ResponseIncompleteError,
    ResponseStatusError,
    ResponseTooLargeError,
    UnsolicitedResponseError,
)
from walkloom.transport.address import SocketAddress

# A connection that discovery does not accept within this time is a failed call, so that the next can begin.
CONNECT_TIMEOUT_S = 1.0

# Limits the memory that a response can use.
MAX_BODY_BYTES = 4 << 20

# Maximum size of one read from the socket.
RECEIVE_BYTES = 65_536

HTTP_OK = 200
LIST_PATH = "/registry/instances"


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """The body of a response, and when its first byte arrived."""

    body: bytes

    # Seconds of trio's clock; discovery wrote the list no later than this.
    first_byte_at: float


class DiscoveryConnection:
    """One connection to discovery, for consecutive calls.

    Besides DiscoveryError, calls raise OSError and trio.BrokenResourceError if the connection breaks, and
    h11.ProtocolError if the response violates HTTP.
    """

    def __init__(self, stream: trio.SocketStream, address: SocketAddress) -> None:
        self._stream = stream
        self._address = address
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address: SocketAddress) -> DiscoveryConnection:
        """Connect to discovery.

        Raises ConnectTimeoutError if the connection is not accepted within CONNECT_TIMEOUT_S,
        ConnectRefusedError if it is refused, and OSError if this machine cannot connect.
        """
        host, port = address
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                return cls(await trio.open_tcp_stream(host, port), address)
        except OSError as error:
            if _is_refusal(error.__cause__):
                raise ConnectRefusedError(host, port) from error
            raise
        raise ConnectTimeoutError(host, port)

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be made over this connection."""
        return self._http.our_state is h11.IDLE

    async def fetch(self, generation: int | None, hold_ms: float) -> ReceivedList:
        """Make one call and return its response.

        generation: the version of the list that the caller has; discovery answers once there is a newer one,
        or after hold_ms. None: requests the complete list at once.

        Raises ResponseStatusError, ResponseTooLargeError or ResponseIncompleteError.
        """
        await self._stream.send_all(self._encode_request(generation, hold_ms))
        body = bytearray()
        first_byte_at = math.inf
        received_bytes = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(received_bytes)
                received_bytes += len(data)
                self._http.receive_data(data)
                first_byte_at = min(first_byte_at, trio.current_time())
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise ResponseStatusError(event.status_code)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise ResponseTooLargeError(len(body))
            elif isinstance(event, h11.EndOfMessage):
                return ReceivedList(bytes(body), first_byte_at)
            elif isinstance(event, h11.ConnectionClosed):
                raise ResponseIncompleteError(received_bytes)

    async def _receive(self, received_bytes: int) -> bytes:
        """Read once; raises ResponseIncompleteError if the connection breaks."""
        try:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except trio.BrokenResourceError as error:
            raise ResponseIncompleteError(received_bytes, str(error) or "broken") from error

    def finish_call(self) -> None:
        """Prepare the connection for its next call, if both sides keep it open.

        Raises UnsolicitedResponseError if further bytes followed the response: the next call would read them
        as its own response.
        """
        trailing_data, _ = self._http.trailing_data
        if trailing_data.strip():
            raise UnsolicitedResponseError(trailing_data)
        if set(self._http.states.values()) == {h11.DONE}:
            self._http.start_next_cycle()

    async def close(self) -> None:
        """Close the connection without waiting for the other side."""
        await trio.aclose_forcefully(self._stream)

    def _encode_request(self, generation: int | None, hold_ms: float) -> bytes:
        host, port = self._address
        target = LIST_PATH
        if generation is not None:
            target += f"?index={generation}&wait={hold_ms:.0f}"
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")])
        head = self._http.send(request) or b""
        end = self._http.send(h11.EndOfMessage()) or b""
        return head + end


def _is_refusal(error: BaseException | None) -> bool:
    """Whether all attempted addresses refused the connection; trio groups the errors of several attempts."""
    if isinstance(error, BaseExceptionGroup):
        return all(_is_refusal(inner) for inner in error.exceptions)
    return isinstance(error, ConnectionRefusedError)
