"""Ejects endpoints whose attempts fail, and lets them rejoin after successful trials."""

from walkloom.messages.actions import LogMessage
from walkloom.messages.events import AttemptStatus
from walkloom.messages.settings import Idempotency
from walkloom.policy import slow_start
from walkloom.state import NOT_DRAINING, BalancerState, EndpointState, RequestState, Tier

FAILURE_SMOOTHING = 0.3  # weight of the newest attempt in the failure rate
EJECTION_FAILURE_RATE = 0.5  # an endpoint with a higher failure rate is ejected
TRIAL_BACKOFF_MS = 1000.0  # before the first trial; doubles after each failed trial
MAX_TRIAL_BACKOFF_MS = 8000.0  # so that an endpoint that recovered is found within seconds
TRIAL_INTERVAL_MS = 250.0  # after a successful trial
SUCCESSFUL_TRIALS_TO_REJOIN = 3  # in a row
UNCLAIMED_TRIAL_MS = 2000.0  # for which a trial that is due is reserved for idempotent requests
FAILURE_STATUSES = (  # which count against an endpoint; being at capacity does not
    AttemptStatus.ERROR,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CONNECTION_RESET,
)


def record_failure(state: BalancerState, endpoint: EndpointState) -> None:
    """Count a failed attempt: may eject the endpoint, or postpone its next trial."""
    endpoint.failure_rate += FAILURE_SMOOTHING * (1.0 - endpoint.failure_rate)
    if endpoint.is_ejected:
        endpoint.postpone_trial(state.now, min(endpoint.trial_backoff_ms * 2, MAX_TRIAL_BACKOFF_MS))
    elif endpoint.failure_rate > EJECTION_FAILURE_RATE and endpoint.drain_notified_at == NOT_DRAINING:
        endpoint.is_ejected = True
        endpoint.postpone_trial(state.now, TRIAL_BACKOFF_MS)
        state.endpoints.invalidate()
        state.actions.append(LogMessage("endpoint_ejected", endpoint.id))


def record_success(state: BalancerState, endpoint: EndpointState, was_trial: bool) -> None:
    """Count a successful attempt; enough successful trials in a row end an ejection."""
    endpoint.failure_rate *= 1.0 - FAILURE_SMOOTHING
    if endpoint.is_ejected and was_trial:
        endpoint.successful_trials += 1
        endpoint.next_trial_at = state.now + TRIAL_INTERVAL_MS
        if endpoint.successful_trials >= SUCCESSFUL_TRIALS_TO_REJOIN:
            endpoint.reset_failures(state.now)
            state.endpoints.invalidate()


def select_trial(state: BalancerState, request: RequestState, tier: Tier) -> EndpointState | None:
    """Return an ejected endpoint for a trial; None if no trial is due.

    Only first attempts are trials. A remote endpoint gets one only if no local endpoint is usable.
    """
    if request.attempts:
        return None
    local_zone = state.settings.local_zone
    trial_candidates = [
        item for item in state.endpoints.ejected if item.zone == local_zone or not tier.local.endpoints
    ]
    for endpoint in trial_candidates:
        may_try = endpoint.is_trial_due(state.now) and _may_be_trial(state, request, endpoint, tier)
        if may_try and slow_start.has_capacity(state, endpoint):
            endpoint.is_trial_running = True
            request.is_trial = True
            return endpoint
    return None


def _may_be_trial(state: BalancerState, request: RequestState, endpoint: EndpointState, tier: Tier) -> bool:
    """Whether the request may be a trial of the endpoint although the trial may fail.

    A failed trial may be the only attempt of a request that is not idempotent. Such a request is a trial if
    no other endpoint is usable, if the trial before it succeeded, or if no idempotent request has come for a
    while: an endpoint must be able to rejoin whatever the classes are. One that may have run before is no
    trial, as only some endpoints may run it again (rule 2).
    """
    if request.request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request.may_have_run_at >= 0:
        return False
    is_unclaimed = state.now - endpoint.next_trial_at >= UNCLAIMED_TRIAL_MS
    return not tier.size or endpoint.successful_trials > 0 or is_unclaimed
