"""Loopback addresses of a run: its listeners have a host of their own, so that runs do not collide."""

from __future__ import annotations

import secrets
import socket


def draw_host() -> str:
    """Return a loopback address that hardly any other run on this machine has.

    Ports on it are taken by listeners alone: connections come from 127.0.0.1.
    """
    return f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}.{secrets.randbelow(250) + 1}"


def free_port(host: str) -> int:
    """Return a port of the host on which nobody listens now."""
    with socket.create_server((host, 0)) as free:
        return int(free.getsockname()[1])
