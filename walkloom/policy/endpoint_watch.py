"""When discovery is asked for the endpoint list, and what follows from its answer."""

from walkloom.messages.actions import WatchEndpointList
from walkloom.messages.events import EndpointListUpdate, UpdateKind
from walkloom.policy import migration, slow_start
from walkloom.state import BalancerState, TimerToken

WATCH_BACKOFF_MS = 200.0  # after the first failed call for the list; doubles after each
DISCOVERY_CALL_MS = 250.0  # what discovery takes for one call
DISCOVERY_QUEUE_MS = 2000.0  # calls that wait for less are no burden
MAX_QUEUE_SHARE = 0.8  # of the time in which a balancer that polls must have asked
QUOTA_LOAD = 0.85  # of a fleet's capacity that connections within all quotas ask for


def receive_update(state: BalancerState, event: EndpointListUpdate) -> None:
    """Take in an update of the list; after one that failed ask again, ever slower."""
    queue_ms = _discovery_queue_ms(state)
    if event.kind is UpdateKind.FAILED:
        _retry(state, queue_ms)
        return
    state.watch_backoff_ms = max(WATCH_BACKOFF_MS, queue_ms)
    if event.kind is UpdateKind.CACHED and state.settings.polls_endpoint_list:
        # spread over discovery's time for all: in a queue that all fill at once every call gets too old
        fires_at = state.now + queue_ms * state.random.random()
        if queue_ms:
            state.start_timer(fires_at, TimerToken.WATCH)
        else:
            state.actions.append(WatchEndpointList())
    slow_start.carried(state)  # endpoints may leave together before their load was looked at
    if state.endpoints.apply(event, state.now):
        migration.start_draining(state)
    state.last_request_at = state.last_request_at or state.now  # a burst may be on when a balancer starts
    state.estimate_connection_cost(QUOTA_LOAD)


def _discovery_queue_ms(state: BalancerState) -> float:
    """How long discovery takes for a call of each balancer, within the time that the settings give."""
    queue_ms = max(state.settings.balancer_count * DISCOVERY_CALL_MS - DISCOVERY_QUEUE_MS, 0.0)
    return min(queue_ms, MAX_QUEUE_SHARE * state.settings.max_poll_interval_ms)


def _retry(state: BalancerState, queue_ms: float) -> None:
    """Ask again after a backoff, out of step with the other balancers."""
    backoff_ms = state.watch_backoff_ms or WATCH_BACKOFF_MS
    state.start_timer(state.now + backoff_ms * (0.5 + state.random.random()), TimerToken.WATCH)
    max_backoff_ms = max(state.settings.max_poll_interval_ms / 4, WATCH_BACKOFF_MS, 2 * queue_ms)
    state.watch_backoff_ms = min(backoff_ms * 2, max_backoff_ms)
