"""Real balancer processes whose list is stale, as discovery fails while servers begin to drain."""

from __future__ import annotations

import pytest
import trio

from walkloom.lab.soak.history import RequestAnswered
from walkloom.lab.soak.runner import RunResult, play
from walkloom.lab.soak.scenarios import SCENARIOS

# Runs at a time: each has three processes.
CONCURRENT_RUNS = 6


@pytest.fixture(scope="module")
def results(request: pytest.FixtureRequest) -> dict[str, RunResult]:
    """The runs of all scenarios that were chosen, played at the same time."""
    names = " ".join(item.name for item in request.session.items)
    chosen = [name for name in SCENARIOS if f"[{name}]" in names or "down_does_not" in names]
    results: dict[str, RunResult] = {}

    async def play_one(name: str, limiter: trio.CapacityLimiter) -> None:
        async with limiter:
            results[name] = await play(SCENARIOS[name]())

    async def play_all() -> None:
        limiter = trio.CapacityLimiter(CONCURRENT_RUNS)
        async with trio.open_nursery() as nursery:
            for name in chosen:
                nursery.start_soon(play_one, name, limiter)

    trio.run(play_all)
    return results


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_new_work_reaches_a_server_whose_drain_counts_as_notified(
    name: str, results: dict[str, RunResult]
) -> None:
    result = results[name]
    assert not result.violations, "\n".join(map(str, result.violations[:5]))


def test_a_discovery_that_is_seen_to_be_down_does_not_stop_new_work(results: dict[str, RunResult]) -> None:
    result = results["discovery_refuses_until_the_end"]
    assert any(isinstance(record, RequestAnswered) for record in result.history.records)
    assert "list_expired" not in "".join(result.logs.values())
