"""Runs experiments, in this process or in several worker processes."""

from __future__ import annotations

import multiprocessing
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.simulator import Simulator


def run(experiment: Experiment) -> Result:
    """Run one experiment in this process."""
    return Simulator(experiment).run()


def run_all(experiments: Sequence[Experiment], processes: int) -> list[Result]:
    """Run experiments in `processes` processes; the results are in the order of the experiments."""
    if processes == 1:
        return [run(experiment) for experiment in experiments]
    with ProcessPoolExecutor(processes, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(run, experiments))
