"""Settings: the configuration that a balancer gets at start-up."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Whether requests of a class may be repeated."""

    IDEMPOTENT = 0  # repeats are harmless at every endpoint
    WITH_KEY = 1  # endpoints drop repeats with the same idempotency key, within a scope and a window
    NOT_IDEMPOTENT = 2  # a request that may have run must not be sent again


class DeduplicationScope(IntEnum):
    """The endpoints that drop repeats of a request with an idempotency key."""

    ALL = 0  # every endpoint
    ZONE = 1  # the endpoints in the zone of the first attempt that may have run
    CELL = 2  # the endpoints in the cell of that attempt


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one class of requests."""

    # Target time for setting up a connection.
    latency_objective_ms: float

    # Priority of the requests, relative to the other classes.
    priority_weight: float = 1.0

    # Whether a request may be repeated.
    idempotency: Idempotency = Idempotency.IDEMPOTENT

    # WITH_KEY only: the endpoints that drop repeats.
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL

    # WITH_KEY only: how long repeats are dropped, from the sending of the first attempt that may have run.
    deduplication_window_ms: float = 0.0

    # Target time for a message on an open connection; 0: no objective.
    message_latency_objective_ms: float = 0.0

    @property
    def is_repeatable_anywhere(self) -> bool:
        """Whether a repeat is harmless at every endpoint."""
        if self.idempotency is Idempotency.WITH_KEY:
            return self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_deduplicated_locally(self) -> bool:
        """Whether repeats are dropped only in the zone or cell of the first attempt that may have run."""
        is_with_key = self.idempotency is Idempotency.WITH_KEY
        return is_with_key and self.deduplication_scope is not DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one balancer.

    Raises:
        ValueError: fields are out of range; the message names them.
    """

    # The request classes; requests refer to them by index.
    request_classes: tuple[RequestClass, ...]

    # After the balancer was notified that an endpoint drains or is removed, the endpoint may get new work for
    # this time and no longer.
    drain_grace_ms: float

    # Number of balancers that share the endpoints, including this one.
    balancer_count: int = 1

    # Index of this balancer's zone.
    local_zone: int = 0

    # Number of zones.
    zone_count: int = 1

    # The share of the service that each tenant may use, 0 to 1.
    tenant_quotas: tuple[float, ...] = ()

    # True: the endpoint list is polled. False: it is pushed.
    polls_endpoint_list: bool = False

    # A balancer that has not polled for this time counts as notified of everything in the list.
    max_poll_interval_ms: float = 0.0

    # A change counts as notified this time after discovery had it, whether or not the balancer received it.
    # Infinite on the simulator's wire, where no update is lost.
    max_list_age_ms: float = math.inf

    # Everything that discovery has counts as notified this time after the configuration was reloaded, whether
    # or not the balancer received it.
    reload_notification_delay_ms: float = math.inf

    # Longest time for which the process may be stalled between the arrival of a byte and its reading, and
    # again between reading the clock and sending a byte. 0 where events have their own timestamps.
    max_stall_ms: float = 0.0

    # A final answer that is late by up to this time still counts as in time.
    answer_grace_ms: float = 0.0

    # The share of its capacity that an endpoint has right after its start; above 0, at most 1.
    slow_start_min_capacity: float = 1.0

    # The time after its start in which an endpoint reaches its full capacity; 0: at once.
    slow_start_ms: float = 0.0

    # A cold endpoint fails under more than this multiple of its current capacity; 0: no limit.
    cold_overload_factor: float = 0.0

    # The overload must last this long for the endpoint to fail.
    cold_overload_window_ms: float = 1000.0

    # Maximum number of attempts for one request, 1 or more.
    max_attempts: int = 1

    # Whether endpoints may be polled for load reports.
    load_reports_available: bool = False

    # True: endpoints report the latency of messages, as on the simulator's wire. False: load reports are
    # polled before a placement.
    server_reports_latency: bool = True

    # Whether connections of an affinity group share work at an endpoint.
    affinity_groups: bool = False

    # Index in a load report of the endpoint's load divided by its capacity; -1: not reported.
    load_report_load_index: int = -1

    # Index in a load report of the endpoint's number of connections; -1: not reported.
    load_report_connections_index: int = -1

    # Sum of all tenants' quotas of open connections; 0: not known.
    connection_quota: float = 0.0

    # True: an endpoint's weight in the list falls as its load grows, and its total capacity is not known.
    weights_follow_load: bool = False

    # Cost of migrating a connection, as a share of a request's priority weight.
    migration_cost: float = 0.0

    # Minimum time between two rounds of events.
    tick_ms: float = 1.0

    # The longest retry-after delay that clients observe; 0: rejections name no delay.
    max_retry_after_ms: float = 0.0

    @property
    def limits_list_age(self) -> bool:
        """Whether a change of the endpoint list counts as notified even if it was not received."""
        return math.isfinite(self.max_list_age_ms)

    def __post_init__(self) -> None:
        valid = {
            "request_classes": bool(self.request_classes),
            "max_attempts": self.max_attempts >= 1,
            "slow_start_min_capacity": 0 < self.slow_start_min_capacity <= 1,
            "drain_grace_ms": self.drain_grace_ms >= 0,
            "balancer_count": self.balancer_count >= 1,
        }
        if invalid := [name for name, is_valid in valid.items() if not is_valid]:
            raise ValueError(f"invalid settings: {', '.join(invalid)}")
