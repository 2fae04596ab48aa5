"""Rules about processes: none ends by itself, each is ready in time, none grows. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator

from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import ProcessMeasured, ProcessStarted
from walkloom.lab.soak.run_records import RunRecords
from walkloom.lab.soak.violation import Violation

MAX_READY_S = 10.0
# At the end of a run a process may hold so much more than when it was ready: a connection to each server
# that waits for another poll of its load, some that are closing, and what the allocator keeps.
MAX_EXTRA_DESCRIPTORS = 10
MAX_EXTRA_MEMORY_KIB = 24 << 10

# Ended by a signal that the run sent, or by itself after SIGTERM.
_EXPECTED_STATUSES = (0, -9)


def check(run: RunRecords, deployment: Deployment) -> Iterator[Violation]:
    """Return the violations of all processes."""
    yield from _check_exits(run)
    for start in run.processes.starts:
        yield from _check_ready(run, start)
    yield from _check_growth(run, deployment)


def _check_exits(run: RunRecords) -> Iterator[Violation]:
    for ended in run.processes.exits:
        if ended.status not in _EXPECTED_STATUSES:
            text = f"exit status {ended.status}"
            yield Violation("crash", ended.balancer, "-", ended.at, math.inf, text)


def _check_ready(run: RunRecords, start: ProcessStarted) -> Iterator[Violation]:
    bound = start.at + MAX_READY_S + run.stalls.stalled_s(start.at, start.at + MAX_READY_S)
    readies = (
        ready.at
        for ready in run.processes.readies
        if ready.balancer == start.balancer and ready.at >= start.at
    )
    was_ended = any(
        signal.balancer == start.balancer
        and signal.name in ("SIGKILL", "SIGTERM")
        and start.at <= signal.at <= bound
        for signal in run.processes.signals
    )
    if min(readies, default=math.inf) > bound and not was_ended:
        yield Violation("ready", start.balancer, "-", start.at, bound, "not ready in time")


def _check_growth(run: RunRecords, deployment: Deployment) -> Iterator[Violation]:
    newest_start = {start.balancer: start.at for start in run.processes.starts}
    bases: dict[str, ProcessMeasured] = {}
    for measure in run.processes.measures:
        if measure.at < newest_start.get(measure.balancer, 0.0):
            continue
        base = bases.setdefault(measure.balancer, measure)
        descriptors = base.descriptors + deployment.server_count + MAX_EXTRA_DESCRIPTORS
        memory_kib = base.memory_kib + MAX_EXTRA_MEMORY_KIB
        if measure.descriptors > descriptors or measure.memory_kib > memory_kib:
            text = (
                f"holds {measure.descriptors} descriptors and {measure.memory_kib} KiB, "
                f"{base.descriptors} and {base.memory_kib} once it was ready"
            )
            yield Violation("growth", measure.balancer, "-", measure.at, math.inf, text)
