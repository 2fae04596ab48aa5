"""The summary line of a run, and a timeline for each violation."""

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

# One cause often has many violations; only the first few get a timeline.
MAX_TIMELINES = 5
# A timeline covers the records from this long before the violation to this long after it.
TIMELINE_BEFORE_S = 20.0
TIMELINE_AFTER_S = 1.0


def summary_line(name: str, result: RunResult) -> str:
    """Return one line with the run's name, the violations of each rule, its deployment and its answers."""
    deployment = result.plan.deployment
    rules = Counter(violation.rule for violation in result.violations)
    records = result.history.records
    sent = sum(isinstance(record, RequestSent) for record in records)
    answers = Counter(record.word for record in records if isinstance(record, RequestAnswered))
    stall_s = max((r.at - r.since for r in records if isinstance(r, HarnessStalled)), default=0.0)
    violation_counts = " ".join(f"{rule}={count}" for rule, count in sorted(rules.items())) or "none"
    return (
        f"{name}: violations {violation_counts} | balancers {deployment.balancer_count}, "
        f"processes {deployment.process_count}, servers {deployment.server_count}, "
        f"{'pushed' if deployment.is_pushed else 'asked'}{', crowd' if deployment.has_crowd else ''} | "
        f"requests {sent}, "
        + ", ".join(f"{word} {count}" for word, count in sorted(answers.items()))
        + f" | longest stall of the stand-ins {stall_s * 1000.0:.0f} ms"
    )


def write_timelines(folder: Path, name: str, result: RunResult) -> list[Path]:
    """Write a timeline file for each of the first MAX_TIMELINES violations; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for number, violation in enumerate(result.violations[:MAX_TIMELINES]):
        file = folder / f"{name}-{number}-{violation.rule}.txt"
        file.write_text("\n".join([str(violation), "", *_timeline(violation, result)]) + "\n")
        files.append(file)
    return files


def _timeline(violation: Violation, result: RunResult) -> list[str]:
    lines = ["records (seconds relative to the violation)"]
    for record in result.history.records:
        if -TIMELINE_BEFORE_S <= record.at - violation.at <= TIMELINE_AFTER_S and _is_relevant(
            record, violation, result
        ):
            lines.append(f"{record.at - violation.at:9.3f} {record}")
    lines += ["", f"log of {violation.balancer}: this request, discovery, start and end"]
    log = result.logs.get(violation.balancer, "").splitlines()
    log_markers = (f"id={violation.request}", "discovery_", "listening", "shutdown", "ERROR", "reload")
    lines += [line for line in log if any(marker in line for marker in log_markers)]
    return lines


def _is_relevant(record: Record, violation: Violation, result: RunResult) -> bool:
    if isinstance(record, FaultInjected | ListChanged):
        return True
    process_records = ProcessStarted | ProcessReady | ProcessSignalled | ProcessExited | ListWritten
    if isinstance(record, process_records):
        return record.balancer == violation.balancer
    if getattr(record, "request", None) == violation.request:
        return True
    attempts = {
        other.attempt
        for other in result.history.records
        if getattr(other, "request", None) == violation.request and hasattr(other, "attempt")
    }
    return getattr(record, "attempt", None) in attempts
