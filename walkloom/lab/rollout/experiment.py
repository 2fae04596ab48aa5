"""What a simulated release plays, and what it measured."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.result import Result


@dataclass(frozen=True, slots=True)
class Rollout(Experiment):
    """An experiment with a release in it."""

    drained_share: float = 0.0
    crashed_share: float = 0.0
    failing_share: float = 0.0
    mean_lifetime_s: float = 30.0
    zone_count: int = 3
    # affinity groups, of sizes by Zipf's law; 0: none
    group_count: int = 32
    # connections of mean load that a server needs for each group that it holds connections of
    group_cost: float = 3.0
    # connections at the start, packed by group
    initial_connections: int = 600
    # share of the servers that are replaced
    replaced_share: float = 0.5
    # whether the balancers restart, a tenth at a time
    restarts_balancers: bool = True
    # share of the servers that hang
    hung_share: float = 0.05
    load_report_delay_ms: float = 200.0


@dataclass
class RolloutResult(Result):
    """The figures of a release."""

    # pairs of a server and a group that it holds connections of, in each sample
    server_group_pairs: list[int] = field(default_factory=list)
    # the most attempts at a cold server within a window, over what overloads it
    cold_server_peak: float = 0.0
    # connections that overloaded servers reset
    reset_count: int = 0
