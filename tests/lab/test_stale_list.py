"""Real balancer processes whose endpoint list is stale: discovery fails while servers begin to drain."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest
import trio

from walkloom.lab.soak.history import RequestAnswered
from walkloom.lab.soak.runner import RunResult, execute_run
from walkloom.lab.soak.scenarios import SCENARIOS

# Runs at a time; each has three balancer processes and one process for the stand-ins.
CONCURRENT_RUNS = 6

# Scenarios in which balancers can detect that discovery is down.
DISCOVERY_IS_DOWN = ("discovery_refuses_until_the_end", "pushed_agent_silent_until_the_end")


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
