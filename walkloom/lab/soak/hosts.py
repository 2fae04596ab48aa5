"""Loopback addresses of a run: its listeners have a host of their own, so that runs do not collide."""

from __future__ import annotations

import secrets
from itertools import count

# Below the ports that the system gives to connections.
FIRST_PORT = 20_000


class LoopbackHost:
    """A loopback address that hardly any other run on this machine has, and its ports."""

    def __init__(self) -> None:
        self.address = (
            f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}.{secrets.randbelow(250) + 1}"
        )
        self._ports = count(FIRST_PORT)

    def next_port(self) -> int:
        """Return a port that this run has not used."""
        return next(self._ports)
