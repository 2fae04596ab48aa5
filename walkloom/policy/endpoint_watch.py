"""When discovery is asked for the endpoint list, and what follows from its answer."""

from walkloom.messages.actions import WatchEndpointList
from walkloom.messages.events import EndpointListUpdate, ListFailure, UpdateKind
from walkloom.policy import list_lease, migration, slow_start
from walkloom.state import BalancerState, TimerToken

WATCH_HOLD_MS = 2000.0  # discovery may hold a call for so long while nothing changes
LEASE_SHARE = 0.5  # of what is left of the lease a pause or a hold may take: another call must fit
WATCH_BACKOFF_MS = 200.0  # longest pause after the first failed call for the list; doubles after each
MAX_BACKOFF_DOUBLINGS = 10
MAX_PAUSE_WHILE_DOWN_MS = 800.0  # a discovery that refuses at once is asked so often, which costs it little
MAX_PAUSE_IF_OVERLOADED_MS = 30_000.0
STEADY_CALLS_IF_OVERLOADED = 4  # so many pauses are alike before they double
QUEUE_MARGIN = 1.25  # discovery is asked for so much less than it was seen to answer
DISCOVERY_CALL_MS = 250.0  # what discovery takes for one call, until one was seen
DISCOVERY_QUEUE_MS = 2000.0  # calls that wait for less are no burden
MAX_QUEUE_SHARE = 0.8  # of the time in which a balancer that polls must have asked
PUSHED_PAUSE_SHARE = 0.25  # of the drain grace: what a silent agent gets at its return counts at once
QUOTA_LOAD = 0.85  # of a fleet's capacity that connections within all quotas ask for


def receive_update(state: BalancerState, event: EndpointListUpdate) -> None:
    """Take in an update of the list; after one that failed ask again, ever slower."""
    if event.kind is UpdateKind.FAILED:
        list_lease.record_failure(state, event)
        state.start_timer(state.now + _pause_ms(state, event), TimerToken.WATCH)
        return
    list_lease.renew(state, event)
    if event.kind is UpdateKind.CACHED and state.settings.polls_endpoint_list:
        _ask_first(state)
    slow_start.carried(state)  # endpoints may leave together before their load was looked at
    if state.endpoints.apply(event, state.now):
        migration.start_draining(state)
    state.last_request_at = state.last_request_at or state.now  # a burst may be on when a balancer starts
    state.estimate_connection_cost(QUOTA_LOAD)


def hold_ms(state: BalancerState) -> float:
    """How long discovery may hold the next call while nothing changes; less as the lease runs out."""
    return min(WATCH_HOLD_MS, LEASE_SHARE * list_lease.remaining_ms(state))


def _ask_first(state: BalancerState) -> None:
    """Spread over discovery's time for all: in a queue that all fill at once every call gets too old."""
    queue_ms = min(_queue_ms(state, DISCOVERY_CALL_MS), LEASE_SHARE * list_lease.remaining_ms(state))
    fires_at = state.now + queue_ms * state.random.random()
    if queue_ms:
        state.start_timer(fires_at, TimerToken.WATCH)
    else:
        state.actions.append(WatchEndpointList())


def _queue_ms(state: BalancerState, call_ms: float) -> float:
    """How long discovery takes for a call of each balancer, within the time that the settings give."""
    queue_ms = max(state.settings.balancer_count * call_ms - DISCOVERY_QUEUE_MS, 0.0)
    return min(queue_ms, MAX_QUEUE_SHARE * state.settings.max_poll_interval_ms)


def _pause_ms(state: BalancerState, event: EndpointListUpdate) -> float:
    """A pause out of step with the other balancers (full jitter), so that the next call fits in the lease."""
    share = state.random.random()
    if not state.settings.polls_endpoint_list:
        # a call that a silent agent kept for so long needs no pause after it
        return max(PUSHED_PAUSE_SHARE * state.settings.drain_grace_ms * share - event.call_ms, 0.0)
    if event.failure is ListFailure.OVERLOADED:
        share += 0.5  # its queue has to empty: no call may follow at once
    return _longest_pause_ms(state, event) * share


def _longest_pause_ms(state: BalancerState, event: EndpointListUpdate) -> float:
    lease = state.list_lease
    doublings = min(lease.failures - 1, MAX_BACKOFF_DOUBLINGS)
    backoff_ms = WATCH_BACKOFF_MS * 2.0**doublings
    if not list_lease.is_limited(state):
        queue_ms = _queue_ms(state, lease.call_ms or DISCOVERY_CALL_MS)
        limit_ms = max(state.settings.max_poll_interval_ms / 4, WATCH_BACKOFF_MS, 2.0 * queue_ms)
        return min(max(backoff_ms, queue_ms), limit_ms)
    if event.failure is ListFailure.UNREACHABLE:
        return min(backoff_ms, MAX_PAUSE_WHILE_DOWN_MS)
    # What all balancers need that call now. Where it is longer than the lease, not all can have their list in
    # time, and calls that come faster than discovery answers would leave none that has.
    queue_ms = QUEUE_MARGIN * state.settings.balancer_count * lease.call_ms
    if event.failure is ListFailure.OVERLOADED:
        limit_ms = max(MAX_PAUSE_IF_OVERLOADED_MS, 2.0 * queue_ms)
        # the first such calls come no slower: a discovery that is down may answer so, too
        slower = 2.0 ** max(doublings - STEADY_CALLS_IF_OVERLOADED + 1, 0)
        return min(max(event.call_ms, queue_ms) * slower, limit_ms)
    limit_ms = LEASE_SHARE * list_lease.remaining_ms(state)
    if not list_lease.is_valid(state):
        limit_ms = state.settings.max_list_age_ms
    return max(min(backoff_ms, limit_ms), queue_ms)
