"""What the load tool sends."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.lab.load.errors import LoadError
from walkloom.lab.load.phases import Phase
from walkloom.lab.settings import CLASSES, TENANTS, LabClass

MAX_PROCESSES = 64  # more than the cores of any machine that the tool has run on


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """One load; raises LoadError where it makes no sense."""

    addresses: tuple[str, ...]
    phases: tuple[Phase, ...]
    # of a connection; drawn from an exponential distribution
    mean_lifetime_s: float = 10.0
    # between two lines of a connection; 0: none
    line_interval_s: float = 2.0
    processes: int = 1
    # open at a time in all processes, beyond which arrivals are skipped and counted
    max_connections: int = 10_000
    seed: int = 1
    classes: tuple[LabClass, ...] = CLASSES
    tenants: tuple[str, ...] = TENANTS
    group_count: int = 100

    def __post_init__(self) -> None:
        if not self.addresses or not self.phases:
            raise LoadError("a load needs an address and a phase")
        if not 1 <= self.processes <= MAX_PROCESSES or self.max_connections < self.processes:
            raise LoadError("processes: 1 to 64, and each may hold a connection")

    @property
    def duration_s(self) -> float:
        """Duration of all phases."""
        return sum(phase.duration_s for phase in self.phases)
