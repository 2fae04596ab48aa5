"""Rule 4: what this balancer may send to an endpoint that is still warming up."""

from walkloom.state import BalancerState, EndpointState

LOCAL_BUDGET_SHARE = 0.7  # of an endpoint's cold budget, for the balancers of its own zone
REQUEST_SKEW = 4.0  # a balancer may get so many times the mean of requests
POOL_SAMPLE = 12  # endpoints that one look at a pool covers, which bounds the work in a large fleet
SAMPLE_INTERVAL_MS = 1000.0  # between two looks at what the local endpoints carry
SLOW_MESSAGE_MS = 2500.0  # a slow message, reported once a second, counts for so long
BACK_OFF_MS = 1000.0  # an endpoint that was at capacity or overloaded is not what it usually is for so long
USABLE_LOAD = 0.65  # of its capacity: an endpoint that would get over it is passed over
MIN_WANTED = 1e-9  # keeps a division defined


def has_capacity(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether it may be sent one more attempt: it is not paused, and warm or within its budget."""
    is_warm = state.capacity_share(endpoint) >= 1.0 or not state.settings.cold_overload_factor
    if state.now < endpoint.paused_until or is_warm:
        return state.now >= endpoint.paused_until
    elapsed_ms = state.now - max(endpoint.cold_budget_drawn_at, endpoint.started_at)
    if endpoint.cold_budget <= 0 or elapsed_ms >= state.settings.cold_overload_window_ms:
        endpoint.cold_budget = int(_budget(state, endpoint, elapsed_ms) + state.random.random())
        endpoint.cold_budget_drawn_at = state.now
    return endpoint.cold_budget > 0


def _budget(state: BalancerState, endpoint: EndpointState, elapsed_ms: float) -> float:
    """This balancer's part of what an endpoint stands from all of them, saved for one window at most."""
    settings = state.settings
    demand = settings.cold_overload_factor * state.capacity_share(endpoint) * carried(state)
    rate = demand * endpoint.capacity_weight / settings.slow_start_ms
    rate = max(rate, 1 / settings.balancer_count / settings.cold_overload_window_ms)
    saved_ms = min(elapsed_ms, settings.cold_overload_window_ms)
    budget = state.zone_share(endpoint, LOCAL_BUDGET_SHARE) * rate * saved_ms
    if state.uses_load_reports:
        # departure: where reports bound a burst too, it is shared by those that may want it
        wanted = max(REQUEST_SKEW * state.recent_requests, MIN_WANTED)
        shared = budget * len(state.endpoints.cached_tier.local.endpoints) / wanted
        budget = max(budget, min(shared, 1.0))
    return budget


def carried(state: BalancerState) -> float:
    """Own connections per capacity weight that warm endpoints carry, or could where that is known."""
    if state.now >= state.next_sample_at:
        state.next_sample_at = state.now + SAMPLE_INTERVAL_MS
        sample = state.sample_local(POOL_SAMPLE, SLOW_MESSAGE_MS, BACK_OFF_MS)
        # where loads are polled, a free endpoint is known to be free
        state.is_majority_overloaded = (
            sample.overloaded > 2 * sample.responsive and not state.uses_load_reports
        )
    if not (state.uses_load_reports and state.connection_cost):
        return max(state.connections_per_weight, 0.0)
    # cold endpoints must not stay idle where the warm ones have lost what they carried
    return max(state.connections_per_weight, USABLE_LOAD / (state.connection_cost * state.balancers_per_zone))
