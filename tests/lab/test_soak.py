"""A short seeded soak test of real balancer processes: no rule is broken on any seed."""

from __future__ import annotations

import pytest

from walkloom.lab.soak import deployment, schedule
from walkloom.lab.soak.campaign import run_seeds
from walkloom.lab.soak.runner import RunPlan

# Two seeds with a crowd (multiples of four), polled and pushed lists, 1 to 230 balancers in the settings.
SEEDS = (1, 2, 4, 6, 7, 8, 9, 13)
CONCURRENT_RUNS = 4


def test_no_rule_is_broken_under_seeded_faults() -> None:
    lines: list[str] = []
    violation_count = run_seeds(SEEDS, parallel=CONCURRENT_RUNS, small=True, write_line=lines.append)
    assert violation_count == 0, "\n".join(lines)


@pytest.mark.parametrize("seed", [1, 4, 7])
def test_the_same_seed_gives_the_same_run(seed: int) -> None:
    assert RunPlan.from_seed(seed) == RunPlan.from_seed(seed)
    assert RunPlan.from_seed(seed) != RunPlan.from_seed(seed + 1)


def test_the_seeds_of_ci_cover_the_kinds_of_runs() -> None:
    drawn = [deployment.draw(seed) for seed in SEEDS]
    assert {each.is_pushed for each in drawn} == {each.has_crowd for each in drawn} == {True, False}
    assert min(each.balancer_count for each in drawn) == 1
    assert max(each.balancer_count for each in drawn) == 230
    kinds = {
        step.kind for seed, each in zip(SEEDS, drawn, strict=True) for step in schedule.draw(seed, each).steps
    }
    assert len(kinds) >= 12
