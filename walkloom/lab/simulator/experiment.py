"""The parameters of a simulation."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.lab.settings import CLASSES, TENANTS
from walkloom.messages import RequestClass, Settings

# Limits that the platform sets
DRAIN_GRACE_MS = 500.0  # after a balancer is notified of a drain; attempts are allowed until then
MAX_ATTEMPTS = 3  # for each request
ANSWER_GRACE_MS = 8.0  # after the deadline of a request; a final answer counts as in time until then


@dataclass(frozen=True, slots=True)
class Experiment:
    """The sizes and faults of one run. Shares are between 0 and 1."""

    server_count: int
    balancer_count: int
    duration_s: float = 20.0
    # new connections per second and server
    connection_rate_per_server: float = 1.0
    mean_lifetime_s: float = 12.0
    # number of connections of mean load that fully load a server
    server_capacity: int = 20
    # time that a server spends on one connection setup
    setup_ms: float = 5.0
    # share of the servers that drain after a third of the run
    drained_share: float = 0.1
    # share of the servers that crash after half of the run
    crashed_share: float = 0.05
    # share of the servers that fail after two thirds of the run: for a sixth of the run each of them answers
    # nine in ten setups with an error
    failing_share: float = 0.1
    # from a change of a server's state to the first notification of a balancer
    discovery_delay_ms: float = 1000.0
    seed: int = 1


def policy_settings(experiment: Experiment) -> Settings:
    """Return the settings of every balancer, with the values of the platform."""
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
