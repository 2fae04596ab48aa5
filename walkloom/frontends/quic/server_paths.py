"""The sockets of one connection to its server: one for each address that the client has used."""

from __future__ import annotations

from collections.abc import ItemsView

import trio

from walkloom.transport.address import SocketAddress

# Each path holds a descriptor; the limit bounds how many one client can occupy by changing its address.
MAX_PATHS = 4


class ServerPaths:
    """Sockets to the server by client address, oldest first.

    With one socket for each client address, the server sees that the client has migrated, and validates the
    new path itself (RFC 9000, sections 8.2 and 9).
    """

    def __init__(self) -> None:
        """Begin without a path."""
        self._sockets: dict[SocketAddress, trio.socket.SocketType] = {}

    def __contains__(self, client_address: SocketAddress) -> bool:
        return client_address in self._sockets

    def items(self) -> ItemsView[SocketAddress, trio.socket.SocketType]:
        """Return a view of all client addresses with their sockets."""
        return self._sockets.items()

    def find(self, client_address: SocketAddress) -> trio.socket.SocketType | None:
        """Return the socket for a client address; None if there is none."""
        return self._sockets.get(client_address)

    def oldest(self) -> trio.socket.SocketType | None:
        """Return the oldest socket; None if there is none."""
        return next(iter(self._sockets.values()), None)

    async def open(
        self, client_address: SocketAddress, server_address: SocketAddress
    ) -> trio.socket.SocketType:
        """Open and return a socket to the server for a client address; raises OSError."""
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        # Stored before the await below, so that `close_all` also closes a socket whose connect is cancelled.
        self._sockets[client_address] = sock
        await sock.connect(server_address)
        return sock

    def close_oldest_if_full(self) -> None:
        """Close the oldest socket if the maximum number of paths is open."""
        if len(self._sockets) >= MAX_PATHS:
            oldest_address = next(iter(self._sockets))
            self._sockets.pop(oldest_address).close()

    def close_all(self) -> None:
        """Close all sockets."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()
