"""The file that `walkloom lab load --json` writes.

The keys are those of the first release, so that files of different versions can be compared.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from walkloom.client.metrics import Histogram
from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.phases import Phase
from walkloom.lab.load.report import LoadReport
from walkloom.lab.settings import LabClass

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


def write_json(path: Path, options: LoadOptions, report: LoadReport) -> None:
    """Write the options and the report of a load; an existing file is replaced."""
    content = {"load": _encode_options(options), "report": _encode_report(report)}
    path.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))


def _encode_options(options: LoadOptions) -> dict[str, Any]:
    return {
        "addresses": options.addresses,
        "phases": [_encode_phase(phase) for phase in options.phases],
        "life_s": options.mean_lifetime_s,
        "line_s": options.line_interval_s,
        "processes": options.processes,
        "open_most": options.max_connections,
        "seed": options.seed,
        "classes": [_encode_class(each) for each in options.classes],
        "tenants": options.tenants,
        "groups": options.group_count,
    }


def _encode_phase(phase: Phase) -> dict[str, Any]:
    return {"first": phase.first_rate, "last": phase.last_rate, "seconds": phase.duration_s}


def _encode_class(lab_class: LabClass) -> dict[str, Any]:
    return {
        "name": lab_class.name,
        "aim_ms": lab_class.latency_objective_ms,
        "give_up_ms": lab_class.deadline_ms,
        "worth": lab_class.priority_weight,
        "message_ms": lab_class.message_latency_objective_ms,
        "share": lab_class.share,
    }


def _encode_report(report: LoadReport) -> dict[str, Any]:
    return {
        "arrivals": report.arrivals,
        "up": report.established,
        "in_aim": report.within_objective,
        "refused": report.rejected,
        "failed": report.failed,
        "timed_out": report.timed_out,
        "unconnected": report.connect_failures,
        "unsent": report.skipped,
        "moved": report.migrated,
        "broken": report.broken,
        "lines": report.lines_sent,
        "unanswered": report.lines_unanswered,
        "setup": _encode_times(report.setup_times),
        "line": _encode_times(report.line_times),
        "late": _encode_times(report.lateness),
        "cpu_part": report.cpu_share,
    }


def _encode_times(times: Histogram) -> dict[str, float]:
    return {f"p{percentile:g}": times.value_at(percentile) for percentile in PERCENTILES}
