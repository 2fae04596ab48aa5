"""Generates the platform's configuration of a balancer for a laboratory fleet."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LabClass:
    """A request class, with the settings that balancers and clients need."""

    name: str
    latency_objective_ms: float
    # a client gives up this long after the start of its request
    deadline_ms: float
    priority_weight: float = 1.0
    # of the answer to a line
    message_latency_objective_ms: float = 60.0
    # of all requests of a generated load
    share: float = 1.0
    # idempotent, deduplicated or at_most_once, as the platform spells them
    repeat: str = "idempotent"
    # deduplicated only: the scope (all, zone or cell), and how long repeats are dropped
    deduplication_scope: str = "all"
    deduplication_window_ms: float = 5000.0


CLASSES = (
    LabClass("tile-view", latency_objective_ms=300.0, deadline_ms=1200.0, share=0.56),
    LabClass("sheet-list", latency_objective_ms=500.0, deadline_ms=2000.0, share=0.19),
    LabClass(
        "label-edit",
        latency_objective_ms=300.0,
        deadline_ms=1200.0,
        priority_weight=2.0,
        message_latency_objective_ms=100.0,
        share=0.14,
    ),
    LabClass("det-update", latency_objective_ms=500.0, deadline_ms=3000.0, priority_weight=2.0, share=0.11),
)
TENANTS = ("herb-ufsul", "herb-serra", "herb-pampa")

# What the platform guarantees a balancer, under the platform's keys; times are ms.
_GUARANTEES = {
    "drain-grace": 500.0,
    "ask-within": 10_000.0,
    "grace-to-answer": 8.0,
    "cold-from": 0.37,
    "cold": 7700.0,
    "overload-factor": 4.0,
    "overload-for": 1000.0,
}


def platform_settings(
    *,
    classes: Sequence[LabClass] = CLASSES,
    tenants: Sequence[str] = TENANTS,
    balancer_count: int = 1,
    zones: Sequence[str] = ("here",),
    local_zone: str = "here",
    max_retry_after_ms: float = 1500.0,
    load_reports_available: bool = True,
) -> dict[str, Any]:
    """Return the `settings` object of the configuration, with the platform's keys."""
    return {
        "family": "conn",
        "tick": 2.0,
        "instances": balancer_count,
        "membership-mode": "ask",
        "azs": list(zones),
        "my-zone": list(zones).index(local_zone),
        "kinds": ["std-node"],
        "accounts": [{"name": name, "share": 1.0 / len(tenants)} for name in tenants],
        "classes": [_class_settings(each) for each in classes],
        "family-info": {
            "groups": True,
            "message-aim": ",".join(f"{each.message_latency_objective_ms:.0f}" for each in classes),
            "tells-delay": False,
        },
        "stats": {"fields": ["served_ps", "busy_reqs", "x0"]},
        "guarantees": dict(_GUARANTEES),
        "limits": {
            "max-attempts": 3,
            "may-probe": load_reports_available,
            "connect-timeout": 60.0,
            "retry-after": max_retry_after_ms > 0,
            "max-retry-after": max_retry_after_ms,
        },
    }


def _class_settings(lab_class: LabClass) -> dict[str, Any]:
    return {
        "name": lab_class.name,
        "goal-time": lab_class.latency_objective_ms,
        "hard-limit": lab_class.deadline_ms,
        "importance": lab_class.priority_weight,
        "repeat": lab_class.repeat,
        "dedup-scope": lab_class.deduplication_scope,
        "dedup-window": lab_class.deduplication_window_ms,
    }


def balancer_configuration(
    name: str,
    listen: str,
    discovery: tuple[str, int],
    known_endpoints: Sequence[Mapping[str, object]],
    settings: dict[str, Any],
    sockets: int = 4096,
    seed: int = 1,
) -> dict[str, Any]:
    """Return the content of the configuration file that `GW_CONFIG` names."""
    return {
        "name": name,
        "listen": listen,
        "discovery": "{}:{}".format(*discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": sockets},
        "known": {"generation": 0, "reset": True, "instances": list(known_endpoints)},
        "settings": settings,
    }
