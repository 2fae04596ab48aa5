"""Descriptors: what client and upstream connections may hold together, and which client gives way first."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from walkloom.transport.rate_limited_log import RateLimitedLog

OWN = 16  # standard streams, listener, watch, the event loop's, and a few on the way to being closed
PROBE_PART = 8  # probes' part of all is one in so many


class DescriptorLimit:
    """Guards attempts, probes and the watch against clients that use up the descriptors they need."""

    def __init__(self, sockets: int) -> None:
        self.load_report_connections = sockets // PROBE_PART
        self._room = sockets - self.load_report_connections - OWN
        # client connections that hold no RPC, the longest so first
        self._reclaimable: dict[trio.CancelScope, None] = {}
        self._reclaimed = RateLimitedLog("channel-shed")

    @contextmanager
    def acquire(self) -> Iterator[bool]:
        """One more descriptor; False where there is room for none although all reclaimable ones gave way."""
        self._room -= 1
        try:
            yield self._room >= 0 or self.reclaim_oldest()
        finally:
            self._room += 1

    @contextmanager
    def reclaimable(self, scope: trio.CancelScope) -> Iterator[None]:
        """A client connection that waits for its request line, or has its answer.

        Its scope ends if others need its descriptor.
        """
        self._reclaimable[scope] = None
        try:
            yield
        finally:
            self._reclaimable.pop(scope, None)

    def reclaim_oldest(self) -> bool:
        """Ends the client connection that has been spare for longest, if there is one."""
        if scope := next(iter(self._reclaimable), None):
            del self._reclaimable[scope]
            scope.cancel()
            self._reclaimed.count(f"spare {len(self._reclaimable)}")
        return scope is not None
