"""When discovery is called for the endpoint list, and how its answers are handled."""

from walkloom.messages.actions import WatchEndpointList
from walkloom.messages.events import EndpointListUpdate, ListFailure, UpdateKind
from walkloom.policy import dispatch, list_lease, migration, slow_start
from walkloom.state import BalancerState, TimerToken

MAX_WATCH_HOLD_MS = 500.0  # for which discovery may hold a call; an answer confirms the list (list_lease)
MAX_LEASE_SHARE = 0.5  # of the remaining lease that a pause or a hold may take, so that another call fits in
WATCH_BACKOFF_MS = 200.0  # longest pause after the first failed call; doubles after each further one
MAX_BACKOFF_DOUBLINGS = 10
MAX_PAUSE_IF_UNREACHABLE_MS = 400.0  # frequent calls cost discovery little if it refuses them at once
MAX_PAUSE_IF_OVERLOADED_MS = 30_000.0
EQUAL_PAUSES_IF_OVERLOADED = 4  # number of pauses of equal length before they double
QUEUE_MARGIN = 1.25  # factor by which the rate of calls stays below the rate that discovery answered
DEFAULT_CALL_MS = 250.0  # assumed time of discovery for one call, until one was observed
ACCEPTABLE_QUEUE_MS = 2000.0  # calls need not be spread if discovery answers them all within this time
MAX_QUEUE_SHARE = 0.8  # of the longest interval between two polls of a balancer
PUSHED_PAUSE_SHARE = 0.25  # of the drain grace: an update counts as notified once the agent responds again
MAX_PUSHED_PAUSE_MS = 125.0
QUOTA_LOAD = 0.85  # share of the fleet's capacity that connections use if all quotas are used up


def receive_update(state: BalancerState, event: EndpointListUpdate) -> None:
    """Apply an update of the endpoint list; after a failed call, schedule the next one with backoff."""
    if event.kind is UpdateKind.FAILED:
        list_lease.record_failure(state, event)
        state.start_timer(state.now + _pause_ms(state, event), TimerToken.WATCH)
        return
    was_valid = list_lease.is_valid(state)
    notified_at = list_lease.changes_notified_since(state)
    list_lease.renew(state, event)
    if event.kind is UpdateKind.CACHED and state.settings.polls_endpoint_list:
        _schedule_first_call(state)
    slow_start.update_connections_per_weight(state)  # endpoints may leave together before they were sampled
    if state.endpoints.apply(event, state.now, notified_at):
        migration.start_drain_timer(state)
    state.last_request_at = state.last_request_at or state.now  # a balancer may start during a burst
    state.estimate_connection_cost(QUOTA_LOAD)
    if not was_valid and list_lease.is_valid(state):
        dispatch.place_all_held(state)


def receive_discovery_change(state: BalancerState) -> None:
    """Call the discovery of a reloaded configuration at once."""
    list_lease.limit_after_reload(state)
    state.actions.append(WatchEndpointList())


def hold_ms(state: BalancerState) -> float:
    """Return how long discovery may hold the next call while nothing changes, ms; bounded by the lease."""
    return min(MAX_WATCH_HOLD_MS, MAX_LEASE_SHARE * list_lease.remaining_ms(state))


def _schedule_first_call(state: BalancerState) -> None:
    """Spread the first calls of all balancers over the time that discovery needs for them.

    If all balancers called at once, every call would wait in the queue until it is too old.
    """
    queue_ms = min(_queue_ms(state, DEFAULT_CALL_MS), MAX_LEASE_SHARE * list_lease.remaining_ms(state))
    fires_at = state.now + queue_ms * state.random.random()
    if queue_ms:
        state.start_timer(fires_at, TimerToken.WATCH)
    else:
        state.actions.append(WatchEndpointList())


def _queue_ms(state: BalancerState, call_ms: float) -> float:
    """Return how long discovery takes for one call of each balancer, ms; bounded by the poll interval."""
    queue_ms = max(state.settings.balancer_count * call_ms - ACCEPTABLE_QUEUE_MS, 0.0)
    return min(queue_ms, MAX_QUEUE_SHARE * state.settings.max_poll_interval_ms)


def _pause_ms(state: BalancerState, event: EndpointListUpdate) -> float:
    """Return the pause before the next call, ms; full jitter spreads the balancers, within the lease."""
    share = state.random.random()
    if not state.settings.polls_endpoint_list:
        # the time for which a silent agent held the call counts as part of the pause
        longest_ms = min(PUSHED_PAUSE_SHARE * state.settings.drain_grace_ms, MAX_PUSHED_PAUSE_MS)
        return max(longest_ms * share - event.call_ms, 0.0)
    if event.failure is ListFailure.OVERLOADED:
        share += 0.5  # discovery has to work off its queue: no call may follow at once
    return _longest_pause_ms(state, event) * share


def _longest_pause_ms(state: BalancerState, event: EndpointListUpdate) -> float:
    lease = state.list_lease
    doublings = min(lease.failures - 1, MAX_BACKOFF_DOUBLINGS)
    backoff_ms = WATCH_BACKOFF_MS * 2.0**doublings
    if not list_lease.is_limited(state):
        queue_ms = _queue_ms(state, lease.call_ms or DEFAULT_CALL_MS)
        limit_ms = max(state.settings.max_poll_interval_ms / 4, WATCH_BACKOFF_MS, 2.0 * queue_ms)
        return min(max(backoff_ms, queue_ms), limit_ms)
    if event.failure is ListFailure.UNREACHABLE:
        return min(backoff_ms, MAX_PAUSE_IF_UNREACHABLE_MS)
    # The time that discovery needs for a call of each balancer. If it is longer than the lease, not all
    # balancers can renew in time, and calls faster than discovery answers would leave none that can.
    queue_ms = QUEUE_MARGIN * state.settings.balancer_count * lease.call_ms
    if event.failure is ListFailure.OVERLOADED:
        limit_ms = max(MAX_PAUSE_IF_OVERLOADED_MS, 2.0 * queue_ms)
        # equal pauses at first: a discovery that is down may also look overloaded
        backoff_factor = 2.0 ** max(doublings - EQUAL_PAUSES_IF_OVERLOADED + 1, 0)
        return min(max(_overload_pause_ms(state, event), queue_ms) * backoff_factor, limit_ms)
    limit_ms = MAX_LEASE_SHARE * list_lease.remaining_ms(state)
    if not list_lease.is_valid(state):
        limit_ms = state.settings.max_list_age_ms
    return max(min(backoff_ms, limit_ms), queue_ms)


def _overload_pause_ms(state: BalancerState, event: EndpointListUpdate) -> float:
    """Return the pause that lets an overloaded discovery work off its queue, ms.

    The queue is assumed to be as long as the call has waited. While the lease is valid and it is known how
    long a call takes, the pause leaves time for another call.
    """
    if not state.list_lease.call_ms or not list_lease.is_valid(state):
        return event.call_ms
    lease_share_ms = MAX_LEASE_SHARE * list_lease.remaining_ms(state)
    return min(event.call_ms, max(lease_share_ms, WATCH_BACKOFF_MS))
