"""Free ports on a loopback address of this run."""

from __future__ import annotations

import random
import socket

# Outgoing connections come from 127.0.0.1, so their ports never meet those that are listened on here.
HOST = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}.{random.randint(1, 250)}"

# Ports that were handed out before; their users may not listen yet.
_taken: set[int] = set()


def free_port() -> int:
    """Return a TCP port of HOST that is free, another one each time; raises OSError if there is none."""
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = int(sock.getsockname()[1])
        if port not in _taken:
            _taken.add(port)
            return port
