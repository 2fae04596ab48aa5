"""Loopback addresses: the listeners of a run have their own host, so that parallel runs do not collide."""

from __future__ import annotations

import secrets
from itertools import count

# Below the range of ephemeral ports.
FIRST_PORT = 20_000


class LoopbackHost:
    """A random loopback address, which is unlikely to be used by another run, and its ports."""

    def __init__(self) -> None:
        self.address = (
            f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}.{secrets.randbelow(250) + 1}"
        )
        self._ports = count(FIRST_PORT)

    def next_port(self) -> int:
        """Return a port that this run has not used yet."""
        return next(self._ports)
