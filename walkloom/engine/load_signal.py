"""Tells apart the two signals that tile servers send in one form, `LOAD X`, on an open connection.

X is the connection's load, in microseconds of work a second, sent whenever it changes. A slow server sends
in the same form the latency of a message, in milliseconds: once a second on one connection of each balancer
while that latency is over a third of the shortest latency objective, and once more when it is back below.
Observed on the platform, see docs/fleet.md.
"""

from __future__ import annotations

from typing import NamedTuple

from walkloom.engine.errors import LoadSignalError
from walkloom.messages import EndpointId, SignalKind

# A larger value is always a load. As a load this is 0.4 % of a core, so little is lost by taking a smaller
# one for a latency.
MAX_LATENCY_MS = 4000.0

# A larger value is an error: this is a thousand cores.
MAX_LOAD_US_PER_S = 1e9

# A slow server reports a latency once in this time.
LATENCY_INTERVAL_MS = 1000.0

# The interval between two reports varies by this much, as the balancer itself may be late in reading them.
LATENCY_INTERVAL_TOLERANCE_MS = 100.0

# Servers call themselves slow from this part (one in so many) of the latency objective.
SLOW_DIVISOR = 3

# "Never" as a time of the engine's clock.
LONG_AGO_MS = -1e12


class LoadSignal(NamedTuple):
    """What an endpoint reported."""

    # LOAD or MESSAGE_DELAY.
    kind: SignalKind

    # Microseconds of work a second for LOAD, milliseconds for MESSAGE_DELAY.
    value: float


def slow_threshold_ms(latency_objective_ms: float) -> float:
    """Return the message latency above which an endpoint is slow, ms; inf where there is no objective."""
    return latency_objective_ms / SLOW_DIVISOR


class LoadSignalClassifier:
    """Recognizes runs of latency reports among loads, for each endpoint.

    A run is a series of reports one LATENCY_INTERVAL_MS apart. Memory is bounded by the number of endpoints
    that report a latency.
    """

    def __init__(self, aim: float) -> None:
        """Create a classifier that has seen no signal.

        aim: the shortest message latency objective of all request classes, ms; inf where there is none.
        """
        self._latency_objective_ms = aim
        self._slow_threshold_ms = slow_threshold_ms(aim)
        # When each endpoint that is in a run last reported a latency, ms.
        self._last_latency_at: dict[EndpointId, float] = {}

    def classify(self, server: EndpointId, value: float, now: float) -> LoadSignal:
        """Return what a reported value is.

        The first latency of a run is lowered to the latency objective: it might be the load of a connection
        that fell idle, for which no client should be migrated.

        server: the endpoint that sent it. value: X of `LOAD X`. now: the engine's clock, ms.

        Raises LoadSignalError where the value is out of range.
        """
        # One nan would spoil the policy's mean of all loads, and with it every later placement.
        if not 0.0 <= value <= MAX_LOAD_US_PER_S:
            raise LoadSignalError(value)
        load = LoadSignal(SignalKind.LOAD, value)
        if value > MAX_LATENCY_MS:
            return load
        since_last_ms = now - self._last_latency_at.get(server, LONG_AGO_MS)
        continues_run = abs(since_last_ms - LATENCY_INTERVAL_MS) <= LATENCY_INTERVAL_TOLERANCE_MS
        if value > self._slow_threshold_ms:
            if continues_run:
                self._last_latency_at[server] = now
                return LoadSignal(SignalKind.MESSAGE_DELAY, value)
            if since_last_ms > LATENCY_INTERVAL_MS:
                self._last_latency_at[server] = now
                return LoadSignal(SignalKind.MESSAGE_DELAY, min(value, self._latency_objective_ms))
            # Between two latencies of a run: the load of another, idle connection.
            return load
        if continues_run:
            # Back below the threshold: the last report of its run.
            del self._last_latency_at[server]
            return LoadSignal(SignalKind.MESSAGE_DELAY, value)
        return load
