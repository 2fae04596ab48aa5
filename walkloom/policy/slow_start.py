"""Rule 4: what this balancer may send to an endpoint that is still warming up."""

from walkloom.state import BalancerState, EndpointState

LOCAL_BUDGET_SHARE = 0.7  # of an endpoint's cold budget, for the balancers of its own zone
REQUEST_SKEW = 4.0  # one balancer may get this many times the mean number of requests
POOL_SAMPLE_SIZE = 12  # endpoints of a pool that are examined at once, which bounds the work in a large fleet
SAMPLE_INTERVAL_MS = 1000.0  # between two samples of the connections on local endpoints
SLOW_MESSAGE_WINDOW_MS = 2500.0  # for which a slow message counts; slow messages are reported once a second
RECOVERY_MS = 1000.0  # after it was at capacity or overloaded, an endpoint does not show its usual state
TARGET_LOAD = 0.65  # of an endpoint's capacity; one that would exceed it is used only if no other is left
MIN_EXPECTED_REQUESTS = 1e-9  # avoids a division by zero


def has_capacity(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether one more attempt may be sent: the endpoint is not paused, and is warm or within its budget."""
    is_warm = state.capacity_share(endpoint) >= 1.0 or not state.settings.cold_overload_factor
    if state.now < endpoint.paused_until or is_warm:
        return state.now >= endpoint.paused_until
    elapsed_ms = state.now - max(endpoint.cold_budget_drawn_at, endpoint.started_at)
    if endpoint.cold_budget <= 0 or elapsed_ms >= state.settings.cold_overload_window_ms:
        endpoint.cold_budget = int(_budget(state, endpoint, elapsed_ms) + state.random.random())
        endpoint.cold_budget_drawn_at = state.now
    return endpoint.cold_budget > 0


def _budget(state: BalancerState, endpoint: EndpointState, elapsed_ms: float) -> float:
    """Return this balancer's part of what an endpoint can take from all of them.

    Unused budget accumulates for one overload window at most.
    """
    settings = state.settings
    demand = (
        settings.cold_overload_factor * state.capacity_share(endpoint) * update_connections_per_weight(state)
    )
    rate = demand * endpoint.capacity_weight / settings.slow_start_ms
    rate = max(rate, 1 / settings.balancer_count / settings.cold_overload_window_ms)
    saved_ms = min(elapsed_ms, settings.cold_overload_window_ms)
    budget = state.zone_share(endpoint, LOCAL_BUDGET_SHARE) * rate * saved_ms
    if state.uses_load_reports:
        # deviates from the standard mechanism: where load reports limit a burst too, the budget is shared by
        # the requests that may need it
        expected_requests = max(REQUEST_SKEW * state.recent_requests, MIN_EXPECTED_REQUESTS)
        shared = budget * len(state.endpoints.cached_tier.local.endpoints) / expected_requests
        budget = max(budget, min(shared, 1.0))
    return budget


def update_connections_per_weight(state: BalancerState) -> float:
    """Return this balancer's connections per capacity weight on warm endpoints, after a new sample if due.

    Where the load per connection is known, it is at least the number that warm endpoints could hold.
    """
    if state.now >= state.next_sample_at:
        state.next_sample_at = state.now + SAMPLE_INTERVAL_MS
        sample = state.sample_local(POOL_SAMPLE_SIZE, SLOW_MESSAGE_WINDOW_MS, RECOVERY_MS)
        # load reports already show which endpoints are free
        state.is_majority_overloaded = (
            sample.overloaded > 2 * sample.responsive and not state.uses_load_reports
        )
    if not (state.uses_load_reports and state.connection_cost):
        return max(state.connections_per_weight, 0.0)
    # cold endpoints must not stay idle after the warm ones have lost their connections
    return max(state.connections_per_weight, TARGET_LOAD / (state.connection_cost * state.balancers_per_zone))
