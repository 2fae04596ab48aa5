"""The type of socket addresses throughout the program."""

from __future__ import annotations

from typing import TypeAlias

# Host (a name or an IP address without brackets) and TCP port.
SocketAddress: TypeAlias = tuple[str, int]
