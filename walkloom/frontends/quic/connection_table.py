"""Finds the connection of a packet by its connection id, and limits how many connections there are."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from walkloom.frontends.quic.packet import PacketHeader
from walkloom.transport.address import SocketAddress

# Ids under which one connection is found. A server may give new ids without end; this bounds their memory.
MAX_IDS_PER_CONNECTION = 8


class PacketReceiver(Protocol):
    """What the table holds: a connection, as far as the frontend needs it.

    It stands here so that neither the connection nor the frontend has to import the other.
    """

    async def receive(self, header: PacketHeader, datagram: bytes, client_address: SocketAddress) -> None:
        """Take one datagram from the client; header: of its first packet."""


class ConnectionTable:
    """The connections of one frontend.

    Iteration gives the connection ids that are known.
    """

    def __init__(self, max_connections: int) -> None:
        """Begin empty; max_connections: how many may be open at one time."""
        self._max_connections = max_connections
        self._open_count = 0
        self._connections: dict[bytes, PacketReceiver] = {}

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._connections)

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return self._open_count >= self._max_connections

    def reserve(self) -> None:
        """Count a connection that is being opened."""
        self._open_count += 1

    def release(self) -> None:
        """Count a connection out that has ended."""
        self._open_count -= 1

    def find(self, connection_id: bytes) -> PacketReceiver | None:
        """Return the connection that is known under an id."""
        return self._connections.get(connection_id)

    def add(self, connection_id: bytes, connection: PacketReceiver) -> None:
        """Find this connection under the id from now on."""
        self._connections[connection_id] = connection

    def remove(self, connection_id: bytes) -> None:
        """Find no connection under the id any more; an unknown id is ignored."""
        self._connections.pop(connection_id, None)


class ConnectionIds:
    """The ids under which the table finds one connection."""

    def __init__(self, table: ConnectionTable, connection: PacketReceiver) -> None:
        """Begin with no id."""
        self._table = table
        self._connection = connection
        self._ids: list[bytes] = []

    def learn(self, connection_id: bytes) -> None:
        """Enter one more id; empty or known ids, and those over the limit, are ignored."""
        if not connection_id or connection_id in self._ids:
            return
        if len(self._ids) < MAX_IDS_PER_CONNECTION:
            self._ids.append(connection_id)
            self._table.add(connection_id, self._connection)

    def remove_all(self) -> None:
        """Take all ids out of the table, as the connection has ended."""
        for connection_id in self._ids:
            self._table.remove(connection_id)
