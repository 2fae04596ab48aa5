"""The descriptors of this process, shared by client connections, upstream connections and load reports.

It decides which idle client connection is closed when descriptors run short.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from walkloom.transport.rate_limited_log import RateLimitedLog

# Standard streams, listener, the connection to discovery, those of the event loop, and a few that are being
# closed.
RESERVED_DESCRIPTORS = 16

# Load report connections may hold one descriptor in so many.
DESCRIPTORS_PER_LOAD_REPORT_CONNECTION = 8


class DescriptorLimit:
    """How many descriptors connections may hold together.

    Without it, clients that open connections and send nothing could take every descriptor, and none would be
    left for upstream connections, load reports and the call to discovery.
    """

    def __init__(self, sockets: int) -> None:
        """sockets: the descriptors that this process may hold."""
        self.load_report_connections = sockets // DESCRIPTORS_PER_LOAD_REPORT_CONNECTION
        self._available = sockets - self.load_report_connections - RESERVED_DESCRIPTORS

        # Client connections that carry no request, the one idle for longest first; values are unused.
        self._reclaimable: dict[trio.CancelScope, None] = {}
        self._closed_log = RateLimitedLog("idle_connections_closed")

    @contextmanager
    def acquire(self) -> Iterator[bool]:
        """Hold one descriptor for the length of the block.

        Yields False if none is left and no idle connection could be closed for it.
        """
        self._available -= 1
        try:
            yield self._available >= 0 or self.reclaim_oldest()
        finally:
            self._available += 1

    @contextmanager
    def reclaimable(self, scope: trio.CancelScope) -> Iterator[None]:
        """Mark a client connection as idle for the length of the block.

        It waits for its request line, or has its answer. Its scope is cancelled if others need its
        descriptor.
        """
        self._reclaimable[scope] = None
        try:
            yield
        finally:
            self._reclaimable.pop(scope, None)

    def reclaim_oldest(self) -> bool:
        """Close the client connection that has been idle for longest; False if there is none."""
        scope = next(iter(self._reclaimable), None)
        if scope is None:
            return False
        # Here, not when its task ends: two callers in one tick must not count on the same descriptor.
        del self._reclaimable[scope]
        scope.cancel()
        self._closed_log.count(f"idle {len(self._reclaimable)}")
        return True
