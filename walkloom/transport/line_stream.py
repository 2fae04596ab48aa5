"""Lines over one TCP stream, of a client connection or an upstream connection (tile server)."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import trio

LONGEST = 4096  # bytes of a line, its CRLF included
CHUNK = 16_384
LINGER_S = 0.8  # how long a side that was told the end may take to end its own
DRAIN_MOST = 8 << 20  # bytes that may still come from it meanwhile, unread
_VOID = bytearray(1 << 18)  # what is read to be dropped; Linux does not even copy it


class LineError(ValueError):
    """A line longer than the protocol allows."""


class LineStream:
    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._writing = trio.Lock()
        self._unsent = bytearray()  # of what was given to send, also by a task that was cancelled
        self.ended = False  # the other side has ended its sending

    async def _more(self) -> bool:
        data = b"" if self.ended else await self._stream.receive_some(CHUNK)
        self.ended = not data
        self._buffer += data
        return not self.ended

    async def read_line(self) -> bytes:
        """The next line with its end; empty once the stream has ended."""
        while (end := self._buffer.find(b"\n") + 1) == 0:
            self._check(len(self._buffer))
            if not await self._more():
                return b""
        self._check(end)
        line = bytes(self._buffer[:end])
        del self._buffer[:end]
        return line

    async def read_complete_lines(self) -> bytes:
        """All whole lines that have come; at the end of the stream the rest, then nothing."""
        while (end := self._buffer.rfind(b"\n") + 1) == 0:
            self._check(len(self._buffer))
            if not await self._more():
                end = len(self._buffer)
                break
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        return data

    def _check(self, length: int) -> None:
        if length > LONGEST:
            raise LineError(f"a line of over {LONGEST} bytes")

    @property
    def has_buffered_input(self) -> bool:
        """Whether something has come that no read has returned."""
        return bool(self._buffer)

    async def wait_for_input(self) -> bool:
        """Waits until the other side sends something more, or ends: False."""
        with suppress(trio.BrokenResourceError):
            return await self._more()
        return False

    async def send(self, data: bytes) -> None:
        """All of it, and before it what a cancelled task has left: guards whole lines against being lost, and
        MOVE and answers against landing within a line that was cut off."""
        self._unsent += data
        async with self._writing:
            try:
                while self._unsent:
                    del self._unsent[: await self._stream.socket.send(self._unsent)]
            except OSError as error:
                closed = self._stream.socket.fileno() < 0  # by another task of ours
                raise (trio.ClosedResourceError if closed else trio.BrokenResourceError)(str(error)) from None

    async def send_eof(self) -> None:
        """Passes on a FIN."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_eof()

    async def close_gently(self) -> None:
        """FIN, then reads on until the other side ends, within bounds: guards the last line against the
        reset that closing with unread bytes would cause."""
        left = DRAIN_MOST
        with trio.move_on_after(LINGER_S), suppress(OSError, trio.ClosedResourceError):
            await self.send_eof()
            while left > 0 and (got := await self._stream.socket.recv_into(_VOID, 0, socket.MSG_TRUNC)):
                left -= got
        await self.close()

    async def drain(self) -> None:
        """Drops what has come by now, within bounds."""
        left = DRAIN_MOST
        with suppress(OSError, trio.ClosedResourceError):
            while left > 0 and self._stream.socket.is_readable():
                left -= await self._stream.socket.recv_into(_VOID, 0, socket.MSG_TRUNC) or left

    async def close(self) -> None:
        await trio.aclose_forcefully(self._stream)

    async def reset(self) -> None:
        with suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.close()


async def open_line_stream(address: tuple[str, int]) -> LineStream | None:
    """None if nothing accepts there; OSError if we have no descriptor left."""
    sock = trio.socket.socket()
    try:
        await sock.connect(address)
    except OSError:
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return LineStream(trio.SocketStream(sock))


def first_word(line: bytes) -> bytes:
    return line.split(None, 1)[0] if line.strip() else b""
