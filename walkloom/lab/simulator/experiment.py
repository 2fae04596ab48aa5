"""What a simulation is asked to play."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.lab.settings import CLASSES, TENANTS
from walkloom.messages import RequestClass, Settings

DRAIN_GRACE_MS = 500.0  # the platform's value: attempts may reach a server so long after its drain
MAX_ATTEMPTS = 3  # the platform's value, for each request
ANSWER_GRACE_MS = 8.0  # the platform's value: a final answer may come so long after the deadline


@dataclass(frozen=True, slots=True)
class Experiment:
    """The sizes and the faults of one run."""

    server_count: int
    balancer_count: int
    duration_s: float = 20.0
    # new connections a second, for each server
    connection_rate_per_server: float = 1.0
    mean_lifetime_s: float = 12.0
    # connections of mean load that use a server's whole capacity
    server_capacity: int = 20
    setup_ms: float = 5.0
    # shares of the servers: drained a third into the run, crashed at a half, failing from two thirds on
    drained_share: float = 0.1
    crashed_share: float = 0.05
    # a failing server answers nine setups in ten with an error, for a sixth of the run
    failing_share: float = 0.1
    # from a change of a server until endpoint discovery notifies the balancers
    discovery_delay_ms: float = 1000.0
    seed: int = 1


def policy_settings(experiment: Experiment) -> Settings:
    """Return the settings of every balancer, with the platform's values."""
    return Settings(
        request_classes=tuple(
            RequestClass(
                latency_objective_ms=lab_class.latency_objective_ms,
                priority_weight=lab_class.priority_weight,
                message_latency_objective_ms=lab_class.message_latency_objective_ms,
            )
            for lab_class in CLASSES
        ),
        drain_grace_ms=DRAIN_GRACE_MS,
        balancer_count=experiment.balancer_count,
        tenant_quotas=(1 / len(TENANTS),) * len(TENANTS),
        polls_endpoint_list=True,
        max_poll_interval_ms=10_000.0,
        answer_grace_ms=ANSWER_GRACE_MS,
        slow_start_min_capacity=0.37,
        slow_start_ms=7700.0,
        cold_overload_factor=4.0,
        max_attempts=MAX_ATTEMPTS,
        load_reports_available=True,
        server_reports_latency=False,
        load_report_load_index=2,
        load_report_connections_index=1,
        connection_quota=float(experiment.server_count * experiment.server_capacity),
        tick_ms=2.0,
        max_retry_after_ms=1500.0,
    )
