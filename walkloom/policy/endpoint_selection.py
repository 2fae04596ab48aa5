"""Which endpoint a request is sent to (KEP-1669): tier, zone, affinity group, the lesser of two draws."""

from random import Random

from walkloom.messages.settings import DeduplicationScope
from walkloom.policy import load_reports, slow_start
from walkloom.policy.migration import OVERLOAD_MEMORY_MS
from walkloom.state.balancer_state import BalancerState
from walkloom.state.endpoint import NOT_DRAINING, EndpointState
from walkloom.state.endpoint_pool import Candidates, EndpointPool, Endpoints, Tier
from walkloom.state.request import RequestState

RAMP_MS = 3000.0  # a newcomer reaches its full chance to be drawn in this time
RAMP_MIN_CHANCE = 0.1  # from this share of it
GROUP_RING = 24  # endpoints that are ranked for a group
GROUP_ENDPOINTS = 2  # that all balancers use for a group, in each zone
SMALL_SAMPLE = 12  # requests that are added to a balancer's own, as few prove no large group
GROUP_SLACK = 2.5  # a holder of the group with up to so many times the mean load is preferred
HEAVY_LOAD = 2.0  # a client over so many times its class's mean load is heavy
USUAL_CONNECTIONS = 4  # of mean load, counted beside the own ones where weights follow the load
CONNECTION_LOAD = 0.01  # of a connection beside its load: levels the numbers where loads are equal
REMOTE_MARGIN = 0.2  # an endpoint of another zone must have so much less load
MAX_LOAD = 0.95  # nothing is placed on an endpoint beyond, where several balancers share it


def tier_for(state: BalancerState, request: RequestState) -> Tier:
    """The first tier with a usable member, over the whole list: ready endpoints, then draining ones."""
    tier = state.endpoints.tier()
    if tier.size and request.may_have_run_on is None:
        return tier
    usable = [item for item in state.endpoints.by_id.values() if _is_usable(request, item)]
    ready = [endpoint for endpoint in usable if endpoint.drain_notified_at == NOT_DRAINING]
    draining = [endpoint for endpoint in usable if is_within_drain_grace(state, endpoint)]
    return Tier.split(ready or draining, state.settings.local_zone)


def is_within_drain_grace(state: BalancerState, endpoint: EndpointState) -> bool:
    """Departure: rule 3 ends the draining tier at the grace, less what delays its notice and a send."""
    margin_ms = 2 * (state.settings.tick_ms + state.settings.max_stall_ms)
    grace_started_after = state.now - state.settings.drain_grace_ms + margin_ms
    return endpoint.drain_notified_at == NOT_DRAINING or endpoint.drain_notified_at > grace_started_after


def _is_usable(request: RequestState, endpoint: EndpointState) -> bool:
    """Not ejected nor removed; rule 2: after an attempt that may have run, repeats are dropped there."""
    if endpoint.is_ejected or not endpoint.lifecycle:
        return False
    previous = request.may_have_run_on
    if previous and request.request_class.deduplication_scope is DeduplicationScope.ZONE:
        return endpoint.zone == previous.zone
    return previous is None or endpoint.cell == previous.cell


def candidates(state: BalancerState, request: RequestState, pool: EndpointPool, again: bool) -> Candidates:
    """The few of a pool that the request may use: of its group, else a sample. again: also those tried."""
    chosen = pool.endpoints
    if request.affinity_group is not None:
        chosen = _group_endpoints(state, request, pool)
    elif len(chosen) > slow_start.POOL_SAMPLE:  # the same at each look: those that were polled for it
        request.sample_seed = request.sample_seed or state.random.random()
        chosen = Random(request.sample_seed).sample(chosen, slow_start.POOL_SAMPLE)
    untried = [endpoint for endpoint in chosen if again or endpoint.id not in request.attempted_endpoints]
    available = [endpoint for endpoint in untried if slow_start.has_capacity(state, endpoint)]
    return Candidates(pool, chosen[0], available)


def _group_endpoints(state: BalancerState, request: RequestState, pool: EndpointPool) -> Endpoints:
    """Departure: all balancers use the same few for a group, as each holder pays; more for a large one."""
    group = request.affinity_group
    ranked = pool.ranked_for(group, GROUP_RING)
    if state.balancers_per_zone < 2:
        return ranked
    held = sum(endpoint.connections_by_group.get(group, 0) for endpoint in ranked)
    share = held / (len(state.requests.by_id) + SMALL_SAMPLE)
    return ranked[: GROUP_ENDPOINTS + int(len(pool.endpoints) * share)]


def select(state: BalancerState, request: RequestState, tier: Tier) -> EndpointState | None:
    """Where to send the request; None: it has to wait. Endpoints with slow messages come last."""
    again = len(request.attempted_endpoints) >= tier.size
    seen: list[Candidates] = []
    for pool in tier:
        if pool.endpoints:
            seen.append(candidates(state, request, pool, again))
            usable = load_reports.usable(state, request, seen[-1].available)
            if preferred := _preferred(state, request, seen[-1], usable):
                return _draw(state, preferred)
    available = [endpoint for found in seen for endpoint in found.available]
    if state.uses_load_reports and available:
        return _least_loaded(state, request, load_reports.responsive(state, available))
    for found in seen:
        if preferred := _preferred(state, request, found, found.available):
            return _draw(state, preferred)
    return None


def _least_loaded(state: BalancerState, request: RequestState, endpoints: Endpoints) -> EndpointState | None:
    """One near the least projected load; None where all are full and other balancers use them too."""
    loads = {item: load_reports.projected_load(state, request, item) for item in endpoints}
    for endpoint in endpoints:
        loads[endpoint] += REMOTE_MARGIN * (endpoint.zone != state.settings.local_zone)
    least = min(loads.values())
    near = [endpoint for endpoint in endpoints if loads[endpoint] <= least + REMOTE_MARGIN / 2]
    return state.random.choice(near) if state.balancers_per_zone <= 1 or least <= MAX_LOAD else None


def _preferred(state: BalancerState, request: RequestState, found: Candidates, of: Endpoints) -> Endpoints:
    """Holders of the request's group that are not too loaded, else those that may take a new one."""
    group = request.affinity_group
    limit = GROUP_SLACK * state.load / found.pool.total_weight
    holders = [item for item in of if group in item.connections_by_group]
    if preferred := [endpoint for endpoint in holders if _relative_load(state, endpoint) <= limit]:
        return preferred
    class_load = state.loads.class_loads[request.request.request_class]
    is_heavy = state.loads.expected_load(request.request) > HEAVY_LOAD * class_load

    def is_open(endpoint: EndpointState) -> bool:
        # after an overload, groups and heavy clients that are new to an endpoint jam it one by one
        is_known = group is None or group in endpoint.connections_by_group or endpoint is found.first
        has_recovered = state.now - endpoint.overloaded_at >= OVERLOAD_MEMORY_MS
        return has_recovered or (is_known and not is_heavy)

    open_to_new = [endpoint for endpoint in of if is_open(endpoint)]
    return open_to_new if group is None else open_to_new[:1]


def _draw(state: BalancerState, endpoints: Endpoints) -> EndpointState:
    """The lesser of two random draws by own load; newcomers are drawn with their rising chance."""
    drawn = endpoints
    if len(endpoints) > 2:
        chances = [_chance(state, endpoint) * endpoint.capacity_weight for endpoint in endpoints]
        first = state.random.choices(endpoints, chances)[0]
        chances[endpoints.index(first)] = 0.0
        drawn = [first, state.random.choices(endpoints, chances)[0]]
    return min(drawn, key=lambda endpoint: _relative_load(state, endpoint))


def _relative_load(state: BalancerState, endpoint: EndpointState) -> float:
    """Own load here over the capacity that it has now; a weight that follows the load tells more."""
    load = endpoint.load + CONNECTION_LOAD * endpoint.connections
    if state.settings.weights_follow_load:
        load = (endpoint.load + USUAL_CONNECTIONS) / (endpoint.connections + USUAL_CONNECTIONS)
    return load / (endpoint.remaining_weight * endpoint.capacity_weight * _chance(state, endpoint))


def _chance(state: BalancerState, endpoint: EndpointState) -> float:
    return min(state.capacity_share(endpoint), endpoint.ramp(state.now, RAMP_MS, RAMP_MIN_CHANCE))
