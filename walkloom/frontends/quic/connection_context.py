"""What all connections of one frontend share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from walkloom.engine.engine import Engine
from walkloom.frontends.quic.connection_table import ConnectionTable
from walkloom.frontends.quic.drop_counters import DropCounters
from walkloom.frontends.quic.settings import QuicEndpoint
from walkloom.transport.address import SocketAddress


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """The parts of a frontend that its connections use."""

    engine: Engine

    # The servers by the name that discovery has for them.
    endpoints: Mapping[str, QuicEndpoint]

    # Of the ids that the servers give, in octets.
    connection_id_length: int

    table: ConnectionTable

    drop_counters: DropCounters

    # Sends a datagram to a client from the port that clients know; raises OSError.
    send_to_client: Callable[[bytes, SocketAddress], Awaitable[None]]
