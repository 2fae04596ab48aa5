"""The sockets of one connection to its server: one for each address that the client has had."""

from __future__ import annotations

from collections.abc import ItemsView

import trio

from walkloom.transport.address import SocketAddress

# Each holds a descriptor; this bounds how many one client can use up by changing its address.
MAX_PATHS = 4


class ServerPaths:
    """Sockets by the client's address, oldest first.

    A socket for each address lets the server see that the client has migrated, so that it validates the new
    path itself (RFC 9000, sections 8.2 and 9).
    """

    def __init__(self) -> None:
        """Begin without a path."""
        self._sockets: dict[SocketAddress, trio.socket.SocketType] = {}

    def __contains__(self, client_address: SocketAddress) -> bool:
        return client_address in self._sockets

    def items(self) -> ItemsView[SocketAddress, trio.socket.SocketType]:
        """Return all client addresses with their sockets."""
        return self._sockets.items()

    def find(self, client_address: SocketAddress) -> trio.socket.SocketType | None:
        """Return the socket for an address of the client."""
        return self._sockets.get(client_address)

    def oldest(self) -> trio.socket.SocketType | None:
        """Return the oldest socket."""
        return next(iter(self._sockets.values()), None)

    async def open(
        self, client_address: SocketAddress, server_address: SocketAddress
    ) -> trio.socket.SocketType:
        """Return a new socket to the server for an address of the client; raises OSError."""
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        # Before the wait below, so that `close_all` also finds a socket whose connect is cancelled.
        self._sockets[client_address] = sock
        await sock.connect(server_address)
        return sock

    def make_room(self) -> None:
        """Close the oldest socket where there are as many as may be."""
        if len(self._sockets) >= MAX_PATHS:
            oldest_address = next(iter(self._sockets))
            self._sockets.pop(oldest_address).close()

    def close_all(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()
