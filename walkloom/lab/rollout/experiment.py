"""The parameters and the measurements of a simulated release."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.result import Result


@dataclass(frozen=True, slots=True)
class Rollout(Experiment):
    """The sizes and faults of a release. Shares are between 0 and 1."""

    drained_share: float = 0.0
    crashed_share: float = 0.0
    failing_share: float = 0.0
    mean_lifetime_s: float = 30.0
    zone_count: int = 3
    # number of affinity groups, whose sizes follow Zipf's law; 0: none
    group_count: int = 32
    # load on a server for each group that has connections there, in connections of mean load
    group_cost: float = 3.0
    # connections that exist at the start, placed so that a group shares as few servers as possible
    initial_connections: int = 600
    # share of the servers that the release replaces
    replaced_share: float = 0.5
    # whether the balancers restart too, a tenth at a time
    restarts_balancers: bool = True
    # share of the servers that hang
    hung_share: float = 0.05
    # minimum age of the load that a server reports
    load_report_delay_ms: float = 200.0


@dataclass
class RolloutResult(Result):
    """The measurements of a release."""

    # number of pairs of a server and a group that has connections there, for each sample
    server_group_pairs: list[int] = field(default_factory=list)
    # the most attempts at a cold server within one window, over the number that overloads it
    cold_server_peak: float = 0.0
    # number of connections that overloaded servers reset
    reset_count: int = 0
