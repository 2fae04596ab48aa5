"""The life cycle of a request: attempt, retry, hold, reject. Events and actions: walkloom/messages/."""

from walkloom.messages.actions import AnswerReason, Fail, Reject, StartAttempt
from walkloom.messages.events import NEVER_RAN, AttemptEnded, AttemptStatus
from walkloom.messages.settings import Idempotency
from walkloom.policy import (
    endpoint_selection,
    list_lease,
    load_polling,
    migration,
    outlier_detection,
    retry_safety,
)
from walkloom.policy.load_reports import REPORT_MAX_AGE_MS
from walkloom.policy.slow_start import RECOVERY_MS
from walkloom.state import BalancerState, EndpointState, Placement, RequestState, TimerToken

HOLD_INTERVAL_MS = 100.0  # between two rounds of placing the requests that wait for capacity
HELD_REQUESTS_PER_INTERVAL = 8  # that still find no capacity before a round stops; bounds the work of a burst
MEAN_RETRY_AFTER_MS = 1000.0  # named by rejections, with jitter so that the clients of a burst spread out
FULL_TIMEOUT_SHARE = 0.7  # an attempt that would take a larger share of the remaining time gets all of it


def place(state: BalancerState, request: RequestState) -> None:
    """Start an attempt for a request with none running, hold the request, or give its final answer."""
    if reason := _answer_reason(state, request):
        answer(state, request, reason)
        return
    if not list_lease.is_valid(state):
        _hold(state, request, AnswerReason.LIST_EXPIRED)
        return
    tier = endpoint_selection.tier_for(state, request)
    if state.uses_load_reports and load_polling.must_wait(state, request, tier):
        return
    endpoint = outlier_detection.select_trial(state, request, tier)
    endpoint = endpoint or endpoint_selection.select(state, request, tier)
    if endpoint:
        _start_attempt(state, request, endpoint)
    elif not tier.size:
        answer(state, request, AnswerReason.NO_ENDPOINT)
    elif request.poll_rounds > 1:
        answer(state, request, AnswerReason.AT_CAPACITY)
    else:
        _hold(state, request, AnswerReason.AT_CAPACITY)


def _latest_send_at(state: BalancerState, request: RequestState) -> float:
    return request.deadline - 2 * state.settings.tick_ms


def _hold(state: BalancerState, request: RequestState, reason: AnswerReason) -> None:
    """Hold a request until the next round, or answer it if that may be too late for its deadline."""
    if state.now + HOLD_INTERVAL_MS >= _latest_send_at(state, request):
        answer(state, request, reason)
        return
    state.requests.held[request.id] = request
    _start_hold_timer(state)


def _answer_reason(state: BalancerState, request: RequestState) -> AnswerReason | None:
    """Return why no further attempt can be made for the request; None if one can."""
    if state.max_attempts == 0:
        return AnswerReason.SHUTDOWN
    if not list_lease.is_valid(state) and not list_lease.allows_waiting(state):
        return AnswerReason.LIST_EXPIRED
    if request.sent_attempts >= state.max_attempts:
        return AnswerReason.ATTEMPTS_USED
    if state.now >= _latest_send_at(state, request):
        return AnswerReason.DEADLINE
    return None if retry_safety.may_retry(state, request) else AnswerReason.NOT_REPEATABLE


def _start_attempt(state: BalancerState, request: RequestState, endpoint: EndpointState) -> None:
    remaining_ms = request.deadline - state.now
    timeout_ms = request.request_class.latency_objective_ms * 2**request.sent_attempts
    request.attempts += 1
    is_last = request.sent_attempts >= state.max_attempts
    may_repeat = request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    if is_last or timeout_ms > FULL_TIMEOUT_SHARE * remaining_ms or not may_repeat:
        timeout_ms = remaining_ms
    request.sent_at = state.now
    request.attempted_endpoints.add(endpoint.id)
    state.assign(request, endpoint)
    if state.uses_load_reports:
        endpoint.add_placement(Placement(state.now, request.load), REPORT_MAX_AGE_MS)
    endpoint.cold_budget -= 1
    migration.pause_after_overload(state, endpoint)
    state.actions.append(StartAttempt(request.id, endpoint.id, timeout_ms))


def answer(state: BalancerState, request: RequestState, reason: AnswerReason) -> None:
    """Give the final answer to a request with no running attempt: reject if a repeat is safe, else fail."""
    state.requests.remove(request.id)
    retry_after_ms = MEAN_RETRY_AFTER_MS * (0.5 + state.random.random())
    retry_after_ms = min(retry_after_ms, state.settings.max_retry_after_ms)
    if request.may_have_run_at < 0 or request.request_class.is_repeatable_anywhere:
        state.actions.append(Reject(request.id, retry_after_ms, reason))
    else:
        state.actions.append(Fail(request.id, reason))


def receive_attempt_ended(state: BalancerState, event: AttemptEnded) -> None:
    """Handle the end of an attempt or a connection: retry the request unless it is finished."""
    if (attempt := state.requests.attempt_of(event)) is None:
        return
    request, endpoint = attempt
    was_trial = attempt.end_trial()
    state.release(request, endpoint)
    is_failure = event.status in outlier_detection.FAILURE_STATUSES
    if event.status is AttemptStatus.AT_CAPACITY or (request.is_established and is_failure):
        endpoint.paused_until = state.now + RECOVERY_MS
    if is_failure:
        outlier_detection.record_failure(state, endpoint)
    elif event.status is AttemptStatus.OK and not request.is_established:
        outlier_detection.record_success(state, endpoint, was_trial)
    if event.status not in NEVER_RAN and request.may_have_run_at < 0:
        retry_safety.record_execution(state, request, endpoint)
    if event.request_closed or request.is_established or request.is_disconnected:
        state.requests.remove(event.request_id)
        return
    if event.status is AttemptStatus.NOT_SENT and not list_lease.is_valid(state):
        request.forget_unsent_attempt(endpoint)
    place(state, request)


def place_held(state: BalancerState) -> None:
    """Place held requests again: some, and all that would be too late in the next round."""
    state.is_hold_timer_running = False
    remaining = HELD_REQUESTS_PER_INTERVAL
    for request_id, request in list(state.requests.held.items()):
        next_round_at = state.now + HOLD_INTERVAL_MS + 2 * state.settings.tick_ms
        if remaining or next_round_at >= request.deadline:
            del state.requests.held[request_id]
            place(state, request)
            remaining -= remaining > 0 and request_id in state.requests.held
    _start_hold_timer(state)


def place_all_held(state: BalancerState) -> None:
    """Place all held requests, after the list they waited for was confirmed."""
    held = list(state.requests.held.values())
    state.requests.held.clear()
    for request in held:
        place(state, request)


def _start_hold_timer(state: BalancerState) -> None:
    if state.requests.held and not state.is_hold_timer_running:
        state.is_hold_timer_running = True
        state.start_timer(state.now + HOLD_INTERVAL_MS, TimerToken.HELD_REQUESTS)


def shut_down(state: BalancerState) -> None:
    """Answer all requests with no attempt running; no further attempt is made for the others."""
    state.max_attempts = 0
    for request in [*state.requests.held.values(), *state.requests.polling.values()]:
        answer(state, request, AnswerReason.SHUTDOWN)
