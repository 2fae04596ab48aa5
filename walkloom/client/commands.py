"""Commands of the core for its driver; `ClientCore.poll` returns them in the order of execution."""

from __future__ import annotations

from typing import NamedTuple

from walkloom.client.session import Session


class Connect(NamedTuple):
    """Open a connection, then call `connection_made` or `connect_failed`.

    The driver needs no timeout: the core sends `Disconnect` at the deadline.
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
    """Close the connection, or stop opening it, and report no further events of it.

    flush: write the remaining bytes first.
    """

    session: Session
    connection_id: int
    flush: bool = False


class Notify(NamedTuple):
    """Wake the tasks that wait for this session: to be established, to receive, or to send."""

    session: Session


Command = Connect | Write | Disconnect | Notify
