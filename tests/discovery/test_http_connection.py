"""Calls over one connection to discovery, and the errors that invalid responses raise."""

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
    """Run `use` with a connection and the stream at discovery's end of it."""

    async def main() -> None:
        client_socket, discovery_socket = trio.socket.socketpair()
        connection = DiscoveryConnection(trio.SocketStream(client_socket), ("discovery", 8500))
        try:
            await use(connection, trio.SocketStream(discovery_socket))
        finally:
            await connection.close()
            discovery_socket.close()

    trio.run(main)


def test_a_call_sends_the_generation_and_its_hold_time() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(OK_HEAD % 2 + b"[]")
        assert (await connection.fetch(7, 2000.0)).body == b"[]"
        request = bytes(await discovery.receive_some())
        assert (
            request == b"GET /registry/instances?index=7&wait=2000 HTTP/1.1\r\nHost: discovery:8500\r\n\r\n"
        )

    with_discovery(use)


def test_a_call_for_the_complete_list_has_no_query_and_the_connection_is_reused() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        for body in (b"[1]", b"[2]"):
            assert connection.is_reusable
            await discovery.send_all(OK_HEAD % 3 + body)
            assert (await connection.fetch(None, 2000.0)).body == body
            connection.finish_call()
            assert (await discovery.receive_some()).startswith(b"GET /registry/instances HTTP/1.1\r\n")

    with_discovery(use)


def test_a_connection_is_not_reusable_after_a_response_that_closes_it() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n[]")
        assert (await connection.fetch(None, 2000.0)).body == b"[]"
        connection.finish_call()
        assert not connection.is_reusable

    with_discovery(use)


def test_a_status_other_than_200_is_an_error_with_that_status() -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
        with pytest.raises(ResponseStatusError, match="status 503") as caught:
            await connection.fetch(None, 2000.0)
        assert caught.value.status_code == 503

    with_discovery(use)


@pytest.mark.parametrize("response", [b"", OK_HEAD % 9 + b"[1,"])
def test_an_incomplete_response_is_a_protocol_error(response: bytes) -> None:
    async def use(connection: DiscoveryConnection, discovery: trio.SocketStream) -> None:
        await discovery.send_all(response)
        await discovery.send_eof()
        with pytest.raises(h11.RemoteProtocolError):
            await connection.fetch(None, 2000.0)

    with_discovery(use)


def test_a_body_that_exceeds_the_limit_is_an_error() -> None:
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


def test_a_port_without_a_listener_refuses_the_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as unused:
        address = unused.getsockname()
    with pytest.raises(ConnectRefusedError):
        trio.run(DiscoveryConnection.open, address)
