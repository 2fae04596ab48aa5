"""The measurements of a simulation."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

# Fields that depend on the machine and differ between runs of the same experiment.
MACHINE_DEPENDENT_FIELDS = ("policy_cpu_us_per_request", "wall_time_s")


class RequestResult(Enum):
    """The final answer to a request, or that its connection was established."""

    ESTABLISHED = "established"
    REJECTED = "rejected"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # also recorded as a rule violation
    BALANCER_STOPPED = "balancer stopped"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of one of the balancers' rules."""

    time_ms: float  # since the start of the run
    description: str

    def __str__(self) -> str:
        return f"{self.time_ms:.0f} ms: {self.description}"


@dataclass
class Result:
    """The measurements of one run."""

    # connection time that clients got over the time that they wanted, weighted by priority
    served_share: float = 0.0
    # the same ratio in the worst sample of the service monitor
    worst_sample_share: float = 1.0
    # the highest load of a server that was up, over its capacity
    peak_load: float = 0.0
    # coefficient of variation of the servers' loads (standard deviation over mean), averaged over the samples
    load_variation: float = 0.0
    connection_count: int = 0
    migration_count: int = 0
    load_report_polls: int = 0
    event_count: int = 0
    request_results: Counter[RequestResult] = field(default_factory=Counter)
    attempt_count: int = 0
    # the first violations; `violation_count` counts all
    violations: list[RuleViolation] = field(default_factory=list)
    violation_count: int = 0
    # CPU time of the policy per request, without load reports and endpoint list updates
    policy_cpu_us_per_request: float = 0.0
    wall_time_s: float = 0.0

    def reproducible_fields(self) -> dict[str, Any]:
        """Return the fields that are equal in all runs of the same experiment, as plain values."""
        figures = {name: value for name, value in vars(self).items() if name not in MACHINE_DEPENDENT_FIELDS}
        figures["request_results"] = {each.value: count for each, count in self.request_results.items()}
        return figures
