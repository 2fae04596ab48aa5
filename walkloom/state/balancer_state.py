"""All that the parts of the policy share: the clock, what is known, and the actions of the event at hand."""

from __future__ import annotations

from math import exp
from random import Random
from typing import NamedTuple

from walkloom.messages import Action, Settings, StartTimer
from walkloom.state.endpoint import EndpointState
from walkloom.state.endpoint_table import EndpointTable
from walkloom.state.list_lease import ListLease
from walkloom.state.load_estimator import LoadEstimator
from walkloom.state.request import RequestState
from walkloom.state.request_table import RequestTable
from walkloom.state.timers import TimerToken

NO_OBJECTIVE_MS = 1e12  # where no class has a latency objective for messages


class LocalSample(NamedTuple):
    """How many of some local endpoints are overloaded, and how many are quick."""

    overloaded: int
    quick: int


class BalancerState:
    """One balancer. It decides nothing; the module of the policy that writes a field is named beside it."""

    def __init__(self, settings: Settings, random: Random, loads: LoadEstimator) -> None:
        self.settings = settings
        self.random = random
        self.now = 0.0  # time of the event at hand, ms
        self.actions: list[Action] = []  # the answer to it, in order
        self.endpoints = EndpointTable(settings)
        self.requests = RequestTable(settings.request_classes)
        self.loads = loads
        self.load = 0.0  # of all connections that this balancer holds, in mean loads
        self.recent_requests = 0.0  # within an overload window before the newest
        self.last_request_at = 0.0

        # dispatch
        self.max_attempts = settings.max_attempts
        self.is_hold_timer_running = False
        # list_lease, endpoint_watch
        self.list_lease = ListLease()
        # migration
        self.is_drain_timer_running = False
        # slow_start
        self.next_sample_at = 0.0
        self.are_most_overloaded = False  # of the local endpoints

        # Own connections per capacity weight that warm local endpoints were seen to carry.
        self.carried = 0.0
        # What a connection adds to the load of an endpoint of weight 1; 0: not known.
        self.connection_cost = 0.0

        # Balancers that use the same endpoints.
        self.balancers_per_zone = max(settings.balancer_count / max(settings.zone_count, 1), 1.0)
        self.uses_load_reports = (
            settings.load_reports_available
            and settings.load_report_load_index >= 0
            and not settings.server_reports_latency
        )
        objectives = [item.message_latency_objective_ms for item in settings.request_classes]
        self.message_objective_ms = min(filter(None, objectives), default=NO_OBJECTIVE_MS)

    def count_request(self) -> None:
        """Count a new request; the number of recent ones shows a burst."""
        elapsed_ms = max(self.now - self.last_request_at, 0.0)
        decay = exp(-elapsed_ms / self.settings.cold_overload_window_ms)
        self.recent_requests = (self.recent_requests + 1) * decay
        self.last_request_at = self.now

    def start_timer(self, fires_at: float, token: TimerToken) -> None:
        """Have the event of a timer at a time (ms)."""
        self.actions.append(StartTimer(fires_at, token))

    def capacity_share(self, endpoint: EndpointState) -> float:
        """The least share of its capacity that an endpoint has now: rises evenly through its slow start."""
        least = self.settings.slow_start_min_capacity
        warmed = 1.0
        if endpoint.started_at > 0 and self.settings.slow_start_ms:
            warmed = max(self.now - endpoint.started_at, 0.0) / self.settings.slow_start_ms
        return min(least + (1 - least) * warmed, 1.0)

    def zone_share(self, endpoint: EndpointState, local_share: float) -> float:
        """The part of an endpoint that the balancers of this zone have; local_share: of a local one."""
        other_zones = self.settings.zone_count - 1
        if other_zones < 1:
            return 1.0
        is_local = endpoint.zone == self.settings.local_zone
        return local_share if is_local else (1 - local_share) / other_zones

    def sample_local(self, size: int, slow_ms: float, settling_ms: float) -> LocalSample:
        """Look at some local endpoints, and note what the warm ones among them carry.

        slow_ms: so long a slow message counts. settling_ms: one overloaded so recently does not show what it
        carries.
        """
        endpoints = self.endpoints.last_tier.local.endpoints
        sample = self.random.sample(endpoints, min(len(endpoints), size))
        settled = [item for item in sample if item.overloaded_at <= self.now - settling_ms]
        if warm := [endpoint for endpoint in settled if self.capacity_share(endpoint) >= 1.0]:
            weight = sum(endpoint.capacity_weight for endpoint in warm)
            self.carried = sum(endpoint.connections for endpoint in warm) / weight
        return LocalSample(
            overloaded=sum(self.now - item.overloaded_at < slow_ms for item in sample),
            quick=sum(self.now - item.slow_message_at >= slow_ms for item in sample),
        )

    def record_report(
        self, endpoint: EndpointState, report: tuple[float, ...], min_connections: float, smoothing: float
    ) -> None:
        """Take in a load report; an empty one comes from an endpoint that was never asked before.

        min_connections: an endpoint that holds no more does not show what a connection adds. smoothing:
        weight of this report in the mean of that.
        """
        load = _field(report, self.settings.load_report_load_index)
        connections = _field(report, self.settings.load_report_connections_index)
        endpoint.reported_at = self.now
        endpoint.reported_load = load
        if load and connections > min_connections:
            endpoint.connection_cost = load / connections
            cost = endpoint.connection_cost * endpoint.capacity_weight
            self.connection_cost += smoothing * (cost - self.connection_cost)

    def estimate_connection_cost(self, quota_load: float) -> None:
        """Until load reports tell it: all quotas together ask for so much of the capacity (quota_load)."""
        if not self.connection_cost and self.settings.connection_quota:
            weight = sum(endpoint.capacity_weight for endpoint in self.endpoints.by_id.values())
            self.connection_cost = quota_load * weight / self.settings.connection_quota

    def assign(self, request: RequestState, endpoint: EndpointState) -> None:
        """Count a request's attempt or connection at an endpoint."""
        request.endpoint = endpoint
        request.load = self.loads.load_of(request.request)
        endpoint.add_connection(request.load, request.affinity_group)
        self.load += request.load

    def release(self, request: RequestState, endpoint: EndpointState) -> None:
        """Count it no longer."""
        request.endpoint = None
        self.load -= request.load
        endpoint.remove_connection(request.load, request.affinity_group)

    def record_load(self, request: RequestState, endpoint: EndpointState, reported: float) -> None:
        """Take in the load that was reported of a connection, ms of work a second."""
        load = self.loads.record(request.request, reported)
        endpoint.load = endpoint.load + load - request.load
        self.load = self.load + load - request.load
        request.load = load


def _field(report: tuple[float, ...], index: int) -> float:
    return report[index] if 0 <= index < len(report) else 0.0
