"""The settings of a small deployment, under the platform's names. Times are ms."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class RequestClass:
    """One class of requests: its aim, its deadline and the effect of a repeat."""

    name: str
    aim_ms: float
    deadline_ms: float
    repeat: str = "idempotent"
    dedup_scope: str = "all"
    dedup_window_ms: float = 5000.0


@dataclass(frozen=True)
class Deployment:
    """The figures of a deployment that the cases vary."""

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...]
    balancers: int
    pushed: bool = False
    may_probe: bool = True
    ask_within_ms: float = 10_000.0
    drain_grace_ms: float = 500.0
    cold_from: float = 0.37
    cold_ms: float = 7700.0
    overload_factor: float = 4.0
    overload_for_ms: float = 1000.0
    max_attempts: int = 3
    connect_timeout_ms: float = 60.0
    tenants: tuple[str, ...] = ("herb-ufsul", "herb-serra")

    def settings(self, zone: str, number: int) -> dict[str, Any]:
        """Return the object `settings` of the balancer with this number in this zone."""
        return {
            "family": "conn",
            "tick": 2.0,
            "instances": self.balancers,
            "me": number,
            "membership-mode": "push" if self.pushed else "ask",
            "azs": list(self.zones),
            "my-zone": self.zones.index(zone),
            "kinds": ["std-node"],
            "tiers": ["tile-servers"],
            "tier": 0,
            "weights": "nominal",
            "counted-by": "request",
            "accounts": [{"name": name, "share": 1.0 / max(len(self.tenants), 1)} for name in self.tenants],
            "callers": {"marks-retry": True},
            "classes": [
                {
                    "name": each.name,
                    "goal-time": each.aim_ms,
                    "hard-limit": each.deadline_ms,
                    "importance": 1.0,
                    "late-share": 0.0,
                    "repeat": each.repeat,
                    "dedup-scope": each.dedup_scope,
                    "dedup-window": each.dedup_window_ms,
                    "stream": True,
                }
                for each in self.classes
            ],
            "family-info": {
                "groups": True,
                "mode": "proxy",
                "message-aim": [60.0] * len(self.classes),
                "tells-load": True,
                "tells-delay": True,
                "park": 0.0,
            },
            "stats": {"how": "pull" if self.may_probe else "silent", "fields": self.report_fields},
            "guarantees": {
                "ask-within": self.ask_within_ms,
                "cold": self.cold_ms,
                "cold-from": self.cold_from,
                "drain-grace": self.drain_grace_ms,
                "grace-to-answer": 8.0,
                "overload-factor": self.overload_factor,
                "overload-for": self.overload_for_ms,
            },
            "limits": {
                "cancel": True,
                "connect-timeout": self.connect_timeout_ms,
                "idle-close": 60_000.0,
                "max-attempts": self.max_attempts,
                "max-open": 1_000_000,
                "max-retry-after": 1500.0,
                "may-probe": self.may_probe,
                "parallel-tries": False,
                "peers": False,
                "retry-after": True,
                "streams-per-conn": 1_048_576,
            },
        }

    @property
    def report_fields(self) -> list[str]:
        """The fields of a load report; none where probes are not allowed."""
        return ["served_ps", "busy_reqs", "x0"] if self.may_probe else []
