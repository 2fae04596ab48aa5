"""The simulator: the same to the byte by seed, rules checked on every action, and a service that makes
sense."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from walkloom.lab.simulator.simulator import Experiment, Sim, run, run_all
from walkloom.messages import Action, Reject, StartAttempt

SMALL = Experiment(servers=10, balancers=3, seconds=20.0)


def test_a_run_is_the_same_to_the_byte_by_its_seed() -> None:
    first, second, other = (orjson.dumps(run(replace(SMALL, seed=s)).same()) for s in (1, 1, 2))
    assert first == second != other


def test_seeds_in_processes_of_their_own_give_the_same() -> None:
    asked = [replace(SMALL, seed=seed, seconds=5.0) for seed in (1, 2)]
    assert [r.same() for r in run_all(asked, 2)] == [r.same() for r in run_all(asked, 1)]


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_fleet_with_room_serves_through_drains_crashes_and_failures(seed: int) -> None:
    result = run(replace(SMALL, servers=40, seed=seed))
    assert result.faults == [] and result.served > 0.95 and result.peak < 1.5
    assert result.answers["up"] >= result.connections * 0.98 and result.probes > 100


@pytest.mark.parametrize("seed", range(1, 4))
def test_forty_balancers_fill_no_server_before_its_report(seed: int) -> None:
    """Each knew only its own connections: one came to 0.72 to 0.96 of its capacity in a fleet at 0.6."""
    result = run(replace(SMALL, balancers=40, seed=seed))
    assert result.faults == [] and result.peak < 0.71


def test_too_much_for_the_fleet_is_seen_as_such() -> None:
    calm = run(replace(SMALL, drains=0.0, crashes=0.0, failing=0.0))
    crowded = run(replace(SMALL, drains=0.0, crashes=0.0, failing=0.0, rate=3.0))
    assert calm.served > 0.97 > 0.85 > crowded.served and crowded.answers["refused"] > 20
    assert crowded.faults == []


def test_servers_that_are_gone_get_nothing_more_and_their_clients_return() -> None:
    sim = Sim(replace(SMALL, drains=0.3, crashes=0.3, failing=0.0, list_ms=200.0))
    result = sim.run()
    assert result.faults == [] and result.answers["up"] > result.connections
    assert all(not s.held for s in sim.servers.values() if s.draining or not s.up)


class Rude(Sim):
    """A module that breaks a rule on purpose."""

    def __init__(self, fault: str) -> None:
        super().__init__(replace(SMALL, list_ms=0.0, drains=0.5))
        self.breaks, self.done = fault, False

    def _act(self, number: int, action: Action) -> None:
        if isinstance(action, StartAttempt) and not self.done:
            drained = [i for i, at in self._told[number].items() if self.now > at + 600.0]
            if self.breaks == "late" and drained:
                self.done = True
                return super()._act(number, action._replace(endpoint_id=drained[0]))
            if self.breaks == "twice":
                self.done = True
                super()._act(number, action)
            if self.breaks == "silent":
                self.done = True
                return None
            if self.breaks == "answered":
                self.done = True
                super()._act(number, Reject(action.request_id))
        return super()._act(number, action)


@pytest.mark.parametrize(
    "fault, text",
    [
        ("late", "after its drain was told"),
        ("twice", "two attempts at once"),
        ("silent", "no final answer"),
        ("answered", "which is not open there"),
    ],
)
def test_each_rule_that_is_broken_on_purpose_is_caught(fault: str, text: str) -> None:
    sim = Rude(fault)
    sim.run()
    assert sim.done and any(text in line for line in sim.result.faults), sim.result.faults
