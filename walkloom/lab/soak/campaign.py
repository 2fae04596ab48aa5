"""Plays many seeds, each in a process of its own, so that no run delays the stand-ins of another."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import trio

from walkloom.lab.soak import report
from walkloom.lab.soak.runner import RunPlan, play


def run_seeds(
    seeds: Iterable[int],
    *,
    parallel: int,
    small: bool = False,
    folder: Path | None = None,
    tell: Callable[[str], object] = print,
) -> int:
    """Play the seeds, tell the verdict of each, and return the number of violations.

    parallel: how many at a time. small: see RunPlan.of_seed. folder: for timelines; None: none are written.
    """
    total = 0
    with ProcessPoolExecutor(parallel) as executor:
        for lines, violation_count in executor.map(partial(_run_seed, small=small, folder=folder), seeds):
            for line in lines:
                tell(line)
            total += violation_count
    return total


def _run_seed(seed: int, *, small: bool, folder: Path | None) -> tuple[list[str], int]:
    """Play one seed; return its verdict and violations as lines, and their number."""
    result = trio.run(play, RunPlan.of_seed(seed, small=small))
    name = f"seed-{seed}"
    if folder:
        report.write_timelines(folder, name, result)
    shown = [f"  {violation}" for violation in result.violations[: report.MAX_TIMELINES]]
    return [report.verdict(name, result), *shown], len(result.violations)
