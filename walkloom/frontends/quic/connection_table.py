"""Finds the connection of a packet by its connection id."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from walkloom.frontends.quic.packet import PacketHeader
from walkloom.transport.address import SocketAddress

# Connection ids in the table per connection. A server may issue new ids without limit; this bounds the memory
# that they take.
MAX_IDS_PER_CONNECTION = 8


class PacketReceiver(Protocol):
    """A connection in the table, as far as the frontend uses it.

    The protocol avoids a circular import between this module and `connection`.
    """

    async def receive(self, header: PacketHeader, datagram: bytes, client_address: SocketAddress) -> None:
        """Process one datagram from the client; header: the header of its first packet."""


class ConnectionTable:
    """The connections of one frontend.

    Iteration yields the registered connection ids, and `len` is their number.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._connections: dict[bytes, PacketReceiver] = {}

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._connections)

    def __len__(self) -> int:
        return len(self._connections)

    def find(self, connection_id: bytes) -> PacketReceiver | None:
        """Return the connection with this connection id; None if there is none."""
        return self._connections.get(connection_id)

    def add(self, connection_id: bytes, connection: PacketReceiver) -> None:
        """Map a connection id to a connection."""
        self._connections[connection_id] = connection

    def remove(self, connection_id: bytes, connection: PacketReceiver) -> None:
        """Remove a connection id; one that is unknown or now another connection's is ignored."""
        if self._connections.get(connection_id) is connection:
            del self._connections[connection_id]


class ConnectionIds:
    """The connection ids of one connection, registered in the table."""

    def __init__(self, table: ConnectionTable, connection: PacketReceiver) -> None:
        """Begin without a connection id."""
        self._table = table
        self._connection = connection
        self._ids: list[bytes] = []

    def register(self, connection_id: bytes) -> None:
        """Add an id to the table; an empty or registered id, or one over the limit, is ignored."""
        if not connection_id or connection_id in self._ids:
            return
        if len(self._ids) < MAX_IDS_PER_CONNECTION:
            self._ids.append(connection_id)
            self._table.add(connection_id, self._connection)

    def remove_all(self) -> None:
        """Remove all ids of the connection from the table; to be called when it has ended."""
        for connection_id in self._ids:
            self._table.remove(connection_id, self._connection)
