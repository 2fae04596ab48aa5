"""Tells apart the two notes that tile servers send in one form, `LOAD X`, among the lines of a connection.

X is a connection's load, in microseconds of work a second, whenever it changes. From a server that is slow
it is also what a message takes there, in milliseconds: once a second on one connection of each balancer while
that is over a third of the shortest aim, and once more when it is back under. Seen: docs/fleet.md.
"""

from __future__ import annotations

from walkloom.messages import EndpointId, SignalKind

DELAY_MOST = 4000.0  # ms; as a load it is 0.4 % of a core, so that little is lost by not counting it
LOAD_MOST = 1e9  # a thousand cores
EVERY_MS, EARLY_MS = 1000.0, 100.0  # from one delay of a row to the next, but for our own lateness


class LoadSignalClassifier:
    """What is known of the rows of delays, by server; bounded by the servers that tell any."""

    def __init__(self, aim: float) -> None:
        """aim: the shortest that a message on an open connection has, ms; inf where there is none."""
        self._latency_objective_ms = aim
        self._last: dict[EndpointId, float] = {}  # when each server that is in a row last told a delay

    def classify(self, server: EndpointId, value: float, now: float) -> tuple[SignalKind, float]:
        """What X means, and its value. The first delay of a row is told as the aim at most: it might be the
        load of a connection that fell idle, for which nobody should be moved. now: ms. Else ValueError."""
        if not 0.0 <= value <= LOAD_MOST:  # guards the module: one nan would spoil its means for good
            raise ValueError(f"no load: {value}")
        if value > DELAY_MOST:
            return SignalKind.LOAD, value
        since = now - self._last.get(server, -1e12)
        in_row = abs(since - EVERY_MS) <= EARLY_MS
        if value > self._latency_objective_ms / 3:
            if in_row or since > EVERY_MS:  # else an idle connection's load between two delays
                self._last[server] = now
                return SignalKind.MESSAGE_DELAY, value if in_row else min(value, self._latency_objective_ms)
        elif in_row:
            del self._last[server]
            return SignalKind.MESSAGE_DELAY, value
        return SignalKind.LOAD, value
