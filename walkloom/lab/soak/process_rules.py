"""Rules for processes: none crashes, each is ready in time, none leaks descriptors or memory. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator

from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import ProcessMeasured, ProcessStarted
from walkloom.lab.soak.run_records import RunRecords
from walkloom.lab.soak.violation import Violation

MAX_READY_S = 10.0
# At the end of a run a process may hold this much more than when it became ready, for connections that are
# closing and memory that the allocator keeps. It may also hold one descriptor for each server: a connection
# kept for the next poll of its load report.
MAX_EXTRA_DESCRIPTORS = 10
MAX_EXTRA_MEMORY_KIB = 24 << 10

# 0 after SIGTERM, -9 after the run's SIGKILL.
_EXPECTED_STATUSES = (0, -9)


def check(run: RunRecords, deployment: Deployment) -> Iterator[Violation]:
    """Yield the violations of all processes."""
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
    ready_records = (
        ready.at
        for ready in run.processes.ready_records
        if ready.balancer == start.balancer and ready.at >= start.at
    )
    was_ended = any(
        signal.balancer == start.balancer
        and signal.name in ("SIGKILL", "SIGTERM")
        and start.at <= signal.at <= bound
        for signal in run.processes.signals
    )
    if min(ready_records, default=math.inf) > bound and not was_ended:
        yield Violation("ready", start.balancer, "-", start.at, bound, "not ready in time")


def _check_growth(run: RunRecords, deployment: Deployment) -> Iterator[Violation]:
    newest_start = {start.balancer: start.at for start in run.processes.starts}
    baselines: dict[str, ProcessMeasured] = {}
    for measurement in run.processes.measurements:
        if measurement.at < newest_start.get(measurement.balancer, 0.0):
            continue
        baseline = baselines.setdefault(measurement.balancer, measurement)
        descriptors = baseline.descriptors + deployment.server_count + MAX_EXTRA_DESCRIPTORS
        memory_kib = baseline.memory_kib + MAX_EXTRA_MEMORY_KIB
        if measurement.descriptors > descriptors or measurement.memory_kib > memory_kib:
            text = (
                f"holds {measurement.descriptors} descriptors and {measurement.memory_kib} KiB, but held "
                f"{baseline.descriptors} and {baseline.memory_kib} KiB when it became ready"
            )
            yield Violation("growth", measurement.balancer, "-", measurement.at, math.inf, text)
