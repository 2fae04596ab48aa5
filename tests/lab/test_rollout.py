"""Many balancers in virtual time and their shared servers, which are replaced while the balancers restart."""

from __future__ import annotations

from dataclasses import replace

import pytest

from walkloom.lab.rollout import Rollout, RolloutSimulator, run

RELEASE = Rollout(
    server_count=52, balancer_count=186, duration_s=25.0, connection_rate_per_server=0.38, server_capacity=32
)


@pytest.mark.parametrize("seed", [1, 2])
def test_affinity_groups_stay_on_few_servers_during_a_release(seed: int) -> None:
    """Guards against affinity groups that spread to more and more servers.

    Each balancer skipped a group's server that was cold or close to its limit and chose another server, and
    every server that holds connections of a group needs capacity for it.
    """
    result = run(replace(RELEASE, seed=seed))
    assert result.violations == []
    assert max(result.server_group_pairs) <= 200
    assert result.served_share > 0.75
    assert result.worst_sample_share > 0.5
    assert result.reset_count < 20


@pytest.mark.parametrize(
    ("changes", "least"),
    [
        ({"server_count": 9, "balancer_count": 3, "initial_connections": 110, "group_count": 8}, 0.6),
        (
            {
                "server_count": 9,
                "balancer_count": 3,
                "zone_count": 1,
                "initial_connections": 110,
                "group_count": 0,
            },
            0.85,
        ),
        ({"server_count": 60, "balancer_count": 230, "zone_count": 1, "group_count": 1}, 0.4),
        (
            {
                "server_count": 100,
                "balancer_count": 230,
                "initial_connections": 1100,
                "group_count": 100,
                "duration_s": 12.0,
            },
            0.5,
        ),
    ],
    ids=["few", "few, no groups", "one group", "hundreds"],
)
def test_a_release_breaks_no_rule_at_any_size(changes: dict[str, object], least: float) -> None:
    result = run(replace(RELEASE, **changes))  # type: ignore[arg-type]
    assert result.violations == [] and result.served_share > least, result.served_share


def test_a_run_is_reproducible_by_its_seed() -> None:
    small = replace(RELEASE, server_count=12, balancer_count=9, initial_connections=60, duration_s=8.0)
    first, second, other = (run(replace(small, seed=seed)).reproducible_fields() for seed in (1, 1, 2))
    assert first == second != other


def test_an_overloaded_cold_server_is_recorded_as_a_violation() -> None:
    simulator = RolloutSimulator(replace(RELEASE, server_count=4, balancer_count=3, initial_connections=0))
    server = simulator.servers.add(started_at_ms=simulator.queue.now_ms)
    for _ in range(16):
        assert simulator.servers.receive_attempt(server)
    assert simulator.result.violations == []
    simulator.servers.receive_attempt(server)
    (violation,) = simulator.result.violations
    assert "overloaded: 17 attempts" in violation.description
