"""Distinguishes the two signals that tile servers send as `LOAD X` on an open connection.

X is normally the connection's load, in microseconds of work per second, sent whenever it changes. A slow
server uses the same form for its message latency, in milliseconds. It sends the latency once a second on one
connection of each balancer while it is over a third of the shortest latency objective, and once more when it
is back below. Observed on the platform, see docs/fleet.md.
"""

from __future__ import annotations

from typing import NamedTuple

from walkloom.engine.errors import LoadSignalError
from walkloom.messages import EndpointId, SignalKind

# A larger value is always a load. As a load this is 0.4 % of a core, so misreading a smaller load as a
# latency loses little.
MAX_LATENCY_MS = 4000.0

# A larger value is an error: this is the work of a thousand cores.
MAX_LOAD_US_PER_S = 1e9

# Interval at which a slow server reports its latency.
LATENCY_INTERVAL_MS = 1000.0

# Allowed deviation from that interval, because the balancer itself may read the reports late.
LATENCY_INTERVAL_TOLERANCE_MS = 100.0

# A server reports itself as slow above the latency objective divided by this.
SLOW_DIVISOR = 3

# Stands for "never" on the engine's clock.
NEVER_MS = -1e12


class LoadSignal(NamedTuple):
    """One classified value that an endpoint reported."""

    # LOAD or MESSAGE_DELAY.
    kind: SignalKind

    # Microseconds of work per second for LOAD, milliseconds for MESSAGE_DELAY.
    value: float


def slow_threshold_ms(latency_objective_ms: float) -> float:
    """Return the message latency above which an endpoint is slow, ms; inf without an objective."""
    return latency_objective_ms / SLOW_DIVISOR


class LoadSignalClassifier:
    """Recognizes runs of latency reports among the loads of each endpoint.

    A run is a series of reports that are one LATENCY_INTERVAL_MS apart. Memory is bounded by the number of
    endpoints that report a latency.
    """

    def __init__(self, latency_objective_ms: float) -> None:
        """Create a classifier without any recorded signal.

        latency_objective_ms: the shortest message latency objective of all request classes; inf if none is
        set.
        """
        self._latency_objective_ms = latency_objective_ms
        self._slow_threshold_ms = slow_threshold_ms(latency_objective_ms)
        # Time of the last latency report of each endpoint that is in a run, ms.
        self._last_latency_at: dict[EndpointId, float] = {}

    def classify(self, endpoint_id: EndpointId, value: float, now: float) -> LoadSignal:
        """Classify a reported value as a load or a message latency.

        The first latency of a run is capped at the latency objective: it might be the load of a connection
        that became idle, and no client should be migrated because of that.

        endpoint_id: the endpoint that sent the value. value: X of `LOAD X`. now: the engine's clock, ms.

        Raises LoadSignalError if the value is out of range.
        """
        # One nan would corrupt the policy's mean of all loads, and with it every later placement.
        if not 0.0 <= value <= MAX_LOAD_US_PER_S:
            raise LoadSignalError(value)
        load = LoadSignal(SignalKind.LOAD, value)
        if value > MAX_LATENCY_MS:
            return load
        since_last_ms = now - self._last_latency_at.get(endpoint_id, NEVER_MS)
        continues_run = abs(since_last_ms - LATENCY_INTERVAL_MS) <= LATENCY_INTERVAL_TOLERANCE_MS
        if value > self._slow_threshold_ms:
            if continues_run:
                self._last_latency_at[endpoint_id] = now
                return LoadSignal(SignalKind.MESSAGE_DELAY, value)
            if since_last_ms > LATENCY_INTERVAL_MS:
                self._last_latency_at[endpoint_id] = now
                return LoadSignal(SignalKind.MESSAGE_DELAY, min(value, self._latency_objective_ms))
            # Between two latencies of a run, so this is the load of another, idle connection.
            return load
        if continues_run:
            # Back below the threshold, so this is the last report of the run.
            del self._last_latency_at[endpoint_id]
            return LoadSignal(SignalKind.MESSAGE_DELAY, value)
        return load
