"""The results of a load."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields

from walkloom.client.metrics import Histogram

MAX_LATENESS_P99_MS = 10.0  # beyond it, the tool's own delays distort the set-up times
MAX_CPU_SHARE = 0.9  # of a core; a process that uses more sends late
PRINTED_PERCENTILES = (50.0, 90.0, 99.0, 100.0)


@dataclass
class LoadReport:
    """The results of one process of the tool, or of all of them."""

    arrivals: int = 0
    established: int = 0
    # established within the latency objective of the class
    within_objective: int = 0
    rejected: int = 0
    # any other answer, or disconnected before an answer
    failed: int = 0
    timed_out: int = 0
    connect_failures: int = 0
    # arrivals beyond the limit on open connections
    skipped: int = 0
    migrated: int = 0
    # ended without MOVE or BYE
    broken: int = 0
    lines_sent: int = 0
    lines_unanswered: int = 0
    setup_times: Histogram = field(default_factory=Histogram)
    line_times: Histogram = field(default_factory=Histogram)
    # how late the tool started each arrival
    lateness: Histogram = field(default_factory=Histogram)
    # share of a core that the busiest process of the tool used
    cpu_share: float = 0.0

    def add(self, other: LoadReport) -> None:
        """Add the results of another process."""
        for report_field in fields(self):
            own_value = getattr(self, report_field.name)
            other_value = getattr(other, report_field.name)
            if isinstance(own_value, Histogram):
                own_value.merge(other_value)
            elif report_field.name == "cpu_share":
                self.cpu_share = max(own_value, other_value)
            else:
                setattr(self, report_field.name, own_value + other_value)

    def unreliability_reason(self) -> str:
        """Return why the results do not reflect the balancer; empty if they are reliable."""
        lateness_ms = self.lateness.value_at(99.0)
        if lateness_ms > MAX_LATENESS_P99_MS:
            return f"the tool started 1% of the arrivals more than {lateness_ms:.0f} ms late"
        if self.cpu_share > MAX_CPU_SHARE:
            return f"a process of the tool used {self.cpu_share:.0%} of a core"
        if self.skipped:
            return f"{self.skipped} arrivals were not sent: the limit on open connections was reached"
        return ""

    def rows(self) -> Iterator[tuple[str, str]]:
        """Yield the rows of the printed report: a name and its values."""
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
