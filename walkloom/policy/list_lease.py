"""How old the endpoint list may be: the one owner of that question, for placement and for the pace of calls.

A lease begins when discovery confirms the list. It ends before a change that followed at once counts as
notified and its drain grace is over (rule 3). While discovery is seen to be down nobody can learn of a
change, and the lease goes on. When it is over nothing new is sent until discovery answers: clients are
rejected.
"""

from walkloom.messages.events import EndpointListUpdate, ListFailure
from walkloom.state import BalancerState

# Discovery counts as down all the time between two looks that are no further apart.
MAX_UNOBSERVED_MS = 1200.0
# A failed call makes the time that the settings give for asking so many times as long. The platform's rule.
FAILED_CALL_FACTOR = 4.0


def is_valid(state: BalancerState) -> bool:
    """Whether something new may be sent by the list."""
    return state.now < state.list_lease.expires_at


def is_limited(state: BalancerState) -> bool:
    """Whether the list has a lease at all."""
    return state.settings.limits_list_age


def remaining_ms(state: BalancerState) -> float:
    """Time until the lease is over, 0 where it is."""
    return max(state.list_lease.expires_at - state.now, 0.0)


def renew(state: BalancerState, update: EndpointListUpdate) -> None:
    """Discovery has confirmed the list, or this balancer starts with the list that it had last."""
    lease = state.list_lease
    lease.failures = 0
    if update.call_ms > 0:
        lease.call_ms = min(update.call_ms, lease.call_ms or update.call_ms)
    if is_limited(state) and update.confirmed_at is not None:
        _extend(state, update.confirmed_at, state.settings.max_list_age_ms)


def record_failure(state: BalancerState, update: EndpointListUpdate) -> None:
    """A call brought no list."""
    lease = state.list_lease
    lease.failures += 1
    if not is_limited(state):
        return
    if update.watched_until is not None:
        lease.observed_until = max(lease.observed_until, update.watched_until)
    is_without_gap = state.now - lease.observed_until <= MAX_UNOBSERVED_MS
    if update.failure is ListFailure.UNREACHABLE and is_without_gap and is_valid(state):
        _extend(state, state.now, _max_age_after_failure_ms(state))
    # the settings' own time may be the shorter one once no watch is open
    limit = lease.observed_until + _max_age_after_failure_ms(state) + _grace_ms(state)
    lease.expires_at = min(lease.expires_at, limit)


def _extend(state: BalancerState, observed_at: float, max_age_ms: float) -> None:
    lease = state.list_lease
    lease.observed_until = max(lease.observed_until, observed_at)
    lease.expires_at = lease.observed_until + max_age_ms + _grace_ms(state)


def _max_age_after_failure_ms(state: BalancerState) -> float:
    asked_ms = FAILED_CALL_FACTOR * state.settings.max_poll_interval_ms
    return min(state.settings.max_list_age_ms, asked_ms or state.settings.max_list_age_ms)


def _grace_ms(state: BalancerState) -> float:
    return max(state.settings.drain_grace_ms - 2 * state.settings.max_stall_ms, 0.0)
