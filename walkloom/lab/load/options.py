"""The parameters of a load."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.lab.load.errors import LoadError
from walkloom.lab.load.phases import Phase
from walkloom.lab.settings import CLASSES, TENANTS, LabClass

MAX_PROCESSES = 64  # more than the cores of the machines that the tool runs on


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The parameters of one load; raises LoadError if they are invalid."""

    addresses: tuple[str, ...]
    phases: tuple[Phase, ...]
    # of a connection; lifetimes are drawn from an exponential distribution
    mean_lifetime_s: float = 10.0
    # between two lines of a connection; 0: no lines are sent
    line_interval_s: float = 2.0
    processes: int = 1
    # open at a time in all processes; arrivals beyond it are skipped and counted
    max_connections: int = 10_000
    seed: int = 1
    classes: tuple[LabClass, ...] = CLASSES
    tenants: tuple[str, ...] = TENANTS
    group_count: int = 100

    def __post_init__(self) -> None:
        if not self.addresses or not self.phases:
            raise LoadError("a load needs at least one address and one phase")
        if not 1 <= self.processes <= MAX_PROCESSES or self.max_connections < self.processes:
            raise LoadError("processes: 1 to 64, and at most as many as open connections are allowed")

    @property
    def duration_s(self) -> float:
        """Total duration of the phases."""
        return sum(phase.duration_s for phase in self.phases)
