"""Identifiers: opaque, hashable, and handed back as they came.

Each frontend chooses the type behind them (a name, a number, the bytes of an address), so that they are
aliases of `Hashable` and not types of their own. None stands for "there is none".
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import TypeAlias

# A server of the list, the same over its restarts.
EndpointId: TypeAlias = Hashable

# A client's try, unique at one balancer from its arrival to its end.
RequestId: TypeAlias = Hashable

# A client, the same over all its requests.
ClientKey: TypeAlias = Hashable

# Connections that share work at a server when they are placed on the same one.
AffinityGroup: TypeAlias = Hashable
