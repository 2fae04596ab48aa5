"""The state shared by the modules of the policy: clock, endpoints, requests, actions of the current event."""

from __future__ import annotations

from math import exp
from random import Random
from typing import NamedTuple

from walkloom.messages import Action, Settings, StartTimer
from walkloom.state.endpoint import EndpointState
from walkloom.state.endpoint_table import EndpointTable
from walkloom.state.executed_requests import ExecutedRequests
from walkloom.state.list_lease import ListLease
from walkloom.state.load_estimator import LoadEstimator
from walkloom.state.recent_groups import RecentGroups
from walkloom.state.request import RequestState
from walkloom.state.request_table import RequestTable
from walkloom.state.timers import TimerToken

NO_OBJECTIVE_MS = 1e12  # used where no class has a latency objective for messages


class LocalSample(NamedTuple):
    """How many endpoints of a sample of local ones are overloaded, and how many answer in time."""

    overloaded: int
    responsive: int


class BalancerState:
    """The state of one balancer; it takes no decisions.

    A comment names the module of the policy that writes the fields below it.
    """

    def __init__(self, settings: Settings, random: Random, loads: LoadEstimator) -> None:
        self.settings = settings
        self.random = random
        self.now = 0.0  # time of the current event, ms
        self.actions: list[Action] = []  # caused by the current event, in order
        self.endpoints = EndpointTable(settings)
        self.requests = RequestTable(settings.request_classes)
        self.loads = loads
        self.load = 0.0  # sum for all connections of this balancer, as multiples of the mean load
        self.recent_requests = 0.0  # with the newest one, decaying over the overload window
        self.last_request_at = 0.0
        self._recent_groups = RecentGroups(settings.cold_overload_window_ms)

        # dispatch
        self.executed_requests = ExecutedRequests()
        self.max_attempts = settings.max_attempts
        self.is_hold_timer_running = False
        # list_lease, endpoint_watch
        self.list_lease = ListLease()
        # migration
        self.is_drain_timer_running = False
        # slow_start
        self.next_sample_at = 0.0
        self.is_majority_overloaded = False  # of the local endpoints

        # This balancer's connections per capacity weight on a sample of warm local endpoints.
        self.connections_per_weight = 0.0
        # The load that a connection adds to an endpoint of capacity weight 1; 0: not known.
        self.connection_cost = 0.0

        # Average number of balancers in a zone, at least 1.
        self.balancers_per_zone = max(settings.balancer_count / max(settings.zone_count, 1), 1.0)
        self.uses_load_reports = (
            settings.load_reports_available
            and settings.load_report_load_index >= 0
            and not settings.server_reports_latency
        )
        objectives = [item.message_latency_objective_ms for item in settings.request_classes]
        self.message_objective_ms = min(filter(None, objectives), default=NO_OBJECTIVE_MS)

    def count_request(self, request: RequestState) -> None:
        """Count a new request; `recent_requests` shows bursts, `group_requests` those of one group."""
        elapsed_ms = max(self.now - self.last_request_at, 0.0)
        decay = exp(-elapsed_ms / self.settings.cold_overload_window_ms)
        self.recent_requests = self.recent_requests * decay + 1
        self.last_request_at = self.now
        if request.affinity_group is not None:
            request.group_requests = self._recent_groups.count(request.affinity_group, self.now)

    def start_timer(self, fires_at: float, token: TimerToken) -> None:
        """Request a TimerFired event at `fires_at` (absolute ms)."""
        self.actions.append(StartTimer(fires_at, token))

    def capacity_share(self, endpoint: EndpointState) -> float:
        """Return the minimum share of its capacity that an endpoint has; rises linearly in its slow start."""
        min_share = self.settings.slow_start_min_capacity
        progress = 1.0
        if endpoint.started_at > 0 and self.settings.slow_start_ms:
            progress = max(self.now - endpoint.started_at, 0.0) / self.settings.slow_start_ms
        return min(min_share + (1 - min_share) * progress, 1.0)

    def zone_share(self, endpoint: EndpointState, local_share: float) -> float:
        """Return the share of an endpoint that belongs to the balancers of this zone.

        local_share: their share of an endpoint in this zone.
        """
        other_zones = self.settings.zone_count - 1
        if other_zones < 1:
            return 1.0
        is_local = endpoint.zone == self.settings.local_zone
        return local_share if is_local else (1 - local_share) / other_zones

    def sample_local(self, size: int, slow_window_ms: float, recovery_ms: float) -> LocalSample:
        """Sample local endpoints, and record the connections per weight of the warm ones.

        Args:
            size: maximum number of endpoints in the sample.
            slow_window_ms: how long a slow message counts.
            recovery_ms: an endpoint that was overloaded within this time does not show how many connections
                it can hold.
        """
        endpoints = self.endpoints.cached_tier.local.endpoints
        sample = self.random.sample(endpoints, min(len(endpoints), size))
        recovered = [item for item in sample if item.overloaded_at <= self.now - recovery_ms]
        if warm := [endpoint for endpoint in recovered if self.capacity_share(endpoint) >= 1.0]:
            weight = sum(endpoint.capacity_weight for endpoint in warm)
            self.connections_per_weight = sum(endpoint.connections for endpoint in warm) / weight
        return LocalSample(
            overloaded=sum(self.now - item.overloaded_at < slow_window_ms for item in sample),
            responsive=sum(self.now - item.slow_message_at >= slow_window_ms for item in sample),
        )

    def record_report(
        self, endpoint: EndpointState, report: tuple[float, ...], min_connections: float, smoothing: float
    ) -> None:
        """Record a load report; it is empty if the endpoint was never polled before.

        Args:
            endpoint: the endpoint that sent the report.
            report: the fields of the report.
            min_connections: the load per connection is derived only from endpoints with more connections.
            smoothing: weight of this report in the mean load per connection.
        """
        load = _report_field(report, self.settings.load_report_load_index)
        connections = _report_field(report, self.settings.load_report_connections_index)
        endpoint.reported_at = self.now
        endpoint.reported_load = load
        if load and connections > min_connections:
            endpoint.connection_cost = load / connections
            cost = endpoint.connection_cost * endpoint.capacity_weight
            self.connection_cost += smoothing * (cost - self.connection_cost)

    def estimate_connection_cost(self, quota_load: float) -> None:
        """Estimate the load per connection until load reports show it.

        quota_load: the share of the capacity that all quotas together use.
        """
        if not self.connection_cost and self.settings.connection_quota:
            weight = sum(endpoint.capacity_weight for endpoint in self.endpoints.by_id.values())
            self.connection_cost = quota_load * weight / self.settings.connection_quota

    def assign(self, request: RequestState, endpoint: EndpointState) -> None:
        """Count the attempt or connection of a request at an endpoint."""
        request.endpoint = endpoint
        request.load = self.loads.expected_load(request.request)
        endpoint.add_connection(request.load, request.affinity_group)
        self.load += request.load

    def release(self, request: RequestState, endpoint: EndpointState) -> None:
        """Stop counting the attempt or connection of a request at an endpoint."""
        request.endpoint = None
        self.load -= request.load
        endpoint.remove_connection(request.load, request.affinity_group)

    def record_load(self, request: RequestState, endpoint: EndpointState, reported: float) -> None:
        """Record the reported load of a connection, ms of work per second."""
        load = self.loads.record(request.request, reported)
        endpoint.load = endpoint.load + load - request.load
        self.load = self.load + load - request.load
        request.load = load


def _report_field(report: tuple[float, ...], index: int) -> float:
    return report[index] if 0 <= index < len(report) else 0.0
