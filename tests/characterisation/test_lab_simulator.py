"""The simulator's results for small seeded runs; the adapter maps its words to the names in the program."""

from __future__ import annotations

from functools import partial

import pytest

from tests.characterisation.lab_simulator_adapter import run_experiment, run_experiments, run_release
from tests.characterisation.recording import Script, committed, digest

PART = "lab_simulator"
SCRIPTS: dict[str, Script] = {
    "a plain day": partial(run_experiment, servers=10, balancers=3, seconds=12.0),
    "a bad day": partial(
        run_experiment,
        servers=12,
        balancers=4,
        seconds=10.0,
        rate=1.6,
        drained=0.25,
        crashed=0.17,
        failing=0.25,
        seed=2,
    ),
    "too much of everything": partial(
        run_experiment,
        servers=6,
        balancers=2,
        seconds=9.0,
        rate=6.0,
        fill=12,
        setup=25.0,
        list_delay=300.0,
        seed=3,
    ),
    "two short days": partial(
        run_experiments,
        1,
        {"servers": 5, "balancers": 1, "seconds": 6.0},
        {"servers": 5, "balancers": 5, "seed": 4},
    ),
    "a release": partial(
        run_release, servers=20, balancers=12, seconds=20.0, rate=0.4, fill=32, standing=200
    ),
    "a release under load": partial(
        run_release,
        servers=10,
        balancers=6,
        seconds=20.0,
        rate=1.6,
        fill=20,
        zones=2,
        groups=12,
        group_cost=1.5,
        standing=160,
        hung=0.1,
        report_delay=600.0,
        seed=5,
    ),
    "a release of cold servers at their limit": partial(
        run_release,
        servers=4,
        balancers=3,
        seconds=14.0,
        rate=8.0,
        fill=4,
        life=4.0,
        zones=1,
        groups=0,
        standing=10,
        restarts=False,
        hung=0.0,
        seed=6,
    ),
}


@pytest.mark.parametrize("name", SCRIPTS)
def test_the_simulator_gives_the_recorded_results(name: str) -> None:
    assert digest(SCRIPTS[name]()) == committed(PART)[name]
