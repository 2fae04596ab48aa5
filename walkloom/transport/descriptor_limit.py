"""Divides the process's descriptors among client connections, upstream connections and load reports.

When descriptors run short, it chooses the idle client connection to close.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from walkloom.transport.rate_limited_log import RateLimitedLog

# For the standard streams, the listener, the connection to discovery, the event loop, and a few connections
# that are being closed.
RESERVED_DESCRIPTORS = 16

# Load report connections may hold one in this many descriptors.
DESCRIPTORS_PER_LOAD_REPORT_CONNECTION = 8


class DescriptorLimit:
    """Limits the number of descriptors that all connections hold together.

    Without this limit, clients that open connections and send nothing could take every descriptor. None would
    be left for upstream connections, load reports and the call to discovery.
    """

    def __init__(self, descriptors: int) -> None:
        """Divide the descriptors; descriptors: the number that this process may hold."""
        self.load_report_connections = descriptors // DESCRIPTORS_PER_LOAD_REPORT_CONNECTION
        self._available = descriptors - self.load_report_connections - RESERVED_DESCRIPTORS

        # Client connections without a request, longest idle first; the values are unused.
        self._reclaimable: dict[trio.CancelScope, None] = {}
        self._closed_log = RateLimitedLog("idle_connections_closed")

    @contextmanager
    def acquire(self) -> Iterator[bool]:
        """Hold one descriptor for the duration of the block.

        Yields False if no descriptor is left and no idle connection could be closed to free one.
        """
        self._available -= 1
        try:
            yield self._available >= 0 or self.reclaim_oldest()
        finally:
            self._available += 1

    @contextmanager
    def reclaimable(self, scope: trio.CancelScope) -> Iterator[None]:
        """Mark a client connection as idle for the duration of the block.

        An idle connection waits for its request line or has received its answer. Its scope is cancelled when
        another connection needs the descriptor.
        """
        self._reclaimable[scope] = None
        try:
            yield
        finally:
            self._reclaimable.pop(scope, None)

    def reclaim_oldest(self) -> bool:
        """Close the client connection that has been idle longest; return False if there is none."""
        scope = next(iter(self._reclaimable), None)
        if scope is None:
            return False
        # Removed here, not when its task ends, so that two callers in one tick cannot both count on the same
        # descriptor.
        del self._reclaimable[scope]
        scope.cancel()
        self._closed_log.count(f"idle {len(self._reclaimable)}")
        return True
