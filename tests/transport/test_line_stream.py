"""Lines over a pair of sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from walkloom.transport.line_stream import MAX_LINE_BYTES, LineError, LineStream, first_word


def with_peer(use: Callable[[LineStream, trio.SocketStream], Awaitable[None]]) -> None:
    """Run `use` with a line stream and the plain stream at its other end."""

    async def main() -> None:
        ours, theirs = trio.socket.socketpair()
        stream = LineStream(trio.SocketStream(ours))
        try:
            await use(stream, trio.SocketStream(theirs))
        finally:
            await stream.close()
            theirs.close()

    trio.run(main)


def test_read_line_returns_a_line_at_a_time_and_drops_the_rest_at_the_end() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"one\r\ntwo\r\nthr")
        assert await stream.read_line() == b"one\r\n"
        assert stream.has_buffered_input
        assert await stream.read_line() == b"two\r\n"
        await peer.send_eof()
        assert await stream.read_line() == b""
        assert stream.ended

    with_peer(use)


def test_read_complete_lines_returns_the_rest_at_the_end_of_the_stream() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"one\r\ntwo\r\nthr")
        assert await stream.read_complete_lines() == b"one\r\ntwo\r\n"
        await peer.send_eof()
        assert await stream.read_complete_lines() == b"thr"
        assert await stream.read_complete_lines() == b""

    with_peer(use)


def test_a_line_over_the_limit_is_an_error_with_its_length() -> None:
    async def use(stream: LineStream, peer: trio.SocketStream) -> None:
        await peer.send_all(b"x" * MAX_LINE_BYTES + b"\n")
        with pytest.raises(LineError, match="a line of over 4096 bytes") as caught:
            await stream.read_line()
        assert caught.value.received_bytes == MAX_LINE_BYTES + 1

    with_peer(use)


@pytest.mark.parametrize(("line", "word"), [(b"PONG x=1\r\n", b"PONG"), (b" BYE", b"BYE"), (b"\r\n", b"")])
def test_first_word(line: bytes, word: bytes) -> None:
    assert first_word(line) == word
