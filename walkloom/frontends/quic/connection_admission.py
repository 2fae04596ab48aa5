"""Decides whether another connection may be opened, so that one sender cannot take all places.

Anyone can open connections with datagrams that nobody ever continues, also under a forged address. A
connection is confirmed once its client has sent something after the server's first answer. Until then its
place may be given to another one, whose client sends its packet a second time, as a real client does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import trio

from walkloom.frontends.quic.drop_counters import DropReason
from walkloom.transport.address import SocketAddress

# One address may hold this many unconfirmed connections, or this share of all places, if that is more.
MIN_UNCONFIRMED_PER_ADDRESS = 8
UNCONFIRMED_SHARE_PER_ADDRESS = 0.125

# One address may hold this share of all places.
SHARE_PER_ADDRESS = 0.5

# Refused packets that are remembered, which bounds the memory; the oldest are forgotten first.
MAX_REFUSED = 20_000

# A handshake that is younger keeps its place: its client had no time yet to answer the server.
MIN_HANDSHAKE_S = 0.25


class ConnectionSlot:
    """The place of one open connection.

    Public attributes:

    - scope: cancelled when the place is given to another connection.
    - release: called right after that; frees what the connection holds, so that the other one can have it.
    - is_confirmed: whether the client has answered the server.
    """

    def __init__(self, admission: ConnectionAdmission, address: SocketAddress) -> None:
        """Create the slot; `ConnectionAdmission.open` does that."""
        self._admission = admission
        self.address = address
        self.opened_at = trio.current_time()
        self.scope = trio.CancelScope()
        self.release: Callable[[], None] = _release_nothing
        self.is_confirmed = False

    def confirm(self) -> None:
        """Record that the client has sent something after the server's first answer."""
        self._admission.confirm(self)

    def close(self) -> None:
        """Give the place back; a second call has no effect."""
        self._admission.close(self)


class ConnectionAdmission:
    """Counts the open connections, in all and for each address of a client."""

    def __init__(self, max_connections: int) -> None:
        """Begin without a connection; max_connections: how many may be open at a time."""
        self._max_connections = max_connections
        self._max_per_address = max(int(max_connections * SHARE_PER_ADDRESS), MIN_UNCONFIRMED_PER_ADDRESS)
        self._max_unconfirmed = max(
            int(max_connections * UNCONFIRMED_SHARE_PER_ADDRESS), MIN_UNCONFIRMED_PER_ADDRESS
        )
        self._open: set[ConnectionSlot] = set()
        self._open_by_address: Counter[SocketAddress] = Counter()
        # Those that are not confirmed, oldest first; the values are unused.
        self._unconfirmed: dict[ConnectionSlot, None] = {}
        self._unconfirmed_by_address: Counter[SocketAddress] = Counter()
        # Address and connection id of packets that found no place, oldest first; the values are unused.
        self._refused: dict[tuple[SocketAddress, bytes], None] = {}

    def open(self, address: SocketAddress, connection_id: bytes) -> ConnectionSlot | DropReason:
        """Return a place for the connection of a packet, or why there is none.

        If no place is left, a packet that comes for the second time gets that of an unconfirmed connection,
        which is cancelled.
        """
        has_many = self._open_by_address[address] >= self._max_per_address
        if has_many or self._unconfirmed_by_address[address] >= self._max_unconfirmed:
            return DropReason.ADDRESS_LIMIT
        if len(self._open) >= self._max_connections:
            is_second = self._is_refused_again((address, connection_id))
            if not is_second or not self._evict():
                return DropReason.TABLE_FULL
        slot = ConnectionSlot(self, address)
        self._open.add(slot)
        self._open_by_address[address] += 1
        self._unconfirmed[slot] = None
        self._unconfirmed_by_address[address] += 1
        return slot

    def confirm(self, slot: ConnectionSlot) -> None:
        """Record that a connection is confirmed."""
        if slot in self._unconfirmed:
            slot.is_confirmed = True
            self._remove_unconfirmed(slot)

    def close(self, slot: ConnectionSlot) -> None:
        """Free the place of a connection; a second call has no effect."""
        if slot not in self._open:
            return
        self._open.discard(slot)
        _decrement(self._open_by_address, slot.address)
        if slot in self._unconfirmed:
            self._remove_unconfirmed(slot)

    def _is_refused_again(self, key: tuple[SocketAddress, bytes]) -> bool:
        """Remember a packet that finds no place; return whether it was remembered before."""
        if key in self._refused:
            return True
        self._refused[key] = None
        if len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        return False

    def _evict(self) -> bool:
        """Cancel the oldest unconfirmed connection and free its place; return False if it is too young."""
        oldest = next(iter(self._unconfirmed), None)
        if oldest is None:
            return False
        is_alone = self._unconfirmed_by_address[oldest.address] == 1
        if is_alone and trio.current_time() - oldest.opened_at < MIN_HANDSHAKE_S:
            return False
        oldest.scope.cancel()
        oldest.release()
        self.close(oldest)
        return True

    def _remove_unconfirmed(self, slot: ConnectionSlot) -> None:
        del self._unconfirmed[slot]
        _decrement(self._unconfirmed_by_address, slot.address)


def _release_nothing() -> None:
    """Free nothing: the release of a slot whose connection does not exist yet."""


def _decrement(counter: Counter[SocketAddress], address: SocketAddress) -> None:
    """Subtract one, and remove the address at zero, so that past addresses take no memory."""
    counter[address] -= 1
    if not counter[address]:
        del counter[address]
