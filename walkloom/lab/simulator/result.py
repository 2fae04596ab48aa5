"""What a simulation measured."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

# Figures of the machine that ran the simulation, which differ from run to run.
MACHINE_FIGURES = ("policy_cpu_us_per_request", "wall_time_s")


class RequestResult(Enum):
    """How a request ended, or that its connection was established."""

    ESTABLISHED = "established"
    REJECTED = "rejected"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # a rule violation
    BALANCER_STOPPED = "balancer stopped"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule of the balancers that an action broke."""

    time_ms: float  # since the start of the run
    description: str

    def __str__(self) -> str:
        return f"{self.time_ms:.0f} ms: {self.description}"


@dataclass
class Result:
    """The figures of one run."""

    # priority-weighted connection time: what clients got, over what they wanted
    served_share: float = 0.0
    # the same for the worst sample of the service monitor
    worst_sample_share: float = 1.0
    # the greatest load of a server that was up, over its capacity
    peak_load: float = 0.0
    # standard deviation of the servers' loads over their mean, as the mean of all samples
    load_variation: float = 0.0
    connection_count: int = 0
    migration_count: int = 0
    load_report_polls: int = 0
    event_count: int = 0
    request_results: Counter[RequestResult] = field(default_factory=Counter)
    attempt_count: int = 0
    # the first ones; `violation_count` has them all
    violations: list[RuleViolation] = field(default_factory=list)
    violation_count: int = 0
    # CPU time of the policy for each request, in all events that are not load reports or list updates
    policy_cpu_us_per_request: float = 0.0
    wall_time_s: float = 0.0

    def reproducible(self) -> dict[str, Any]:
        """Return the figures on which two runs of one experiment must agree, as plain values."""
        figures = {name: value for name, value in vars(self).items() if name not in MACHINE_FIGURES}
        figures["request_results"] = {each.value: count for each, count in self.request_results.items()}
        return figures
