"""Identifiers: opaque, hashable values that the policy returns unchanged.

They are aliases of `Hashable` because each frontend chooses the actual type (a name, a number, the bytes of
an address). None means that there is no such endpoint, request, client or group.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import TypeAlias

# An endpoint of the list; stays the same when the endpoint restarts.
EndpointId: TypeAlias = Hashable

# A request, unique at one balancer from its arrival to its end.
RequestId: TypeAlias = Hashable

# A client, the same for all its requests.
ClientKey: TypeAlias = Hashable

# Connections that share work when they are placed on the same endpoint.
AffinityGroup: TypeAlias = Hashable
