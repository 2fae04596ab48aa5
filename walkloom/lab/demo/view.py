"""The data that a screen shows of the demonstration, and the closing summary."""

from __future__ import annotations

import math
from dataclasses import dataclass

from walkloom.client import Figures

MAX_SUMMARY_VIOLATIONS = 5  # one cause usually breaks a rule many times


@dataclass(frozen=True, slots=True)
class ServerRow:
    """The present state of one stub server."""

    name: str
    state: str  # up, draining, crashed or cold
    connections: int
    load: float  # relative to the present capacity
    setup_count: int


@dataclass(frozen=True, slots=True)
class BalancerRow:
    """The present state of one balancer."""

    name: str
    open_requests: int


@dataclass(frozen=True, slots=True)
class DemoView:
    """A snapshot of the demonstration."""

    elapsed_s: float
    duration_s: float
    servers: tuple[ServerRow, ...]
    balancers: tuple[BalancerRow, ...]
    events: tuple[str, ...]
    figures: Figures
    # of the balancers' rules, as observed by the servers
    violations: tuple[str, ...]


def summary(view: DemoView) -> list[str]:
    """Return the lines of the closing summary."""
    counters = view.figures.counters
    setup_p99_ms = max((spread.p99 for spread in view.figures.setup_times.values()), default=math.nan)
    attempts_per_success = counters.attempts / max(counters.established, 1)
    return [
        f"{counters.requests} requests: {counters.established} were established, "
        f"{counters.rejected} were rejected, {counters.timed_out} timed out, {counters.failed} failed",
        f"{counters.migrated} sessions were migrated and {counters.broken} broke; "
        f"{counters.reconnected} reconnected, {counters.lost} were lost",
        f"set-up p99 {setup_p99_ms:.0f} ms; {counters.lines_sent} lines sent, "
        f"{counters.lines_received} answered; {attempts_per_success:.2f} attempts per success",
        f"rule violations observed by the servers: {len(view.violations)}",
        *view.violations[:MAX_SUMMARY_VIOLATIONS],
    ]
