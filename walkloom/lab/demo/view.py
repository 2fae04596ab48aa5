"""What a screen shows of the demonstration."""

from __future__ import annotations

import math
from dataclasses import dataclass

from walkloom.client import Figures

MAX_SUMMARY_VIOLATIONS = 5  # one cause usually breaks a rule many times


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One stub server as it is now."""

    name: str
    state: str  # up, draining, crashed or cold
    connections: int
    load: float  # over its present capacity
    setup_count: int


@dataclass(frozen=True, slots=True)
class BalancerRow:
    """One balancer as it is now."""

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
    # of the balancers' rules, as the servers saw it
    violations: tuple[str, ...]


def summary(view: DemoView) -> list[str]:
    """Return the closing summary, a line each."""
    counters = view.figures.counters
    setup_p99_ms = max((spread.p99 for spread in view.figures.setup_times.values()), default=math.nan)
    attempts_per_success = counters.attempts / max(counters.established, 1)
    return [
        f"{counters.requests} requests: {counters.established} up, {counters.rejected} refused, "
        f"{counters.timed_out} timed out, {counters.failed} failed",
        f"{counters.migrated} sessions were moved and {counters.broken} broke; "
        f"{counters.reconnected} came back, {counters.lost} were lost",
        f"set-up p99 {setup_p99_ms:.0f} ms; {counters.lines_sent} lines sent, "
        f"{counters.lines_received} answered; {attempts_per_success:.2f} tries for each success",
        f"rules broken, as the servers saw it: {len(view.violations)}",
        *view.violations[:MAX_SUMMARY_VIOLATIONS],
    ]
