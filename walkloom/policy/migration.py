"""What overloaded endpoints get, and which open connections migrate off these and off draining ones."""

from walkloom.messages.actions import LogMessage, MigrateConnection
from walkloom.policy import slow_start
from walkloom.state import (
    NEVER_HAPPENED,
    NOT_DRAINING,
    BalancerState,
    EndpointState,
    RequestState,
    TimerToken,
)

PACE_MS = 350.0  # mean pause between placements right after an overload, times the balancers
PACE_EASING = 0.05  # it falls by so much each ms
PACE_IF_MOST_OVERLOADED_MS = 330.0  # mean pause at any endpoint then, times the balancers
OVERLOAD_MEMORY_MS = 90_000.0  # no group or heavy client new to an endpoint so long after an overload
DRAIN_INTERVAL_MS = 100.0  # between two rounds of migrations off draining endpoints
DRAIN_SHARE = 0.2  # of the connections there, in each round
MIN_OVERLOAD_SHARE = 0.05  # of an overloaded endpoint's connections that migrate, for the shortest delay
MAX_OVERLOAD_SHARE = 0.25  # and for long ones
OVERLOAD_MS_PER_SHARE = 4000.0  # the delay by which the share would grow by one


def pace(state: BalancerState, endpoint: EndpointState) -> None:
    """Pause an endpoint that was overloaded: a flood through all balancers would jam it anew."""
    slow_start.carried(state)  # keeps is_majority_overloaded up to date
    pace_ms = PACE_MS - PACE_EASING * (state.now - endpoint.overloaded_at)
    pace_ms = max(pace_ms, PACE_IF_MOST_OVERLOADED_MS * state.is_majority_overloaded)
    pause_ms = pace_ms * state.settings.balancer_count * state.random.expovariate(1.0)
    endpoint.paused_until = max(endpoint.paused_until, state.now + pause_ms)


def record_delay(state: BalancerState, endpoint: EndpointState, delay_ms: float) -> None:
    """A message took so long: over its objective, the endpoint is overloaded and some clients move."""
    is_slow = delay_ms > state.message_objective_ms / 3
    endpoint.slow_message_at = state.now if is_slow else NEVER_HAPPENED
    slow_start.carried(state)
    if delay_ms <= state.message_objective_ms:
        endpoint.paused_until = NEVER_HAPPENED
        pace(state, endpoint)
        return
    # what is placed where messages already miss their objective is lost, and feeds the overload
    endpoint.paused_until = state.now + slow_start.SLOW_MESSAGE_MS
    if state.now - endpoint.overloaded_at >= OVERLOAD_MEMORY_MS:
        state.actions.append(LogMessage(f"server_overloaded delay_ms={delay_ms:.0f}", endpoint.id))
    endpoint.overloaded_at = state.now
    _migrate_from_overloaded(state, endpoint, delay_ms)


def start_draining(state: BalancerState) -> None:
    """An endpoint drains: start the rounds, unless they run."""
    if not state.is_drain_timer_running:
        state.is_drain_timer_running = True
        state.start_timer(state.now + DRAIN_INTERVAL_MS, TimerToken.DRAIN)


def migrate_from_draining(state: BalancerState) -> None:
    """Departure: nothing says when a draining endpoint leaves; a part migrates each round, if any could."""
    draining = [request for request in state.requests.by_id.values() if request.is_on_draining_endpoint()]
    state.is_drain_timer_running = False
    if draining:
        start_draining(state)
    endpoints = state.endpoints.by_id.values()
    if any(item.drain_notified_at == NOT_DRAINING and not item.is_ejected for item in endpoints):
        _migrate(state, draining, len(draining) * DRAIN_SHARE)


def _migrate_from_overloaded(state: BalancerState, endpoint: EndpointState, delay_ms: float) -> None:
    """Departure: a slow endpoint earns nothing with all it holds; a part of it moves, costly ones first."""
    requests = state.requests.by_id.values()
    held = [request for request in requests if request.endpoint is endpoint and request.is_established]
    held.sort(key=lambda request: request.load_share_at(endpoint), reverse=True)
    share = min(MIN_OVERLOAD_SHARE + delay_ms / OVERLOAD_MS_PER_SHARE, MAX_OVERLOAD_SHARE)
    _migrate(state, held, len(held) * share)


def _migrate(state: BalancerState, requests: list[RequestState], number: float) -> None:
    """Migrate the first ones; a fraction counts by chance, as many balancers may hold one each."""
    chosen = requests[: int(number + state.random.random())]
    state.actions += [MigrateConnection(request.id) for request in chosen]
