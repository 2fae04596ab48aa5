"""Rule 2: whether a request that may have run may be sent again."""

from walkloom.messages.settings import Idempotency
from walkloom.state import BalancerState, EndpointState, Execution, RequestState


def may_retry(state: BalancerState, request: RequestState) -> bool:
    """Whether one more attempt has no further effect after those that may have run (rule 2)."""
    request_class = request.request_class
    if request.may_have_run_at < 0 or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    window_ends_at = request.may_have_run_at + request_class.deduplication_window_ms
    is_in_window = state.now + 2 * state.settings.tick_ms < window_ends_at
    return request_class.idempotency is Idempotency.WITH_KEY and is_in_window


def record_execution(state: BalancerState, request: RequestState, endpoint: EndpointState) -> None:
    """Record that an attempt of the request may have run on an endpoint."""
    request.may_have_run_at = request.sent_at
    request.may_have_run_on = endpoint if request.request_class.is_deduplicated_locally else None
    key = request.request.idempotency_key
    if key is not None and request.request_class.idempotency is not Idempotency.IDEMPOTENT:
        execution = Execution(request.may_have_run_at, request.may_have_run_on)
        state.executed_requests.record(key, execution)


def recall_execution(state: BalancerState, request: RequestState) -> None:
    """Treat a request that its client sends again like a retry, if it may have run before (rule 2)."""
    if execution := state.executed_requests.find(request.request.idempotency_key):
        request.may_have_run_at = execution.sent_at
        request.may_have_run_on = execution.endpoint
