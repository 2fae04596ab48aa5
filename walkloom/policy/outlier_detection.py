"""Ejects endpoints whose attempts fail, and lets them rejoin after clean trials."""

from walkloom.messages.actions import LogMessage
from walkloom.messages.events import AttemptStatus
from walkloom.messages.settings import Idempotency
from walkloom.policy import slow_start
from walkloom.state import NOT_DRAINING, BalancerState, EndpointState, RequestState, Tier

FAILURE_SMOOTHING = 0.3  # weight of the newest attempt in the failure rate
EJECTION_RATE = 0.5  # failure rate from which an endpoint is ejected
TRIAL_BACKOFF_MS = 1000.0  # before the first trial; doubles after each that fails
MAX_TRIAL_BACKOFF_MS = 8000.0  # so that an endpoint that recovered is found within seconds
CLEAN_TRIAL_PAUSE_MS = 250.0  # after a clean trial
CLEAN_TRIALS_TO_REJOIN = 3  # in a row
FAILURES = (  # that speak against an endpoint; being at capacity does not
    AttemptStatus.ERROR,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.CONNECTION_RESET,
)


def record_failure(state: BalancerState, endpoint: EndpointState) -> None:
    """Count a failed attempt: may eject the endpoint, or put off its next trial."""
    endpoint.failure_rate += FAILURE_SMOOTHING * (1.0 - endpoint.failure_rate)
    if endpoint.is_ejected:
        endpoint.postpone_trial(state.now, min(endpoint.trial_backoff_ms * 2, MAX_TRIAL_BACKOFF_MS))
    elif endpoint.failure_rate > EJECTION_RATE and endpoint.drain_notified_at == NOT_DRAINING:
        endpoint.is_ejected = True
        endpoint.postpone_trial(state.now, TRIAL_BACKOFF_MS)
        state.endpoints.invalidate()
        state.actions.append(LogMessage("endpoint_ejected", endpoint.id))


def record_success(state: BalancerState, endpoint: EndpointState, was_trial: bool) -> None:
    """Count an attempt that was served; enough clean trials in a row end an ejection."""
    endpoint.failure_rate *= 1.0 - FAILURE_SMOOTHING
    if endpoint.is_ejected and was_trial:
        endpoint.successful_trials += 1
        endpoint.next_trial_at = state.now + CLEAN_TRIAL_PAUSE_MS
        if endpoint.successful_trials >= CLEAN_TRIALS_TO_REJOIN:
            endpoint.reset_failures(state.now)
            state.endpoints.invalidate()


def due_trial(state: BalancerState, request: RequestState, tier: Tier) -> EndpointState | None:
    """An ejected endpoint that an idempotent first attempt may try; a remote one if no local is usable."""
    if request.attempts or request.request_class.idempotency is not Idempotency.IDEMPOTENT:
        return None
    local_zone = state.settings.local_zone
    near = [item for item in state.endpoints.ejected if item.zone == local_zone or not tier.local.endpoints]
    for endpoint in near:
        if endpoint.is_trial_due(state.now) and slow_start.has_capacity(state, endpoint):
            endpoint.is_trial_running = True
            request.is_trial = True
            return endpoint
    return None
