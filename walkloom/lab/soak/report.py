"""The verdict of a run in a line, and a timeline for each violation."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from walkloom.lab.soak.history import (
    FaultInjected,
    HarnessStalled,
    ListChanged,
    ListWritten,
    ProcessExited,
    ProcessReady,
    ProcessSignalled,
    ProcessStarted,
    Record,
    RequestAnswered,
    RequestSent,
)
from walkloom.lab.soak.runner import RunResult
from walkloom.lab.soak.violation import Violation

# Of one cause a run has many violations; so many get a timeline.
MAX_TIMELINES = 5
# A timeline has the faults and notices of so long before the violation, and so long after.
BEFORE_S = 20.0
AFTER_S = 1.0


def verdict(name: str, result: RunResult) -> str:
    """Return one line: the run, what it was, and how many violations of each rule."""
    deployment = result.plan.deployment
    rules = Counter(violation.rule for violation in result.violations)
    records = result.history.records
    sent = sum(isinstance(record, RequestSent) for record in records)
    answers = Counter(record.word for record in records if isinstance(record, RequestAnswered))
    stall_s = max((r.at - r.since for r in records if isinstance(r, HarnessStalled)), default=0.0)
    broken = " ".join(f"{rule}={count}" for rule, count in sorted(rules.items())) or "none"
    return (
        f"{name}: violations {broken} | balancers {deployment.balancer_count}, "
        f"processes {deployment.process_count}, servers {deployment.server_count}, "
        f"{'pushed' if deployment.is_pushed else 'asked'}{', crowd' if deployment.has_crowd else ''} | "
        f"requests {sent}, "
        + ", ".join(f"{word} {count}" for word, count in sorted(answers.items()))
        + f" | longest stall of the stand-ins {stall_s * 1000.0:.0f} ms"
    )


def write_timelines(folder: Path, name: str, result: RunResult) -> list[Path]:
    """Write a file for each of the first violations; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for number, violation in enumerate(result.violations[:MAX_TIMELINES]):
        file = folder / f"{name}-{number}-{violation.rule}.txt"
        file.write_text("\n".join([str(violation), "", *_timeline(violation, result)]) + "\n")
        files.append(file)
    return files


def _timeline(violation: Violation, result: RunResult) -> list[str]:
    lines = ["records (seconds before the violation)"]
    for record in result.history.records:
        if -BEFORE_S <= record.at - violation.at <= AFTER_S and _concerns(record, violation, result):
            lines.append(f"{record.at - violation.at:9.3f} {record}")
    lines += ["", f"log of {violation.balancer}: this request, discovery, start and end"]
    log = result.logs.get(violation.balancer, "").splitlines()
    words = (f"id={violation.request}", "discovery_", "listening", "shutdown", "ERROR", "reload")
    lines += [line for line in log if any(word in line for word in words)]
    return lines


def _concerns(record: Record, violation: Violation, result: RunResult) -> bool:
    if isinstance(record, FaultInjected | ListChanged):
        return True
    of_process = ProcessStarted | ProcessReady | ProcessSignalled | ProcessExited | ListWritten
    if isinstance(record, of_process):
        return record.balancer == violation.balancer
    if getattr(record, "request", None) == violation.request:
        return True
    attempts = {
        other.attempt
        for other in result.history.records
        if getattr(other, "request", None) == violation.request and hasattr(other, "attempt")
    }
    return getattr(record, "attempt", None) in attempts
