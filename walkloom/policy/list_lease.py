"""How old the endpoint list may be; both placement and the pauses between calls to discovery follow from it.

The lease starts when discovery confirms the list. It expires before a change that happened right after the
confirmation could count as notified and outlive its drain grace (rule 3). After the lease has expired,
nothing new is sent until discovery answers.

A pushed list: a change counts as notified once the agent has it, also before the process started. Only an
answer of the agent shows what it had, so the lease is the drain grace from the start of the answered call,
and no failed call extends it. The cached list of a new process has the grace from the start of the process.
The agent answers again within milliseconds and at no cost, and a silent one has left all balancers without
a list, so requests wait for it as long as their deadlines allow.

A polled list: a change counts as notified some seconds after it was made, which gives the lease its length.
Two kinds of observations of discovery count: an answer, and a call that discovery itself ended. While it
refuses calls at once and was observed without a gap since its last answer, no balancer can learn of a
change, and the lease is extended. A watch shows nothing between two answers, as it may have been silent,
and the cached list nothing at all.

A list of a former discovery stops counting soon after the configuration was reloaded; refused calls do not
change this, since only the present discovery can confirm the list.
"""

from walkloom.messages.events import EndpointListUpdate, ListFailure, UpdateKind
from walkloom.state import BalancerState

# Changes may have been missed where an outage is first observed this long after the last answer, or where two
# observations of an outage are this far apart.
MAX_UNCONFIRMED_MS = 800.0
MAX_UNOBSERVED_MS = 1200.0
# An outage extends the lease once it has lasted so long, or for this share of the lease if that is shorter.
# Before, some refused calls may be followed by a silence that hides a change.
MIN_OUTAGE_MS = 2000.0
MAX_OUTAGE_SHARE = 0.5
# Multiplies the configured poll interval after a failed call. The platform sets this rule.
FAILED_CALL_FACTOR = 4.0
# Of the drain grace, for a pushed list whose grace is hardly longer than a stall of the process.
MIN_PUSHED_LEASE_SHARE = 0.25


def is_valid(state: BalancerState) -> bool:
    """Whether new requests may be sent to the endpoints of the list."""
    return state.now < state.list_lease.expires_at


def is_limited(state: BalancerState) -> bool:
    """Whether the list has a lease at all."""
    return state.settings.limits_list_age


def remaining_ms(state: BalancerState) -> float:
    """Return the time until the lease expires, ms; 0 if it has expired."""
    return max(state.list_lease.expires_at - state.now, 0.0)


def renew(state: BalancerState, update: EndpointListUpdate) -> None:
    """Renew the lease: discovery confirmed the list, or this balancer starts with its last known list."""
    lease = state.list_lease
    lease.failures = 0
    if update.call_ms > 0:
        lease.call_ms = min(update.call_ms, lease.call_ms or update.call_ms)
    if is_limited(state) and update.confirmed_at is not None:
        lease.is_in_outage = False
        lease.is_confirmed = update.kind is not UpdateKind.CACHED
        lease.observed_until = max(lease.observed_until, update.confirmed_at)
        if state.settings.polls_endpoint_list:
            _extend(state, state.settings.max_list_age_ms)
        else:
            lease.expires_at = lease.observed_until + _pushed_lease_ms(state)
    elif is_limited(state) and not state.settings.polls_endpoint_list:
        # There was no usable cached list: an empty one is not to be taken for a fleet without servers.
        lease.expires_at = state.now


def changes_notified_since(state: BalancerState) -> float:
    """Return when a change that the next list brings counts as notified at the earliest; now at the latest.

    The list may come late. A drain that it brings has the rest of its grace, which ends with the lease.
    """
    return min(state.now, state.list_lease.expires_at - _grace_ms(state))


def allows_waiting(state: BalancerState) -> bool:
    """Whether a request may wait for the list to be confirmed, rather than be rejected at once.

    A polled discovery may answer only after many seconds, and other balancers may still have their lists.
    """
    return not state.settings.polls_endpoint_list


def limit_after_reload(state: BalancerState) -> None:
    """Limit the lease of a list that the present discovery has not confirmed."""
    lease = state.list_lease
    lease.failures = 0
    lease.is_confirmed = False
    limit = state.now + state.settings.reload_notification_delay_ms + _grace_ms(state)
    lease.expires_at = min(lease.expires_at, limit)


def record_failure(state: BalancerState, update: EndpointListUpdate) -> None:
    """Record a call that returned no list."""
    lease = state.list_lease
    lease.failures += 1
    if not is_limited(state) or not state.settings.polls_endpoint_list:
        return
    is_down = update.failure is ListFailure.UNREACHABLE
    max_gap_ms = MAX_UNOBSERVED_MS if lease.is_in_outage else MAX_UNCONFIRMED_MS
    has_no_gap = lease.is_confirmed and state.now - lease.observed_until <= max_gap_ms
    if has_no_gap and is_valid(state) and (is_down or update.ended_watch):
        lease.observed_until = state.now
        if not lease.is_in_outage:
            lease.is_in_outage = True
            lease.outage_observed_at = state.now
        if is_down and _has_outage_lasted(state):
            _extend(state, _max_age_after_failure_ms(state))
    # without an open watch the limit from the configured poll interval may be the shorter one
    limit = lease.observed_until + _max_age_after_failure_ms(state) + _grace_ms(state)
    lease.expires_at = min(lease.expires_at, limit)


def _pushed_lease_ms(state: BalancerState) -> float:
    """Return how long a pushed list may be used after its confirmation, ms."""
    if not state.list_lease.is_confirmed:
        # The start of the process is known less exactly than that of a call.
        return _grace_ms(state)
    grace_ms = state.settings.drain_grace_ms
    return max(grace_ms - state.settings.max_stall_ms, grace_ms * MIN_PUSHED_LEASE_SHARE)


def _has_outage_lasted(state: BalancerState) -> bool:
    min_outage_ms = min(MIN_OUTAGE_MS, _max_age_after_failure_ms(state) * MAX_OUTAGE_SHARE)
    return state.now - state.list_lease.outage_observed_at >= min_outage_ms


def _extend(state: BalancerState, max_age_ms: float) -> None:
    lease = state.list_lease
    lease.expires_at = lease.observed_until + max_age_ms + _grace_ms(state)


def _max_age_after_failure_ms(state: BalancerState) -> float:
    extended_interval_ms = FAILED_CALL_FACTOR * state.settings.max_poll_interval_ms
    return min(state.settings.max_list_age_ms, extended_interval_ms or state.settings.max_list_age_ms)


def _grace_ms(state: BalancerState) -> float:
    return max(state.settings.drain_grace_ms - 2 * state.settings.max_stall_ms, 0.0)
