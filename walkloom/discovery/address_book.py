"""Addresses of the endpoints on the current endpoint list."""

from __future__ import annotations

from walkloom.messages import EndpointId, EndpointListUpdate, Lifecycle, UpdateKind
from walkloom.transport.address import SocketAddress


class AddressBook:
    """The address at which each endpoint accepts connections."""

    def __init__(self) -> None:
        self._addresses: dict[EndpointId, SocketAddress] = {}

    def lookup(self, endpoint_id: EndpointId) -> SocketAddress | None:
        """Return an endpoint's address; None if the endpoint is not on the list."""
        return self._addresses.get(endpoint_id)

    def apply(self, update: EndpointListUpdate, addresses: dict[EndpointId, SocketAddress]) -> None:
        """Apply an update: an incremental update is merged, any other replaces all addresses."""
        if update.kind is UpdateKind.INCREMENTAL:
            self._merge(update, addresses)
        else:
            self._addresses = dict(addresses)

    def _merge(self, update: EndpointListUpdate, addresses: dict[EndpointId, SocketAddress]) -> None:
        # If an endpoint has several entries, the last one applies.
        lifecycles = {endpoint.id: endpoint.lifecycle for endpoint in update.endpoints}
        self._addresses |= addresses
        for endpoint_id, lifecycle in lifecycles.items():
            if lifecycle is Lifecycle.REMOVED:
                self._addresses.pop(endpoint_id, None)
