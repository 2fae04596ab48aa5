"""Line streams over a pair of connected sockets."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from walkloom.transport.line_stream import MAX_LINE_BYTES, LineError, LineStream, first_word, open_line_stream


def with_peer(use: Callable[[LineStream, trio.SocketStream], Awaitable[None]]) -> None:
    """Run `use` with a line stream and the plain stream at its other end."""

    async def main() -> None:
        own_socket, peer_socket = trio.socket.socketpair()
        stream = LineStream(trio.SocketStream(own_socket))
        try:
            await use(stream, trio.SocketStream(peer_socket))
        finally:
            await stream.close()
            peer_socket.close()

    trio.run(main)


def test_read_line_returns_one_line_at_a_time_and_drops_an_incomplete_last_line() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"one\r\ntwo\r\nthr")
        assert await stream.read_line() == b"one\r\n"
        assert stream.has_buffered_input
        assert await stream.read_line() == b"two\r\n"
        await peer.send_eof()
        assert await stream.read_line() == b""
        assert stream.ended

    with_peer(use)


def test_read_complete_lines_returns_the_remaining_bytes_at_the_end_of_the_stream() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"one\r\ntwo\r\nthr")
        assert await stream.read_complete_lines() == b"one\r\ntwo\r\n"
        await peer.send_eof()
        assert await stream.read_complete_lines() == b"thr"
        assert await stream.read_complete_lines() == b""

    with_peer(use)


def test_a_line_over_the_limit_raises_an_error_with_its_length() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"x" * MAX_LINE_BYTES + b"\n")
        with pytest.raises(LineError, match="a line of over 4096 bytes") as caught:
            await stream.read_line()
        assert caught.value.received_bytes == MAX_LINE_BYTES + 1

    with_peer(use)


@pytest.mark.parametrize(("line", "word"), [(b"PONG x=1\r\n", b"PONG"), (b" BYE", b"BYE"), (b"\r\n", b"")])
def test_first_word(line: bytes, word: bytes) -> None:
    assert first_word(line) == word


class FailingSocket:
    """A socket on which the first two of every three calls of send and recv fail."""

    def __init__(self, sock: trio.socket.SocketType, error_number: int) -> None:
        self._sock = sock
        self._error_number = error_number
        self._failures = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    async def send(self, data: bytes) -> int:
        self._fail_twice()
        return await self._sock.send(data)

    async def recv(self, size: int) -> bytes:
        self._fail_twice()
        return await self._sock.recv(size)

    def _fail_twice(self) -> None:
        self._failures = (self._failures + 1) % 3
        if self._failures:
            raise OSError(self._error_number, "temporary failure")


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM])
def test_a_kernel_memory_shortage_does_not_break_a_connection(error_number: int) -> None:
    async def use(lines: LineStream, peer: trio.SocketStream) -> None:
        lines._stream.socket = FailingSocket(lines._stream.socket, error_number)  # type: ignore[assignment]
        await lines.send(b"one\r\n")
        assert await peer.receive_some() == b"one\r\n"
        await peer.send_all(b"two\r\n")
        assert await lines.read_line() == b"two\r\n"

    with_peer(use)


def test_other_errors_of_send_break_the_connection_at_once() -> None:
    async def use(lines: LineStream, _peer: trio.SocketStream) -> None:
        lines._stream.socket = FailingSocket(lines._stream.socket, errno.EPIPE)  # type: ignore[assignment]
        with pytest.raises(trio.BrokenResourceError):
            await lines.send(b"one\r\n")

    with_peer(use)


@pytest.mark.parametrize(
    ("error_number", "is_local"),
    [
        (errno.EADDRNOTAVAIL, True),
        (errno.ENOBUFS, True),
        (errno.ECONNREFUSED, False),
        (errno.EHOSTUNREACH, False),
    ],
)
def test_a_local_connect_error_is_raised_and_not_attributed_to_the_server(
    monkeypatch: pytest.MonkeyPatch, error_number: int, is_local: bool
) -> None:
    async def main() -> None:
        async def fail(_self: object, _address: object) -> None:
            raise OSError(error_number, "no")

        with trio.socket.socket() as any_socket:
            monkeypatch.setattr(type(any_socket), "connect", fail)
        if is_local:
            with pytest.raises(OSError, match="no"):
                await open_line_stream(("127.0.0.1", 1))
        else:
            assert await open_line_stream(("127.0.0.1", 1)) is None

    trio.run(main)
