"""Measures the message latency of each endpoint and summarizes it at regular intervals.

The line protocol carries no latency, so it is measured: from forwarding a line to the endpoint until the next
line comes back. No I/O; the engine calls `summarize` once per REPORT_INTERVAL_S.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from walkloom.engine.load_signal import slow_threshold_ms
from walkloom.engine.request_handle import RequestHandle
from walkloom.messages import EndpointId

# Length of an interval; tile servers report their latency at the same rate (see load_signal).
REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class EndpointLatency:
    """The message latency of one endpoint over one interval."""

    # An established connection to the endpoint; the signal to the policy carries its request id.
    handle: RequestHandle

    # Median over all connections, ms.
    latency_ms: float

    # Number of latencies in the median.
    sample_count: int


class LatencyMonitor:
    """Collects message latencies and reports endpoints that are slow or have just recovered."""

    def __init__(self, latency_objective_ms: float) -> None:
        """Create a monitor without samples.

        latency_objective_ms: the shortest of all request classes; inf if none is set.
        """
        self._slow_threshold_ms = slow_threshold_ms(latency_objective_ms)
        # Latencies of the current interval, ms.
        self._samples: dict[EndpointId, list[float]] = {}
        # The endpoints that were slow in the last interval in which they had samples.
        self._slow: set[EndpointId] = set()

    def record(self, endpoint_id: EndpointId, latency_ms: float) -> None:
        """Add one measured latency to the current interval."""
        self._samples.setdefault(endpoint_id, []).append(latency_ms)

    def summarize(self, handles: Iterable[RequestHandle]) -> list[EndpointLatency]:
        """End the current interval and return the latencies that the policy needs.

        The result covers every slow endpoint, and once more each endpoint that was slow and has recovered.

        handles: all open requests; an endpoint without an established connection is left out.
        """
        samples = self._samples
        self._samples = {}
        handle_by_endpoint: dict[EndpointId, RequestHandle] = {}
        for handle in handles:
            if not handle.is_established:
                continue
            handle_by_endpoint[handle.endpoint_id] = handle
            # An endpoint that hangs returns no lines, so without this it would have no samples at all.
            pending_ms = handle.oldest_pending_line_ms()
            if pending_ms > self._slow_threshold_ms:
                samples.setdefault(handle.endpoint_id, []).append(pending_ms)
        # Drops endpoints without a connection; otherwise the set would grow with every endpoint restart.
        self._slow &= handle_by_endpoint.keys()
        summary = []
        for endpoint_id, latencies in samples.items():
            if endpoint_id not in handle_by_endpoint:
                continue
            latency_ms = median(latencies)
            if self._update_slow(endpoint_id, latency_ms):
                handle = handle_by_endpoint[endpoint_id]
                summary.append(EndpointLatency(handle, latency_ms, len(latencies)))
        return summary

    def _update_slow(self, endpoint_id: EndpointId, latency_ms: float) -> bool:
        """Record whether the endpoint is slow; return whether it is slow now or was before."""
        was_slow = endpoint_id in self._slow
        is_slow = latency_ms > self._slow_threshold_ms
        if is_slow:
            self._slow.add(endpoint_id)
        else:
            self._slow.discard(endpoint_id)
        return is_slow or was_slow
