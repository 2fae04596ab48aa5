"""Which endpoint a request is sent to: tier (KEP-1669), zone, affinity group, the better of two draws."""

from random import Random

from walkloom.messages.settings import DeduplicationScope
from walkloom.policy import load_reports, slow_start
from walkloom.policy.migration import OVERLOAD_RECOVERY_MS
from walkloom.state.balancer_state import BalancerState
from walkloom.state.endpoint import NOT_DRAINING, EndpointState
from walkloom.state.endpoint_pool import Candidates, EndpointPool, Endpoints, Tier
from walkloom.state.request import RequestState

RAMP_MS = 3000.0  # in which a new endpoint reaches its full selection probability
RAMP_MIN_SHARE = 0.1  # of that probability, at the start
GROUP_RING_SIZE = 24  # endpoints that are ranked for an affinity group
PREFERRED_ENDPOINTS = 2  # that all balancers use for a group, in each zone; more for a large group
GROUP_SHARE_PRIOR = 12  # requests added to this balancer's own, as a few do not show that a group is large
MAX_GROUP_LOAD = 2.5  # an endpoint that holds the group is preferred up to this multiple of the mean load
HEAVY_CLIENT_LOAD = 2.0  # a client above this multiple of its class's mean load is heavy
PRIOR_CONNECTIONS = 4  # of mean load, added to this balancer's own where weights follow the load
CONNECTION_COUNT_LOAD = 0.01  # added for each connection: evens out their number where loads are equal
REMOTE_LOAD_MARGIN = 0.2  # by which an endpoint of another zone must have less load
MAX_SHARED_LOAD = 0.95  # nothing is placed on an endpoint above it if several balancers share it


def tier_for(state: BalancerState, request: RequestState) -> Tier:
    """Return the first tier with a usable endpoint: all ready endpoints, else the draining ones."""
    tier = state.endpoints.tier()
    if tier.size and request.may_have_run_on is None:
        return tier
    usable = [item for item in state.endpoints.by_id.values() if _is_usable(request, item)]
    ready = [endpoint for endpoint in usable if endpoint.drain_notified_at == NOT_DRAINING]
    draining = [endpoint for endpoint in usable if is_within_drain_grace(state, endpoint)]
    return Tier.split(ready or draining, state.settings.local_zone)


def is_within_drain_grace(state: BalancerState, endpoint: EndpointState) -> bool:
    """Whether an endpoint is not draining, or was notified as draining within the drain grace.

    Deviates from KEP-1669: rule 3 ends the draining tier with the grace, less what may delay the notice and a
    send.
    """
    margin_ms = 2 * (state.settings.tick_ms + state.settings.max_stall_ms)
    grace_started_after = state.now - state.settings.drain_grace_ms + margin_ms
    return endpoint.drain_notified_at == NOT_DRAINING or endpoint.drain_notified_at > grace_started_after


def _is_usable(request: RequestState, endpoint: EndpointState) -> bool:
    """Whether the endpoint is neither ejected nor removed, and a repeat of the request is safe there.

    Rule 2: after an attempt that may have run, only endpoints that deduplicate the request are usable.
    """
    if endpoint.is_ejected or not endpoint.lifecycle:
        return False
    previous = request.may_have_run_on
    if previous and request.request_class.deduplication_scope is DeduplicationScope.ZONE:
        return endpoint.zone == previous.zone
    return previous is None or endpoint.cell == previous.cell


def candidates(
    state: BalancerState, request: RequestState, pool: EndpointPool, include_attempted: bool
) -> Candidates:
    """Return the few endpoints of a pool that the request may use: those of its group, else a sample.

    include_attempted: also return the endpoints to which attempts were sent.
    """
    chosen = pool.endpoints
    if request.affinity_group is not None:
        chosen = _group_endpoints(state, request, pool)
    elif len(chosen) > slow_start.POOL_SAMPLE_SIZE:  # always the same sample: load reports are polled for it
        request.sample_seed = request.sample_seed or state.random.random()
        chosen = Random(request.sample_seed).sample(chosen, slow_start.POOL_SAMPLE_SIZE)
    allowed = [
        endpoint for endpoint in chosen if include_attempted or endpoint.id not in request.attempted_endpoints
    ]
    alternatives = load_reports.warm_alternatives(state, request, allowed) * len(pool.endpoints) / len(chosen)
    available = [item for item in allowed if slow_start.may_take(state, item, request, alternatives)]
    return Candidates(pool, chosen[0], available)


def _group_endpoints(state: BalancerState, request: RequestState, pool: EndpointPool) -> Endpoints:
    """Return the endpoints that all balancers use for the request's group: few, more for a large group.

    Deviates from the standard mechanism: a group adds load to each endpoint that holds any of it.
    """
    group = request.affinity_group
    ranked = pool.ranked_for(group, GROUP_RING_SIZE)
    if state.balancers_per_zone < 2:
        return ranked
    held = sum(endpoint.connections_by_group.get(group, 0) for endpoint in ranked)
    share = held / (len(state.requests.by_id) + GROUP_SHARE_PRIOR)
    return ranked[: PREFERRED_ENDPOINTS + int(len(pool.endpoints) * share)]


def select(state: BalancerState, request: RequestState, tier: Tier) -> EndpointState | None:
    """Return the endpoint for the request; None: it has to wait. Endpoints with slow messages come last."""
    include_attempted = len(request.attempted_endpoints) >= tier.size
    sampled: list[Candidates] = []
    for pool in tier:
        if pool.endpoints:
            sampled.append(candidates(state, request, pool, include_attempted))
            usable = load_reports.usable(state, request, sampled[-1].available)
            if preferred := _preferred(state, request, sampled[-1], usable):
                return _draw(state, preferred)
    available = [endpoint for found in sampled for endpoint in found.available]
    if state.uses_load_reports and available:
        return _least_loaded(state, request, load_reports.responsive(state, available))
    for found in sampled:
        if preferred := _preferred(state, request, found, found.available):
            return _draw(state, preferred)
    return None


def _least_loaded(state: BalancerState, request: RequestState, endpoints: Endpoints) -> EndpointState | None:
    """Return an endpoint with about the least load; None if all are full and shared with other balancers."""
    loads = {item: load_reports.projected_load(state, request, item) for item in endpoints}
    for endpoint in endpoints:
        loads[endpoint] += REMOTE_LOAD_MARGIN * (endpoint.zone != state.settings.local_zone)
    min_load = min(loads.values())
    best = [endpoint for endpoint in endpoints if loads[endpoint] <= min_load + REMOTE_LOAD_MARGIN / 2]
    return state.random.choice(best) if state.balancers_per_zone <= 1 or min_load <= MAX_SHARED_LOAD else None


def _preferred(
    state: BalancerState, request: RequestState, found: Candidates, endpoints: Endpoints
) -> Endpoints:
    """Return the endpoints that hold the request's group, unless too loaded; else those that may take it."""
    group = request.affinity_group
    limit = MAX_GROUP_LOAD * state.load / found.pool.total_weight
    holders = [item for item in endpoints if group in item.connections_by_group]
    if preferred := [endpoint for endpoint in holders if _relative_load(state, endpoint) <= limit]:
        return preferred
    class_load = state.loads.class_loads[request.request.request_class]
    is_heavy = state.loads.expected_load(request.request) > HEAVY_CLIENT_LOAD * class_load

    def may_take_new(endpoint: EndpointState) -> bool:
        # after an overload, each group or heavy client that is new to the endpoint would overload it again
        is_group_known = group is None or group in endpoint.connections_by_group or endpoint is found.first
        has_recovered = state.now - endpoint.overloaded_at >= OVERLOAD_RECOVERY_MS
        return has_recovered or (is_group_known and not is_heavy)

    open_to_new = [endpoint for endpoint in endpoints if may_take_new(endpoint)]
    return open_to_new if group is None else open_to_new[:1]


def _draw(state: BalancerState, endpoints: Endpoints) -> EndpointState:
    """Return the less loaded of two random draws; the selection probability of new endpoints rises."""
    drawn = endpoints
    if len(endpoints) > 2:
        weights = [_selection_share(state, endpoint) * endpoint.capacity_weight for endpoint in endpoints]
        first = state.random.choices(endpoints, weights)[0]
        weights[endpoints.index(first)] = 0.0
        drawn = [first, state.random.choices(endpoints, weights)[0]]
    return min(drawn, key=lambda endpoint: _relative_load(state, endpoint))


def _relative_load(state: BalancerState, endpoint: EndpointState) -> float:
    """Return this balancer's load on an endpoint divided by the capacity that it has now.

    Where the weights follow the load, they contain the number of connections already, so it is the mean load
    of a connection that counts.
    """
    load = endpoint.load + CONNECTION_COUNT_LOAD * endpoint.connections
    if state.settings.weights_follow_load:
        load = (endpoint.load + PRIOR_CONNECTIONS) / (endpoint.connections + PRIOR_CONNECTIONS)
    return load / (endpoint.remaining_weight * endpoint.capacity_weight * _selection_share(state, endpoint))


def _selection_share(state: BalancerState, endpoint: EndpointState) -> float:
    return min(state.capacity_share(endpoint), endpoint.ramp(state.now, RAMP_MS, RAMP_MIN_SHARE))
