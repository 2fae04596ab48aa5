"""The platform's configuration of one balancer, made for a laboratory's fleet."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LabClass:
    """A class as balancers and clients name it. Times in ms; message_ms: a line's answer is wanted within."""

    name: str
    aim_ms: float
    give_up_ms: float
    worth: float = 1.0
    message_ms: float = 60.0
    share: float = 1.0  # of what is asked for


CLASSES = (
    LabClass("tile-view", 300.0, 1200.0, share=0.56),
    LabClass("sheet-list", 500.0, 2000.0, share=0.19),
    LabClass("label-edit", 300.0, 1200.0, 2.0, 100.0, 0.14),
    LabClass("det-update", 500.0, 3000.0, 2.0, share=0.11),
)
TENANTS = ("herb-ufsul", "herb-serra", "herb-pampa")


def settings(
    *,
    classes: Sequence[LabClass] = CLASSES,
    tenants: Sequence[str] = TENANTS,
    balancers: int = 1,
    zones: Sequence[str] = ("here",),
    zone: str = "here",
    max_retry_after_ms: float = 1500.0,
    probes: bool = True,
) -> dict[str, Any]:
    """The settings object, in the form and with the names of the platform's."""
    return {
        "family": "conn",
        "tick": 2.0,
        "instances": balancers,
        "membership-mode": "ask",
        "azs": list(zones),
        "my-zone": list(zones).index(zone),
        "kinds": ["std-node"],
        "accounts": [{"name": name, "share": 1.0 / len(tenants)} for name in tenants],
        "classes": [
            {
                "name": c.name,
                "goal-time": c.aim_ms,
                "hard-limit": c.give_up_ms,
                "importance": c.worth,
                "repeat": "idempotent",
            }
            for c in classes
        ],
        "family-info": {
            "groups": True,
            "message-aim": ",".join(f"{c.message_ms:.0f}" for c in classes),
            "tells-delay": False,
        },
        "stats": {"fields": ["served_ps", "busy_reqs", "x0"]},
        "guarantees": {
            "drain-grace": 500.0,
            "ask-within": 10_000.0,
            "grace-to-answer": 8.0,
            "cold-from": 0.37,
            "cold": 7700.0,
            "overload-factor": 4.0,
            "overload-for": 1000.0,
        },
        "limits": {
            "max-attempts": 3,
            "may-probe": probes,
            "connect-timeout": 60.0,
            "retry-after": max_retry_after_ms > 0,
            "max-retry-after": max_retry_after_ms,
        },
    }


def configuration(
    name: str,
    listen: str,
    discovery: tuple[str, int],
    known: Sequence[dict[str, object]],
    settings: dict[str, Any],
    sockets: int = 4096,
    seed: int = 1,
) -> dict[str, Any]:
    """The whole file that `GW_CONFIG` names."""
    return {
        "name": name,
        "listen": listen,
        "discovery": "{}:{}".format(*discovery),
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": sockets},
        "known": {"generation": 0, "reset": True, "instances": list(known)},
        "settings": settings,
    }
