"""Infers from the traffic alone when a connection has ended; no I/O apart from reading the clock.

The packets that close a connection are encrypted (RFC 9001), so the balancer cannot recognize them.
"""

from __future__ import annotations

import math

import trio

# A connection without a datagram in either direction for this duration counts as closed.
IDLE_TIMEOUT_S = 60.0

# The same for a connection whose client has not answered the server: clients do that at once.
UNCONFIRMED_IDLE_TIMEOUT_S = 5.0

# A server counts as lost when it has sent nothing for this duration ...
SERVER_SILENCE_TIMEOUT_S = 5.0

# ... although at least this many datagrams were forwarded to it. A few may need no answer, for example those
# whose packets carry only acknowledgements.
MIN_UNANSWERED_DATAGRAMS = 3


class ActivityMonitor:
    """Records when datagrams of one connection arrived, and how many the server has not answered."""

    def __init__(self) -> None:
        """Start monitoring; the start of the connection counts as activity."""
        # In seconds of trio's clock.
        self._last_activity_at = trio.current_time()
        self._unanswered_datagrams = 0
        # Arrival time of the oldest unanswered datagram, in seconds of trio's clock; inf if there is none.
        self._unanswered_since = math.inf
        # Whether the server has sent anything.
        self.has_server_answered = False

    def record_client_datagram(self) -> None:
        """Record that a datagram arrived from the client."""
        self._last_activity_at = trio.current_time()

    def record_forwarded_datagram(self) -> None:
        """Record that the latest client datagram is being forwarded to the server."""
        self._unanswered_datagrams += 1
        self._unanswered_since = min(self._unanswered_since, self._last_activity_at)

    def record_server_datagram(self) -> None:
        """Record that a datagram arrived from the server; it answers all datagrams forwarded so far."""
        self._last_activity_at = trio.current_time()
        self._unanswered_datagrams = 0
        self._unanswered_since = math.inf
        self.has_server_answered = True

    def is_server_silent(self, now: float) -> bool:
        """Return whether the server counts as lost.

        That is the case when at least MIN_UNANSWERED_DATAGRAMS are unanswered, the oldest of them for longer
        than SERVER_SILENCE_TIMEOUT_S.

        now: in seconds of trio's clock.
        """
        has_enough_datagrams = self._unanswered_datagrams >= MIN_UNANSWERED_DATAGRAMS
        return has_enough_datagrams and now - self._unanswered_since > SERVER_SILENCE_TIMEOUT_S

    def is_idle(self, now: float, is_confirmed: bool) -> bool:
        """Return whether no datagram has arrived from either side for the idle timeout.

        now: in seconds of trio's clock. is_confirmed: whether the client has answered the server.
        """
        timeout_s = IDLE_TIMEOUT_S if is_confirmed else UNCONFIRMED_IDLE_TIMEOUT_S
        return now - self._last_activity_at > timeout_s
