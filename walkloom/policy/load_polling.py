"""When a request waits for load reports, and of which endpoints."""

from walkloom.messages.actions import PollLoadReport
from walkloom.policy import endpoint_selection, load_reports
from walkloom.policy.load_reports import FRESH_REPORT_MS, POLL_WAIT_MS
from walkloom.policy.slow_start import POOL_SAMPLE
from walkloom.state import BalancerState, EndpointPool, Endpoints, RequestState, Tier, TimerToken


def must_wait(state: BalancerState, request: RequestState, tier: Tier) -> bool:
    """Poll endpoints for the request, local ones first; whether it waits for one of them."""
    for pool in tier[request.poll_rounds :]:
        if request.poll_rounds and tier.local.endpoints:
            local = endpoint_selection.candidates(state, request, tier.local, again=True)
            if load_reports.usable(state, request, local.available):
                break
        _poll(state, request, pool)
        if request.awaited_reports:
            state.requests.polling[request.id] = request
            state.start_timer(request.awaited_until, TimerToken.LOAD_REPORTS)
            return True
    return False


def _poll(state: BalancerState, request: RequestState, pool: EndpointPool) -> None:
    """One round: poll those that the request may use, unless their reports are fresh."""
    request.poll_rounds += 1
    request.awaited_until = min(state.now + POLL_WAIT_MS, (state.now + request.deadline) / 2)
    chosen: Endpoints = []
    if pool.endpoints:
        chosen = endpoint_selection.candidates(state, request, pool, again=True).available[:POOL_SAMPLE]
    for endpoint in chosen:
        if state.now - max(endpoint.reported_at, endpoint.polled_at) > FRESH_REPORT_MS:
            endpoint.polled_at = state.now
            state.actions.append(PollLoadReport(endpoint.id))
    unanswered = [item for item in chosen if item.polled_at > item.reported_at]
    request.awaited_reports = {item.id for item in unanswered if state.now - item.polled_at < POLL_WAIT_MS}
