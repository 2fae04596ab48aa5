"""Infers from the traffic alone when a connection has ended; no I/O apart from reading the clock.

The packets that close a connection are encrypted (RFC 9001), so the balancer cannot recognize them.
"""

from __future__ import annotations

import math

import trio

# A connection without a packet in either direction for this duration counts as closed.
IDLE_TIMEOUT_S = 60.0

# A server counts as lost when it has sent nothing for this duration ...
SERVER_SILENCE_TIMEOUT_S = 5.0

# ... although at least this many packets were forwarded to it. A few packets need no answer, for example
# those that carry only acknowledgements.
MIN_UNANSWERED_PACKETS = 3


class ActivityMonitor:
    """Records when packets of one connection arrived, and how many the server has not answered."""

    def __init__(self) -> None:
        """Start monitoring; the start of the connection counts as activity."""
        # In seconds of trio's clock.
        self._last_activity_at = trio.current_time()
        self._unanswered_packets = 0
        # Arrival time of the oldest unanswered packet, in seconds of trio's clock; inf if there is none.
        self._unanswered_since = math.inf

    def record_client_datagram(self) -> None:
        """Record that a datagram arrived from the client."""
        self._last_activity_at = trio.current_time()

    def record_forwarded_datagram(self) -> None:
        """Record that the latest client datagram is being forwarded to the server."""
        self._unanswered_packets += 1
        self._unanswered_since = min(self._unanswered_since, self._last_activity_at)

    def record_server_datagram(self) -> None:
        """Record that a datagram arrived from the server; it answers all packets forwarded so far."""
        self._last_activity_at = trio.current_time()
        self._unanswered_packets = 0
        self._unanswered_since = math.inf

    def is_server_silent(self, now: float) -> bool:
        """Return whether the server has left enough packets unanswered for the silence timeout.

        now: in seconds of trio's clock.
        """
        has_enough_packets = self._unanswered_packets >= MIN_UNANSWERED_PACKETS
        return has_enough_packets and now - self._unanswered_since > SERVER_SILENCE_TIMEOUT_S

    def is_idle(self, now: float) -> bool:
        """Return whether neither side has sent a packet for the idle timeout.

        now: in seconds of trio's clock.
        """
        return now - self._last_activity_at > IDLE_TIMEOUT_S
