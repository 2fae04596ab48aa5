"""Reads and writes lines over the TCP stream of a client connection or an upstream connection."""

from __future__ import annotations

import errno
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeVar

import trio

from walkloom.transport.address import SocketAddress

T = TypeVar("T")

# Longest line that the protocol allows, including its CRLF.
MAX_LINE_BYTES = 4096

# Largest number of bytes per read from the socket.
RECEIVE_BYTES = 16_384

# After our FIN, how long the peer may take to send its own.
LINGER_S = 0.8

# Largest number of received bytes that one call discards.
MAX_DISCARDED_BYTES = 8 << 20

# Errors of send() and recv() that mean a temporary lack of kernel memory; the connection is still usable.
MEMORY_SHORTAGE_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)

# Number of retries after such an error, and the pause before each: the shortage may last for a second.
MEMORY_SHORTAGE_RETRIES = 100
MEMORY_SHORTAGE_PAUSE_S = 0.01

# Errors of connect() that are caused by this machine and say nothing about the remote one.
LOCAL_CONNECT_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)

# SO_LINGER enabled with a timeout of 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Target of reads whose bytes are discarded; with MSG_TRUNC Linux does not even copy them.
_DISCARD_BUFFER = bytearray(1 << 18)


class LineError(ValueError):
    """A line longer than the protocol allows."""

    def __init__(self, received_bytes: int) -> None:
        super().__init__(f"a line of over {MAX_LINE_BYTES} bytes")
        self.received_bytes = received_bytes


class LineStream:
    """One TCP stream that is read line by line.

    Reads raise LineError if a line is too long, and trio.BrokenResourceError if the connection broke.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._send_lock = trio.Lock()

        # Data that was passed to `send` and is not sent yet, including data of cancelled tasks.
        self._unsent = bytearray()

        # Whether the peer has sent its FIN.
        self.ended = False

    async def read_line(self) -> bytes:
        """Return the next line including its line end; empty once the stream has ended."""
        end = self._buffer.find(b"\n") + 1
        while end == 0:
            _check_line_length(len(self._buffer))
            if not await self._receive():
                return b""
            end = self._buffer.find(b"\n") + 1
        _check_line_length(end)
        return self._take(end)

    async def read_complete_lines(self) -> bytes:
        """Return all complete lines received; at the end of the stream the remaining bytes, then empty."""
        end = self._buffer.rfind(b"\n") + 1
        while end == 0:
            _check_line_length(len(self._buffer))
            if not await self._receive():
                return self._take(len(self._buffer))
            end = self._buffer.rfind(b"\n") + 1
        return self._take(end)

    @property
    def has_buffered_input(self) -> bool:
        """Whether data was received that no read has returned yet."""
        return bool(self._buffer)

    async def has_ended(self) -> bool:
        """Whether the peer has ended or reset its side and all that it sent is read; does not wait."""
        if not self.ended and not self._buffer and self._stream.socket.is_readable():
            return not await self.wait_for_input()
        return self.ended and not self._buffer

    async def wait_for_input(self) -> bool:
        """Wait for more data from the peer; return False if the stream ends or breaks instead."""
        with suppress(trio.BrokenResourceError):
            return await self._receive()
        return False

    async def send(self, data: bytes) -> None:
        """Send all of the data, after any data that a cancelled task left unsent.

        A line that a cancelled task began is completed first. Otherwise its rest would be lost, and the next
        line (an answer, MOVE) would be appended to its first half.

        Raises trio.ClosedResourceError if another task of this process closed the stream, and
        trio.BrokenResourceError on any other error.
        """
        self._unsent += data
        async with self._send_lock:
            try:
                while self._unsent:
                    sent_bytes = await _retry_on_memory_shortage(self._send_part)
                    del self._unsent[:sent_bytes]
            except OSError as error:
                if self._stream.socket.fileno() < 0:
                    raise trio.ClosedResourceError(str(error)) from error
                raise trio.BrokenResourceError(str(error)) from error

    async def send_eof(self) -> None:
        """Send a FIN; errors of a closed or broken stream are ignored."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()

    async def close_gracefully(self) -> None:
        """Send a FIN, discard input until the peer sends its FIN, and close.

        Closing a socket with unread bytes sends a reset, which can overtake the last line. Bounded by
        LINGER_S and MAX_DISCARDED_BYTES.
        """
        with trio.move_on_after(LINGER_S), suppress(OSError, trio.ClosedResourceError):
            await self.send_eof()
            remaining_bytes = MAX_DISCARDED_BYTES
            while remaining_bytes > 0:
                discarded_bytes = await self._discard()
                if not discarded_bytes:
                    break
                remaining_bytes -= discarded_bytes
        await self.close()

    async def discard_received(self) -> None:
        """Discard the input received so far, MAX_DISCARDED_BYTES at most."""
        remaining_bytes = MAX_DISCARDED_BYTES
        with suppress(OSError, trio.ClosedResourceError):
            while remaining_bytes > 0 and self._stream.socket.is_readable():
                discarded_bytes = await self._discard()
                if not discarded_bytes:  # an ended stream stays readable
                    break
                remaining_bytes -= discarded_bytes

    async def close(self) -> None:
        """Close the stream without waiting for the peer."""
        await trio.aclose_forcefully(self._stream)

    async def reset(self) -> None:
        """Close the stream with a reset."""
        with suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.close()

    async def _receive(self) -> bool:
        """Read more data into the buffer; return False once the stream has ended."""
        data = b"" if self.ended else await _retry_on_memory_shortage(self._receive_part)
        self.ended = not data
        self._buffer += data
        return not self.ended

    async def _send_part(self) -> int:
        return await self._stream.socket.send(self._unsent)

    async def _receive_part(self) -> bytes:
        return bytes(await self._stream.receive_some(RECEIVE_BYTES))

    def _take(self, length: int) -> bytes:
        """Remove the first bytes of the buffer and return them."""
        data = bytes(self._buffer[:length])
        del self._buffer[:length]
        return data

    async def _discard(self) -> int:
        """Read once and discard the data; return its length, 0 at the end of the stream."""
        return await self._stream.socket.recv_into(_DISCARD_BUFFER, 0, socket.MSG_TRUNC)


async def open_line_stream(address: SocketAddress) -> LineStream | None:
    """Connect to an address; return None if the remote side does not accept the connection.

    Raises OSError if this machine lacks a descriptor, a port or memory for the connection.
    """
    sock = trio.socket.socket()
    try:
        await sock.connect(address)
    except OSError as error:
        sock.close()
        if error.errno in LOCAL_CONNECT_ERRNOS:
            raise
        return None
    except BaseException:
        sock.close()
        raise
    return LineStream(trio.SocketStream(sock))


async def _retry_on_memory_shortage(call: Callable[[], Awaitable[T]]) -> T:
    """Make a socket call, and retry it after a pause while the kernel lacks memory for it."""
    for _ in range(MEMORY_SHORTAGE_RETRIES):
        try:
            return await call()
        except (OSError, trio.BrokenResourceError) as error:
            cause = error if isinstance(error, OSError) else error.__cause__
            if not (isinstance(cause, OSError) and cause.errno in MEMORY_SHORTAGE_ERRNOS):
                raise
        await trio.sleep(MEMORY_SHORTAGE_PAUSE_S)
    return await call()


def first_word(line: bytes) -> bytes:
    """Return the first word of a line; empty for a blank line."""
    words = line.split(None, 1)
    return words[0] if words else b""


def _check_line_length(length: int) -> None:
    if length > MAX_LINE_BYTES:
        raise LineError(length)
