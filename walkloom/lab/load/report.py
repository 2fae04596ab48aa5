"""What came of a load."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields

from walkloom.client.metrics import Histogram

MAX_LATENESS_P99_MS = 10.0  # beyond it, the tool's own delays show in the set-up times
MAX_CPU_SHARE = 0.9  # of a core: a process near all of it sends late
PRINTED_PERCENTILES = (50.0, 90.0, 99.0, 100.0)


@dataclass
class LoadReport:
    """The figures of one process of the tool, or of all."""

    arrivals: int = 0
    established: int = 0
    # established within the latency objective of the class
    within_objective: int = 0
    rejected: int = 0
    # answered otherwise, or disconnected before an answer
    failed: int = 0
    timed_out: int = 0
    connect_failures: int = 0
    # arrivals beyond the tool's own limit of open connections
    skipped: int = 0
    migrated: int = 0
    # ended without MOVE or BYE
    broken: int = 0
    lines_sent: int = 0
    lines_unanswered: int = 0
    setup_times: Histogram = field(default_factory=Histogram)
    line_times: Histogram = field(default_factory=Histogram)
    # how late the tool began its arrivals
    lateness: Histogram = field(default_factory=Histogram)
    # of a core, by the busiest process of the tool
    cpu_share: float = 0.0

    def add(self, other: LoadReport) -> None:
        """Add the figures of another process."""
        for each in fields(self):
            mine = getattr(self, each.name)
            theirs = getattr(other, each.name)
            if isinstance(mine, Histogram):
                mine.merge(theirs)
            elif each.name == "cpu_share":
                self.cpu_share = max(mine, theirs)
            else:
                setattr(self, each.name, mine + theirs)

    def distrust_reason(self) -> str:
        """Return why the figures say little of the balancer; empty where they can be trusted."""
        lateness_ms = self.lateness.value_at(99.0)
        if lateness_ms > MAX_LATENESS_P99_MS:
            return f"the tool began one arrival in a hundred over {lateness_ms:.0f} ms late"
        if self.cpu_share > MAX_CPU_SHARE:
            return f"a process of the tool used {self.cpu_share:.0%} of a core"
        if self.skipped:
            return f"{self.skipped} arrivals were not sent: too many connections open for the tool's limit"
        return ""

    def rows(self) -> Iterator[tuple[str, str]]:
        """Yield a name and its figures for each line of the printed report."""
        yield "arrivals", f"{self.arrivals}"
        share = self.established / self.arrivals if self.arrivals else 0.0
        yield "up", f"{self.established} ({share:.1%}), {self.within_objective} within the aim"
        yield "refused, failed, timed out", f"{self.rejected}, {self.failed}, {self.timed_out}"
        yield "not connected, not sent", f"{self.connect_failures}, {self.skipped}"
        yield "moved, broken", f"{self.migrated}, {self.broken}"
        yield "lines, without an answer", f"{self.lines_sent}, {self.lines_unanswered}"
        yield _times_row("set-up", self.setup_times)
        yield _times_row("line", self.line_times)
        yield _times_row("tool's lateness", self.lateness)
        yield "tool's busiest process", f"{self.cpu_share:.0%} of a core"


def _times_row(name: str, times: Histogram) -> tuple[str, str]:
    figures = " ".join(f"{times.value_at(percentile):.1f}" for percentile in PRINTED_PERCENTILES)
    return f"{name}, ms (p50 p90 p99 most)", figures
