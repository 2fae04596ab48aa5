"""Pauses overloaded endpoints, and migrates open connections off overloaded and draining endpoints."""

from walkloom.messages.actions import LogMessage, MigrateConnection
from walkloom.policy import list_lease, slow_start
from walkloom.state import (
    NEVER_HAPPENED,
    NOT_DRAINING,
    BalancerState,
    EndpointState,
    RequestState,
    TimerToken,
)

OVERLOAD_PAUSE_MS = 350.0  # mean pause between the placements of all balancers right after an overload
OVERLOAD_PAUSE_DECAY = 0.05  # ms by which it falls in each ms since the overload
MAJORITY_OVERLOAD_PAUSE_MS = 330.0  # minimum of that mean, at every endpoint, while most are overloaded
# For this time after an overload, an endpoint gets no affinity group and no heavy client that is new to it.
OVERLOAD_RECOVERY_MS = 90_000.0
DRAIN_INTERVAL_MS = 100.0  # between two rounds of migrations off draining endpoints
DRAIN_MIGRATION_SHARE = 0.2  # of the connections on draining endpoints, in each round
MIN_OVERLOAD_MIGRATION_SHARE = 0.05  # of the connections on an overloaded endpoint; grows with the delay
MAX_OVERLOAD_MIGRATION_SHARE = 0.25  # the upper limit, for long delays
DELAY_MS_PER_SHARE = 4000.0  # the message delay that adds 1 to the share


def pause_after_overload(state: BalancerState, endpoint: EndpointState) -> None:
    """Pause an endpoint that was overloaded: a burst from all balancers would overload it again."""
    slow_start.update_connections_per_weight(state)  # keeps is_majority_overloaded up to date
    mean_pause_ms = OVERLOAD_PAUSE_MS - OVERLOAD_PAUSE_DECAY * (state.now - endpoint.overloaded_at)
    mean_pause_ms = max(mean_pause_ms, MAJORITY_OVERLOAD_PAUSE_MS * state.is_majority_overloaded)
    pause_ms = mean_pause_ms * state.settings.balancer_count * state.random.expovariate(1.0)
    endpoint.paused_until = max(endpoint.paused_until, state.now + pause_ms)


def record_delay(state: BalancerState, endpoint: EndpointState, delay_ms: float) -> None:
    """Record a message delay: above the latency objective, pause the endpoint and migrate some clients."""
    is_slow = delay_ms > state.message_objective_ms / 3
    endpoint.slow_message_at = state.now if is_slow else NEVER_HAPPENED
    slow_start.update_connections_per_weight(state)
    if delay_ms <= state.message_objective_ms:
        endpoint.paused_until = NEVER_HAPPENED
        pause_after_overload(state, endpoint)
        return
    # a connection placed now would miss the objective too, and would add to the overload
    endpoint.paused_until = state.now + slow_start.SLOW_MESSAGE_WINDOW_MS
    if state.now - endpoint.overloaded_at >= OVERLOAD_RECOVERY_MS:
        state.actions.append(LogMessage(f"server_overloaded delay_ms={delay_ms:.0f}", endpoint.id))
    endpoint.overloaded_at = state.now
    if list_lease.is_valid(state):
        # a client that is moved while nothing can be placed would lose its connection for nothing
        _migrate_from_overloaded(state, endpoint, delay_ms)


def start_drain_timer(state: BalancerState) -> None:
    """Schedule the next round of migrations off draining endpoints, unless it is already scheduled."""
    if not state.is_drain_timer_running:
        state.is_drain_timer_running = True
        state.start_timer(state.now + DRAIN_INTERVAL_MS, TimerToken.DRAIN)


def migrate_from_draining(state: BalancerState) -> None:
    """Migrate a share of the connections on draining endpoints, if another endpoint can take them.

    Deviates from the standard mechanism, because the time at which a draining endpoint leaves is not known.
    """
    draining = [request for request in state.requests.by_id.values() if request.is_on_draining_endpoint()]
    state.is_drain_timer_running = False
    if draining:
        start_drain_timer(state)
    endpoints = state.endpoints.by_id.values()
    if any(item.drain_notified_at == NOT_DRAINING and not item.is_ejected for item in endpoints):
        _migrate(state, draining, len(draining) * DRAIN_MIGRATION_SHARE)


def _migrate_from_overloaded(state: BalancerState, endpoint: EndpointState, delay_ms: float) -> None:
    """Migrate a share of the connections of an overloaded endpoint, those with the largest load first.

    Deviates from the standard mechanism, because a slow endpoint that keeps all of its connections serves
    none of them in time.
    """
    requests = state.requests.by_id.values()
    established = [request for request in requests if request.endpoint is endpoint and request.is_established]
    established.sort(key=lambda request: request.load_share_at(endpoint), reverse=True)
    share = min(MIN_OVERLOAD_MIGRATION_SHARE + delay_ms / DELAY_MS_PER_SHARE, MAX_OVERLOAD_MIGRATION_SHARE)
    _migrate(state, established, len(established) * share)


def _migrate(state: BalancerState, requests: list[RequestState], count: float) -> None:
    """Migrate the first `count` connections.

    The fractional part is the probability of one more: a balancer may hold only one connection on an
    endpoint, and would otherwise never migrate it.
    """
    chosen = requests[: int(count + state.random.random())]
    state.actions += [MigrateConnection(request.id) for request in chosen]
