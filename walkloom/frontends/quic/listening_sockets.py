"""The sockets on which the frontend receives: several on one address, so that senders do not share a queue.

The kernel assigns each client address to one of the sockets (SO_REUSEPORT). A sender that fills the queue of
its socket loses its own datagrams and those of the few clients on the same socket, not those of all others.
"""

from __future__ import annotations

import socket

import trio

from walkloom.transport.address import SocketAddress


async def open_listening_sockets(address: SocketAddress, count: int) -> list[trio.socket.SocketType]:
    """Return sockets that are bound to one address; raises OSError where it cannot be bound.

    address: host and port; port 0: chosen by the system. count: 1 or more.
    """
    if count == 1:
        return [await _open_socket(address, shares_port=False)]
    # Without SO_REUSEPORT, so that a port that another program uses is an error.
    probe = await _open_socket(address, shares_port=False)
    bound_address: SocketAddress = probe.getsockname()
    probe.close()
    sockets: list[trio.socket.SocketType] = []
    try:
        for _ in range(count):
            sockets.append(await _open_socket(bound_address, shares_port=True))
    except OSError:
        close_all(sockets)
        raise
    return sockets


def close_all(sockets: list[trio.socket.SocketType]) -> None:
    """Close all sockets."""
    for sock in sockets:
        sock.close()


async def _open_socket(address: SocketAddress, shares_port: bool) -> trio.socket.SocketType:
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    try:
        if shares_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        await sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
