"""Real balancer processes whose endpoint list is stale: discovery fails while servers begin to drain."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest
import trio

from walkloom.lab.soak.history import DiscoveryReachable, RequestAnswered, RequestSent
from walkloom.lab.soak.runner import RunResult, execute_run
from walkloom.lab.soak.scenarios import SCENARIOS

# Runs at a time; each has three balancer processes and one process for the stand-ins.
CONCURRENT_RUNS = 6

# Scenarios in which balancers can detect that discovery is down. The agent of a pushed list is not among
# them: what it had before its silence counts as notified, and its last answer may not have shown it.
DISCOVERY_IS_DOWN = ("discovery_refuses_until_the_end",)

# Scenarios in which the agent of a pushed list answers no call for some seconds.
AGENT_RETURNS = (
    "pushed_list_and_processes_that_start_in_an_outage",
    "pushed_list_and_processes_that_start_while_the_agent_refuses",
    "pushed_watch_ends_just_before_the_drain_and_an_outage",
    "pushed_list_with_a_short_grace_and_the_watch_ends_just_before_the_drain",
    "pushed_list_and_a_reload_to_a_silent_agent",
    "pushed_answers_cut_from_the_drain_on",
)

# New work must be placed this long after the agent answers again.
MAX_RECOVERY_S = 0.5

# A waiting request is answered this long before its deadline at the earliest: two rounds of held requests,
# and the margin for the answer.
MAX_EARLY_REJECTION_S = 0.25


def play_scenario(name: str) -> RunResult:
    return trio.run(execute_run, SCENARIOS[name]())


@pytest.fixture(scope="module")
def results(request: pytest.FixtureRequest) -> dict[str, RunResult]:
    """The results of all selected scenarios, run in parallel."""
    names = " ".join(item.name for item in request.session.items)
    chosen = [name for name in SCENARIOS if f"[{name}]" in names]
    with ProcessPoolExecutor(CONCURRENT_RUNS) as executor:
        return dict(zip(chosen, executor.map(play_scenario, chosen), strict=True))


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_new_work_reaches_a_server_whose_drain_counts_as_notified(
    name: str, results: dict[str, RunResult]
) -> None:
    result = results[name]
    assert not result.violations, "\n".join(map(str, result.violations[:5]))


@pytest.mark.parametrize("name", DISCOVERY_IS_DOWN)
def test_a_discovery_that_is_seen_to_be_down_does_not_stop_new_work(
    name: str, results: dict[str, RunResult]
) -> None:
    result = results[name]
    assert any(isinstance(record, RequestAnswered) for record in result.history.records)
    assert "list_expired" not in "".join(result.logs.values())


@pytest.mark.parametrize("name", AGENT_RETURNS)
def test_new_work_is_placed_soon_after_the_agent_of_a_pushed_list_answers(
    name: str, results: dict[str, RunResult]
) -> None:
    records = results[name].history.records
    returned_at = max(record.at for record in records if isinstance(record, DiscoveryReachable))
    sent = [record for record in records if isinstance(record, RequestSent)]
    late = {record.request for record in sent if record.at > returned_at + MAX_RECOVERY_S}
    words = [
        record.word for record in records if isinstance(record, RequestAnswered) and record.request in late
    ]
    assert "UP" in words and "BUSY" not in words


@pytest.mark.parametrize("name", [*AGENT_RETURNS, "pushed_agent_silent_until_the_end"])
def test_a_request_waits_for_a_silent_agent_as_long_as_its_deadline_allows(
    name: str, results: dict[str, RunResult]
) -> None:
    """Guards against rejections of requests that the agent's next answer would have served."""
    records = results[name].history.records
    sent = {record.request: record for record in records if isinstance(record, RequestSent)}
    rejected = [record for record in records if isinstance(record, RequestAnswered) and record.word == "BUSY"]
    assert rejected
    for answer in rejected:
        request = sent[answer.request]
        assert answer.at > request.at + request.deadline_ms / 1000.0 - MAX_EARLY_REJECTION_S
