"""The load that an endpoint would have with a request, from its load reports and what was placed since."""

from walkloom.policy.slow_start import SLOW_MESSAGE_MS, USABLE_LOAD
from walkloom.state import BalancerState, Endpoints, EndpointState, RequestState

REPORT_MAX_AGE_MS = 3000.0  # an older load report is not believed
REPORT_LAG_MS = 400.0  # a load report may lag so far behind what was placed
CLASS_LOAD_SMOOTHING = 0.05  # weight of a reported load in the mean of its class
MEAN_LOAD_WINDOW = 100  # reported loads over which their mean is taken
MAX_KNOWN_CLIENTS = 20_000  # whose loads are remembered, which bounds the memory
FRESH_REPORT_MS = 300.0  # an endpoint that was polled so recently is not polled again
POLL_WAIT_MS = 60.0  # a request waits so long for load reports
NEW_GROUP_LOAD = 3.0  # what a group costs an endpoint that does not hold it yet, in mean loads
COST_SMOOTHING = 0.1  # weight of the newest report in what a connection adds
MIN_CONNECTIONS_FOR_COST = 4.0  # an endpoint with fewer does not show what a connection adds


def projected_load(state: BalancerState, request: RequestState, endpoint: EndpointState) -> float:
    """Load over capacity with this request: as reported, and what was placed since."""
    cost = endpoint.connection_cost or state.connection_cost / endpoint.capacity_weight
    group = request.affinity_group
    is_new_group = group is not None and group not in endpoint.connections_by_group
    added = (
        state.loads.expected_load(request.request) + NEW_GROUP_LOAD / state.balancers_per_zone * is_new_group
    )
    if not state.uses_load_reports or state.now - endpoint.reported_at > REPORT_MAX_AGE_MS:
        return (endpoint.load * state.uses_load_reports + added) * cost
    since = endpoint.reported_at - REPORT_LAG_MS
    # what this balancer placed unseen, all balancers of the zone did
    unseen = state.balancers_per_zone * sum(load for at, load in endpoint.recent_placements if at > since)
    return endpoint.reported_load + (unseen + added) * cost


def responsive(state: BalancerState, endpoints: Endpoints) -> Endpoints:
    """Those that answered a poll recently, as the silent may be gone; all of them where none did."""
    max_age_ms = FRESH_REPORT_MS + POLL_WAIT_MS
    return [item for item in endpoints if state.now - item.reported_at <= max_age_ms] or endpoints


def usable(state: BalancerState, request: RequestState, endpoints: Endpoints) -> Endpoints:
    """Those that answer polls and messages in time, and that the request would not fill."""
    slow_since = state.now - SLOW_MESSAGE_MS
    quick = [item for item in responsive(state, endpoints) if item.slow_message_at <= slow_since]
    return [endpoint for endpoint in quick if projected_load(state, request, endpoint) < USABLE_LOAD]
