"""What the core asks of a driver, in the order in which `ClientCore.poll` returns it."""

from __future__ import annotations

from typing import NamedTuple

from walkloom.client.session import Session


class Connect(NamedTuple):
    """Open a connection, then call `connection_made` or `connect_failed`.

    A `Disconnect` ends it when its time is over.
    """

    session: Session
    connection_id: int
    address: tuple[str, int]


class Write(NamedTuple):
    """Write bytes to the connection."""

    session: Session
    connection_id: int
    data: bytes


class Disconnect(NamedTuple):
    """Close the connection, or give up opening it, and report nothing more of it.

    flush: write what is unwritten first.
    """

    session: Session
    connection_id: int
    flush: bool = False


class Notify(NamedTuple):
    """Wake whoever waits for this session: to be established, for a line, or for room to send."""

    session: Session


Command = Connect | Write | Disconnect | Notify
