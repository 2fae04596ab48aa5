"""The objects that the stages of one connection (handshake, relay, rejection) share."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.engine.engine import RequestHandle
from walkloom.frontends.quic.activity import ActivityMonitor
from walkloom.frontends.quic.connection_admission import ConnectionSlot
from walkloom.frontends.quic.connection_context import ConnectionContext
from walkloom.frontends.quic.connection_table import ConnectionIds
from walkloom.frontends.quic.server_paths import ServerPaths


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """The parts of one connection that exist for its whole lifetime."""

    context: ConnectionContext

    # The connection's request at the engine.
    handle: RequestHandle

    slot: ConnectionSlot

    connection_ids: ConnectionIds

    paths: ServerPaths

    activity: ActivityMonitor
