"""Descriptors: what channels and their subchannels may hold together, and which channel gives way first."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from walkloom.transport.rate_limited_log import Tally

OWN = 16  # standard streams, listener, watch, the event loop's, and a few on the way to being closed
PROBE_PART = 8  # probes' part of all is one in so many


class Budget:
    """Guards attempts, probes and the watch against clients that use up the descriptors they need."""

    def __init__(self, sockets: int) -> None:
        self.probes = sockets // PROBE_PART
        self._room = sockets - self.probes - OWN
        self._spare: dict[trio.CancelScope, None] = {}  # channels that hold no RPC, the longest so first
        self._shed = Tally("channel-shed")

    @contextmanager
    def take(self) -> Iterator[bool]:
        """One more descriptor; False where there is room for none although all spare channels gave way."""
        self._room -= 1
        try:
            yield self._room >= 0 or self.shed()
        finally:
            self._room += 1

    @contextmanager
    def spare(self, scope: trio.CancelScope) -> Iterator[None]:
        """A channel that waits for its opening line, or has its answer: its scope ends if others need it."""
        self._spare[scope] = None
        try:
            yield
        finally:
            self._spare.pop(scope, None)

    def shed(self) -> bool:
        """Ends the channel that has been spare for longest, if there is one."""
        if scope := next(iter(self._spare), None):
            del self._spare[scope]
            scope.cancel()
            self._shed.count(f"spare {len(self._spare)}")
        return scope is not None
