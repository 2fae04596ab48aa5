"""Runs many seeds, each in its own process, so that no run delays the stand-ins of another."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import trio

from walkloom.lab.soak import report
from walkloom.lab.soak.runner import RunPlan, execute_run


def run_seeds(
    seeds: Iterable[int],
    *,
    parallel: int,
    small: bool = False,
    folder: Path | None = None,
    write_line: Callable[[str], object] = print,
) -> int:
    """Run the seeds, and return the number of violations.

    parallel: runs at a time. small: see RunPlan.from_seed. folder: where timelines are written, if anywhere.
    write_line: gets the summary line of each run and its first violations.
    """
    total = 0
    with ProcessPoolExecutor(parallel) as executor:
        for lines, violation_count in executor.map(partial(_run_seed, small=small, folder=folder), seeds):
            for line in lines:
                write_line(line)
            total += violation_count
    return total


def _run_seed(seed: int, *, small: bool, folder: Path | None) -> tuple[list[str], int]:
    """Run one seed; return its summary and first violations as lines, and the number of all violations."""
    result = trio.run(execute_run, RunPlan.from_seed(seed, small=small))
    name = f"seed-{seed}"
    if folder:
        report.write_timelines(folder, name, result)
    violation_lines = [f"  {violation}" for violation in result.violations[: report.MAX_TIMELINES]]
    return [report.summary_line(name, result), *violation_lines], len(result.violations)
