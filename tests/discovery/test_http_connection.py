"""Calls over one connection to discovery, and what a wrong response raises."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import h11
import pytest
import trio

from walkloom.discovery.errors import (
    ConnectRefusedError,
    ResponseStatusError,
    ResponseTooLargeError,
    UnsolicitedResponseError,
)
from walkloom.discovery.http_connection import MAX_BODY_BYTES, DiscoveryConnection

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def with_discovery(use: Callable[[DiscoveryConnection, trio.SocketStream], Awaitable[None]]) -> None:
    """Run `use` with a connection and the stream of the discovery at its other end."""

    async def main() -> None:
        ours, theirs = trio.socket.socketpair()
        connection = DiscoveryConnection(trio.SocketStream(ours), ("discovery", 8500))
        try:
            await use(connection, trio.SocketStream(theirs))
        finally:
            await connection.close()
            theirs.close()

    trio.run(main)


def test_a_call_names_the_generation_and_how_long_it_may_be_held() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(OK_HEAD % 2 + b"[]")
        assert (await connection.fetch(7, 2000.0)).body == b"[]"
        request = bytes(await discovery.receive_some())
        assert (
            request == b"GET /registry/instances?index=7&wait=2000 HTTP/1.1\r\nHost: discovery:8500\r\n\r\n"
        )

    with_discovery(use)


def test_a_call_for_the_whole_list_has_no_query_and_the_connection_is_used_again() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        for body in (b"[1]", b"[2]"):
            assert connection.is_reusable
            await discovery.send_all(OK_HEAD % 3 + body)
            assert (await connection.fetch(None, 2000.0)).body == body
            connection.finish_call()
            assert (await discovery.receive_some()).startswith(b"GET /registry/instances HTTP/1.1\r\n")

    with_discovery(use)


def test_a_response_that_closes_the_connection_leaves_it_unusable() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n[]")
        assert (await connection.fetch(None, 2000.0)).body == b"[]"
        connection.finish_call()
        assert not connection.is_reusable

    with_discovery(use)


def test_another_status_is_an_error_that_carries_it() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(ResponseStatusError, match="status 503") as caught:
            await connection.fetch(None, 2000.0)
        assert caught.value.status_code == 503

    with_discovery(use)


@pytest.mark.parametrize("response", [b"", OK_HEAD % 9 + b"[1,"])
def test_a_response_that_is_cut_off_is_a_protocol_error(response: bytes) -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(response)
        await discovery.send_eof()
        with pytest.raises(h11.RemoteProtocolError):
            await connection.fetch(None, 2000.0)

    with_discovery(use)


def test_a_body_over_the_limit_is_an_error() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        async def send() -> None:
            with suppress(trio.BrokenResourceError):
                await discovery.send_all(OK_HEAD % (2 * MAX_BODY_BYTES) + b"x" * (MAX_BODY_BYTES + 1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            with pytest.raises(ResponseTooLargeError) as caught:
                await connection.fetch(None, 2000.0)
        assert caught.value.received_bytes > MAX_BODY_BYTES

    with_discovery(use)


def test_bytes_that_follow_a_response_are_an_error() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(OK_HEAD % 2 + b"[]HTTP/1.1 200 OK\r\n")
        assert (await connection.fetch(None, 2000.0)).body == b"[]"
        with pytest.raises(UnsolicitedResponseError) as caught:
            connection.finish_call()
        assert caught.value.data == b"HTTP/1.1 200 OK\r\n"

    with_discovery(use)


def test_a_port_on_which_nobody_listens_is_a_refusal() -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    with pytest.raises(ConnectRefusedError):
        trio.run(DiscoveryConnection.open, address)
