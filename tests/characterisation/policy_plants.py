"""Planted changes of rules, as old and new source text; `policy_check` tests that the scripts detect them."""

from __future__ import annotations

UNCHECKED_CONSTANTS: tuple[str, ...] = ()

PLANTS = {
    "greater of two draws": (
        "return min(drawn, key=lambda endpoint: _relative_load(state, endpoint))",
        "return max(drawn, key=lambda endpoint: _relative_load(state, endpoint))",
    ),
    "draining servers are no fallback": (
        "return Tier.split(ready or draining, state.settings.local_zone)",
        "return Tier.split(ready, state.settings.local_zone)",
    ),
    "retry after the deduplication window": (
        "is_in_window = state.now + 2 * state.settings.tick_ms < window_ends_at",
        "is_in_window = True",
    ),
    "retry of an unsafe request": (
        "return request_class.idempotency is Idempotency.WITH_KEY and is_in_window",
        "return is_in_window or request_class.idempotency is Idempotency.NOT_IDEMPOTENT",
    ),
    "deduplication scope not observed": (
        "request.may_have_run_on = endpoint if request.request_class.is_deduplicated_locally else None",
        "request.may_have_run_on = None",
    ),
    "drain grace without the slack of two rounds": (
        "grace_started_after = state.now - state.settings.drain_grace_ms + margin_ms",
        "grace_started_after = state.now - state.settings.drain_grace_ms",
    ),
    "one attempt more than allowed": (
        "    if request.sent_attempts >= state.max_attempts:\n        return AnswerReason.ATTEMPTS_USED\n",
        "    if request.sent_attempts > state.max_attempts:\n        return AnswerReason.ATTEMPTS_USED\n",
    ),
    "cold servers have no budget": (
        "endpoint.cold_budget = int(_budget(state, endpoint, elapsed_ms) + state.random.random())",
        "endpoint.cold_budget = 1000",
    ),
    "at capacity counts as a failure": (
        "is_failure = event.status in outlier_detection.FAILURE_STATUSES",
        "is_failure = event.status in (*outlier_detection.FAILURE_STATUSES, AttemptStatus.AT_CAPACITY)",
    ),
    "trials are not reserved for idempotent requests": (
        "    if request.request_class.idempotency is Idempotency.IDEMPOTENT:\n        return True\n"
        "    if request.may_have_run_at >= 0:\n",
        "    if request.may_have_run_at < 0:\n        return True\n    if request.may_have_run_at >= 0:\n",
    ),
    "no trials of requests that are not idempotent": (
        "    return not tier.size or endpoint.successful_trials > 0 or is_unclaimed\n",
        "    return False\n",
    ),
    "own zone not preferred": ("    for pool in tier:\n", "    for pool in tier[::-1]:\n"),
    "a retry may go to the same server": (
        "include_attempted = len(request.attempted_endpoints) >= tier.size",
        "include_attempted = True",
    ),
    "overloaded endpoints are not paused": (
        "    endpoint.paused_until = state.now + slow_start.SLOW_MESSAGE_WINDOW_MS\n",
        "",
    ),
    "restarted servers keep their past": (
        "            endpoint.reset_for_restart(now)\n",
        "            pass\n",
    ),
    "rejected where a failure is required": (
        "if request.may_have_run_at < 0 or request.request_class.is_repeatable_anywhere:",
        "if True:",
    ),
    "held requests lie past their deadline": (
        "if remaining or next_round_at >= request.deadline:",
        "if remaining:",
    ),
    "silent servers are not passed over": (
        "return [item for item in endpoints if state.now - item.reported_at <= max_age_ms] or endpoints",
        "return endpoints",
    ),
    "groups have no preferred endpoints": (
        "        chosen = _group_endpoints(state, request, pool)\n",
        "        pass\n",
    ),
    "requests that wait are not ended at shutdown": (
        "    for request in [*state.requests.held.values(), *state.requests.polling.values()]:\n"
        "        answer(state, request, AnswerReason.SHUTDOWN)\n",
        "",
    ),
}
