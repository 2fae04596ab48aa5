"""Addresses of the endpoints on the list that is in force."""

from __future__ import annotations

from walkloom.messages import EndpointId, EndpointListUpdate, Lifecycle, UpdateKind
from walkloom.transport.address import SocketAddress


class AddressBook:
    """Where each endpoint accepts connections."""

    def __init__(self) -> None:
        self._addresses: dict[EndpointId, SocketAddress] = {}

    def lookup(self, endpoint_id: EndpointId) -> SocketAddress | None:
        """Return an endpoint's address; None if the list does not name the endpoint."""
        return self._addresses.get(endpoint_id)

    def apply(self, update: EndpointListUpdate, addresses: dict[EndpointId, SocketAddress]) -> None:
        """Take over an update: an incremental one merges, all others replace what was there."""
        if update.kind is UpdateKind.INCREMENTAL:
            self._merge(update, addresses)
        else:
            self._addresses = dict(addresses)

    def _merge(self, update: EndpointListUpdate, addresses: dict[EndpointId, SocketAddress]) -> None:
        # Of several entries of one endpoint the last holds.
        lifecycles = {endpoint.id: endpoint.lifecycle for endpoint in update.endpoints}
        self._addresses |= addresses
        for endpoint_id, lifecycle in lifecycles.items():
            if lifecycle is Lifecycle.REMOVED:
                self._addresses.pop(endpoint_id, None)
