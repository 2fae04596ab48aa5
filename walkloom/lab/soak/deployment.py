"""The deployment of a run, drawn from its seed: settings, servers and processes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from typing import Any

from walkloom.lab.settings import LabClass, platform_settings

# A balancer's descriptor limit; the lower one is reached by a crowd of idle clients.
DESCRIPTOR_LIMIT = 1024
DESCRIPTOR_LIMIT_WITH_CROWD = 150


@dataclass(frozen=True, slots=True)
class Deployment:
    """The settings and sizes of one run."""

    # The number of balancers in the settings; fewer processes run.
    balancer_count: int
    process_count: int
    server_count: int
    is_pushed: bool
    max_poll_interval_ms: float
    drain_grace_ms: float
    longest_deadline_ms: int
    load_reports: bool
    # Requests per second, over all processes.
    request_rate: float
    # Whether a crowd of idle clients uses up the descriptors.
    has_crowd: bool
    # Servers and processes are spread over the zones in turn.
    zones: tuple[str, ...] = ("here",)
    max_attempts: int = 3
    # For the class with the longest deadline; values as in LabClass.
    repeat: str = "idempotent"
    deduplication_scope: str = "all"
    deduplication_window_ms: float = 5000.0

    @property
    def classes(self) -> tuple[LabClass, ...]:
        """The request classes, the longest deadline last."""
        shortest = max(self.longest_deadline_ms // 3, 300)
        return (
            LabClass("view", latency_objective_ms=shortest / 3, deadline_ms=float(shortest)),
            LabClass(
                "edit",
                latency_objective_ms=shortest / 2,
                deadline_ms=float(self.longest_deadline_ms),
                repeat=self.repeat,
                deduplication_scope=self.deduplication_scope,
                deduplication_window_ms=self.deduplication_window_ms,
            ),
        )

    @property
    def sigkill_delay_s(self) -> float:
        """The shortest time from SIGTERM to SIGKILL, in seconds."""
        return min(self.longest_deadline_ms / 1000.0, 3.0) + 0.7

    def zone_of(self, server: str) -> str:
        """Return the zone of a server, derived from the number in its name."""
        number = int(server.rpartition("-")[2]) if "-" in server else 0
        return self.zones[number % len(self.zones)]

    def settings(self, zone: str) -> dict[str, Any]:
        """Return the platform's settings object for a balancer in a zone."""
        settings = platform_settings(
            classes=self.classes,
            tenants=("t",),
            balancer_count=self.balancer_count,
            zones=self.zones,
            local_zone=zone,
            load_reports_available=self.load_reports,
        )
        settings["membership-mode"] = "push" if self.is_pushed else "ask"
        settings["guarantees"]["drain-grace"] = self.drain_grace_ms
        settings["guarantees"]["ask-within"] = self.max_poll_interval_ms
        settings["limits"]["max-attempts"] = self.max_attempts
        return settings


def draw(seed: int) -> Deployment:
    """Return the deployment of a seed; one seed in four has a crowd of idle clients."""
    random = Random(f"deployment/{seed}")
    zones = random.choice([("here",), ("here", "there"), ("here", "there", "far")])
    return Deployment(
        balancer_count=random.choice([1, 3, 12, 60, 200, 230]),
        process_count=random.randint(3, 8),
        server_count=random.randint(4, 24),
        is_pushed=random.random() < 0.25,
        max_poll_interval_ms=random.choice([3000.0, 10_000.0, 20_000.0]),
        drain_grace_ms=random.choice([250.0, 400.0, 500.0]),
        longest_deadline_ms=random.choice([400, 900, 1500, 3000, 5000]),
        load_reports=random.random() < 0.5,
        request_rate=random.uniform(20.0, 50.0),
        has_crowd=seed % 4 == 0,
        zones=zones,
        repeat=random.choice(["idempotent", "deduplicated", "deduplicated", "at_most_once"]),
        deduplication_scope=random.choice(["all", "zone"]),
        deduplication_window_ms=random.choice([300.0, 1000.0, 5000.0]),
    )


def shrink(deployment: Deployment) -> Deployment:
    """Return the deployment with at most three processes and fewer requests, for short runs."""
    return replace(deployment, process_count=min(deployment.process_count, 3), request_rate=20.0)
