"""Says from its traffic alone when a connection has ended; no I/O besides the clock.

The packets that close a connection are encrypted (RFC 9001), so that a balancer does not see them.
"""

from __future__ import annotations

import math

import trio

# A connection without any packet for so long counts as closed.
IDLE_TIMEOUT_S = 60.0

# A server counts as lost that has answered nothing for so long ...
SERVER_SILENCE_S = 5.0

# ... to at least so many packets: a few need no answer, as those that only acknowledge.
MIN_UNANSWERED_PACKETS = 3


class ActivityMonitor:
    """When packets of one connection came, and how many its server has not answered."""

    def __init__(self) -> None:
        """Count the connection's start as activity."""
        # Seconds of trio's clock.
        self._last_activity_at = trio.current_time()
        self._unanswered_packets = 0
        # When the oldest unanswered packet came; inf where there is none.
        self._unanswered_since = math.inf

    def record_client_datagram(self) -> None:
        """Note that the client sent something."""
        self._last_activity_at = trio.current_time()

    def record_forwarded(self) -> None:
        """Note that the latest datagram is being forwarded to the server."""
        self._unanswered_packets += 1
        self._unanswered_since = min(self._unanswered_since, self._last_activity_at)

    def record_server_datagram(self) -> None:
        """Note that the server sent something; it answers all that was forwarded so far."""
        self._last_activity_at = trio.current_time()
        self._unanswered_packets = 0
        self._unanswered_since = math.inf

    def is_server_silent(self, now: float) -> bool:
        """Return whether the server has left too much unanswered for too long."""
        has_enough_packets = self._unanswered_packets >= MIN_UNANSWERED_PACKETS
        return has_enough_packets and now - self._unanswered_since > SERVER_SILENCE_S

    def is_idle(self, now: float) -> bool:
        """Return whether neither side has sent anything for the idle timeout."""
        return now - self._last_activity_at > IDLE_TIMEOUT_S
