"""The projected load of an endpoint with a request, from load reports and the placements since then."""

from walkloom.policy import slow_start
from walkloom.policy.slow_start import SLOW_MESSAGE_WINDOW_MS, TARGET_LOAD
from walkloom.state import BalancerState, Endpoints, EndpointState, RequestState

REPORT_MAX_AGE_MS = 3000.0  # older load reports are ignored
REPORT_LAG_MS = 400.0  # a load report may not yet show placements of this time before it
CLASS_LOAD_SMOOTHING = 0.05  # weight of a reported load in the mean of its request class
MEAN_LOAD_WINDOW = 100  # number of reported loads in the mean load
MAX_KNOWN_CLIENTS = 20_000  # whose loads are remembered, which bounds the memory
FRESH_REPORT_MS = 300.0  # an endpoint that was polled or reported within this time is not polled again
MAX_POLL_WAIT_MS = 60.0  # for which a request waits for load reports
NEW_GROUP_LOAD = 3.0  # of a group at an endpoint that does not hold it yet, in multiples of the mean load
COST_SMOOTHING = 0.1  # weight of the newest report in the load per connection
MIN_CONNECTIONS_FOR_COST = 4.0  # with fewer, a report does not show the load per connection


def projected_load(state: BalancerState, request: RequestState, endpoint: EndpointState) -> float:
    """Return load divided by capacity with this request: the reported load plus the placements since."""
    cost = endpoint.connection_cost or state.connection_cost / endpoint.capacity_weight
    group = request.affinity_group
    is_new_group = group is not None and group not in endpoint.connections_by_group
    added = (
        state.loads.expected_load(request.request) + NEW_GROUP_LOAD / state.balancers_per_zone * is_new_group
    )
    if not state.uses_load_reports or state.now - endpoint.reported_at > REPORT_MAX_AGE_MS:
        return (endpoint.load * state.uses_load_reports + added) * cost
    since = endpoint.reported_at - REPORT_LAG_MS
    # every balancer of the zone is assumed to have placed as much as this one since the report
    unreported = state.balancers_per_zone * sum(
        load for placed_at, load in endpoint.recent_placements if placed_at > since
    )
    return endpoint.reported_load + (unreported + added) * cost


def responsive(state: BalancerState, endpoints: Endpoints) -> Endpoints:
    """Return the endpoints that answered a poll recently, as a silent one may be gone; all if none did."""
    max_age_ms = FRESH_REPORT_MS + MAX_POLL_WAIT_MS
    return [item for item in endpoints if state.now - item.reported_at <= max_age_ms] or endpoints


def usable(state: BalancerState, request: RequestState, endpoints: Endpoints) -> Endpoints:
    """Return endpoints that answer polls and messages in time and stay below the target load."""
    slow_since = state.now - SLOW_MESSAGE_WINDOW_MS
    quick = [item for item in responsive(state, endpoints) if item.slow_message_at <= slow_since]
    return [endpoint for endpoint in quick if projected_load(state, request, endpoint) < TARGET_LOAD]


def warm_alternatives(state: BalancerState, request: RequestState, endpoints: Endpoints) -> int:
    """Return how many warm endpoints are usable; 0 where none is cold, as no cold budget is needed there."""
    warm = [endpoint for endpoint in endpoints if not slow_start.is_cold(state, endpoint)]
    if len(warm) == len(endpoints) or not state.uses_load_reports:
        return 0
    return len(usable(state, request, [item for item in warm if slow_start.has_capacity(state, item)]))
