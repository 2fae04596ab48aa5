"""Rule 4: what this balancer may send to an endpoint that is still warming up."""

from walkloom.state import BalancerState, EndpointState, RequestState

LOCAL_BUDGET_SHARE = 0.7  # of an endpoint's cold budget, for the balancers of its own zone
REQUEST_SKEW = 2.0  # one balancer may get this many times the mean number of requests
MAX_SAVED_SHARE = 0.25  # of a cold budget of several attempts; a balancer may always save up for one
MIN_BURST_SHARE = 0.5  # of the balancers, at which the clients of one group may come at the same time
POOL_SAMPLE_SIZE = 12  # endpoints of a pool that are examined at once, which bounds the work in a large fleet
SAMPLE_INTERVAL_MS = 1000.0  # between two samples of the connections on local endpoints
SLOW_MESSAGE_WINDOW_MS = 2500.0  # for which a slow message counts; slow messages are reported once a second
RECOVERY_MS = 1000.0  # after it was at capacity or overloaded, an endpoint does not show its usual state
TARGET_LOAD = 0.65  # of an endpoint's capacity; one that would exceed it is used only if no other is left


def is_cold(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether an endpoint fails under more than a multiple of its present capacity."""
    return state.capacity_share(endpoint) < 1.0 and state.settings.cold_overload_factor > 0


def has_capacity(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether one more attempt may be sent: the endpoint is not paused, and is warm or within its budget."""
    if state.now < endpoint.paused_until or not is_cold(state, endpoint):
        return state.now >= endpoint.paused_until
    elapsed_ms = state.now - max(endpoint.cold_budget_drawn_at, endpoint.started_at)
    if endpoint.cold_budget <= 0 or elapsed_ms >= state.settings.cold_overload_window_ms:
        endpoint.cold_budget = int(_budget(state, endpoint, elapsed_ms) + state.random.random())
        endpoint.cold_budget_drawn_at = state.now
    return endpoint.cold_budget > 0


def may_take(
    state: BalancerState, endpoint: EndpointState, request: RequestState, alternatives: float
) -> bool:
    """Whether this request may be sent: the endpoint has capacity, or other balancers leave their budget.

    alternatives: number of warm endpoints that could take the request as well.
    """
    if has_capacity(state, endpoint):
        return True
    if state.now < endpoint.paused_until:
        return False
    chance = _unused_budget_chance(state, endpoint, request, alternatives)
    if chance > 0 > request.cold_draw:
        # Drawn once: a request that is placed again must not get another chance.
        request.cold_draw = state.random.random()
    return 0 <= request.cold_draw < chance


def _budget(state: BalancerState, endpoint: EndpointState, elapsed_ms: float) -> float:
    """Return this balancer's part of what an endpoint can take from all of them.

    Unused budget accumulates up to one attempt or a part of a window, so that a burst gets little more.
    """
    window_ms = state.settings.cold_overload_window_ms
    connections = update_connections_per_weight(state) * endpoint.capacity_weight
    per_window = max(_limit(state, endpoint, connections), 1 / state.settings.balancer_count)
    per_window *= state.zone_share(endpoint, LOCAL_BUDGET_SHARE)
    saved = per_window * min(elapsed_ms / window_ms, 1.0)
    return min(saved, max(per_window * MAX_SAVED_SHARE, 1.0))


def _limit(state: BalancerState, endpoint: EndpointState, connections: float) -> float:
    """Return the attempts in a window that overload a cold endpoint; connections: what it holds when warm."""
    settings = state.settings
    demand = settings.cold_overload_factor * state.capacity_share(endpoint) * connections
    return demand * settings.cold_overload_window_ms / settings.slow_start_ms


def _unused_budget_chance(
    state: BalancerState, endpoint: EndpointState, request: RequestState, alternatives: float
) -> float:
    """Return the chance to use the budget of balancers that do not need theirs.

    Deviates from the standard mechanism: where load reports limit a burst too, the budget is shared by the
    requests that may need it.
    """
    if not state.uses_load_reports:
        return 0.0
    own = _budget(state, endpoint, state.settings.cold_overload_window_ms)
    if request.affinity_group is None:
        # as many requests as here may come to every balancer, and each goes to one of its choices
        shared = own * (1.0 + alternatives) / (REQUEST_SKEW * state.recent_requests)
    else:
        shared = _group_chance(state, endpoint) / request.group_requests
    return min(shared, 1.0) - own


def _group_chance(state: BalancerState, endpoint: EndpointState) -> float:
    """Return the share of a burst of one affinity group that a cold endpoint can take.

    All clients of a group prefer the same endpoint, at every balancer. A burst has about as many clients as
    the endpoint holds, or comes to a part of the balancers.
    """
    if not state.connection_cost:
        return 0.0
    connections = endpoint.capacity_weight / state.connection_cost
    balancers = state.balancers_per_zone
    burst = min(balancers, max(connections, balancers * MIN_BURST_SHARE))
    is_local = endpoint.zone == state.settings.local_zone
    zone_share = 1.0 if is_local else state.zone_share(endpoint, LOCAL_BUDGET_SHARE)
    return zone_share * _limit(state, endpoint, connections) / burst


def update_connections_per_weight(state: BalancerState) -> float:
    """Return this balancer's connections per capacity weight on warm endpoints, after a new sample if due.

    Where the load per connection is known, it is at least this balancer's part of what fills an endpoint.
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
    return max(state.connections_per_weight, 1.0 / (state.connection_cost * state.balancers_per_zone))
