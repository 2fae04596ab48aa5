"""The objects that all connections of one frontend share."""

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
    """The parts of a frontend that its connections use; one instance per frontend."""

    engine: Engine

    # The servers by their endpoint id, as in discovery.
    endpoints: Mapping[str, QuicEndpoint]

    # Length of the connection ids that the servers issue, in octets.
    connection_id_length: int

    connection_table: ConnectionTable

    drop_counters: DropCounters

    # Sends a datagram to a client from the frontend's listening port; raises OSError.
    send_to_client: Callable[[bytes, SocketAddress], Awaitable[None]]
