"""When a request waits for load reports, and which endpoints are polled for it."""

from walkloom.messages.actions import PollLoadReport
from walkloom.policy import endpoint_selection, load_reports
from walkloom.policy.load_reports import FRESH_REPORT_MS, MAX_POLL_WAIT_MS
from walkloom.policy.slow_start import POOL_SAMPLE_SIZE
from walkloom.state import BalancerState, EndpointPool, Endpoints, RequestState, Tier, TimerToken


def must_wait(state: BalancerState, request: RequestState, tier: Tier) -> bool:
    """Poll endpoints for the request, local ones first; return whether it waits for any of them."""
    for pool in tier[request.poll_rounds :]:
        if request.poll_rounds and tier.local.endpoints:
            local = endpoint_selection.candidates(state, request, tier.local, include_attempted=True)
            if load_reports.usable(state, request, local.available):
                break
        _poll(state, request, pool)
        if request.awaited_reports:
            state.requests.polling[request.id] = request
            state.start_timer(request.awaited_until, TimerToken.LOAD_REPORTS)
            return True
    return False


def _poll(state: BalancerState, request: RequestState, pool: EndpointPool) -> None:
    """Run one round: poll the endpoints that the request may use, except those with fresh reports."""
    request.poll_rounds += 1
    request.awaited_until = min(state.now + MAX_POLL_WAIT_MS, (state.now + request.deadline) / 2)
    chosen: Endpoints = []
    if pool.endpoints:
        chosen = endpoint_selection.candidates(state, request, pool, include_attempted=True).available[
            :POOL_SAMPLE_SIZE
        ]
    for endpoint in chosen:
        if state.now - max(endpoint.reported_at, endpoint.polled_at) > FRESH_REPORT_MS:
            endpoint.polled_at = state.now
            state.actions.append(PollLoadReport(endpoint.id))
    unanswered = [item for item in chosen if item.polled_at > item.reported_at]
    request.awaited_reports = {
        item.id for item in unanswered if state.now - item.polled_at < MAX_POLL_WAIT_MS
    }
