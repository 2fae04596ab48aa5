"""Settings: all that a balancer is configured with at its start."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """What repeating a request of a class may do."""

    IDEMPOTENT = 0  # repeats are harmless everywhere
    WITH_KEY = 1  # endpoints drop repeats of the same key, within a scope and a window
    NOT_IDEMPOTENT = 2  # a request that may have run must not be sent again


class DeduplicationScope(IntEnum):
    """The endpoints that drop repeats of a request that is idempotent with its key."""

    ALL = 0  # every endpoint
    ZONE = 1  # the endpoints in the zone of the first attempt that may have run
    CELL = 2  # the endpoints in its cell


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What holds for all requests of one class."""

    # Setting up a connection is wanted within this time.
    latency_objective_ms: float

    # What serving a request is worth, relative to the other classes.
    priority_weight: float = 1.0

    # What repeating a request may do.
    idempotency: Idempotency = Idempotency.IDEMPOTENT

    # WITH_KEY only: the endpoints that drop repeats.
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL

    # WITH_KEY only: how long repeats are dropped, from the sending of the first attempt that may have run.
    deduplication_window_ms: float = 0.0

    # A message on an open connection is wanted within this time; 0: no objective.
    message_latency_objective_ms: float = 0.0

    @property
    def is_repeatable_anywhere(self) -> bool:
        """Whether a repeat does no harm at whatever endpoint it comes to."""
        if self.idempotency is Idempotency.WITH_KEY:
            return self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def is_deduplicated_locally(self) -> bool:
        """Whether only the endpoints near the first that may have run a request drop its repeats."""
        is_with_key = self.idempotency is Idempotency.WITH_KEY
        return is_with_key and self.deduplication_scope is not DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is configured with at its start.

    Raises ValueError, which names the fields that are out of range.
    """

    # The classes that requests name by their index.
    request_classes: tuple[RequestClass, ...]

    # An endpoint gets nothing new from so long after it was notified as draining or removed.
    drain_grace_ms: float

    # Balancers that share the endpoints, this one among them.
    balancer_count: int = 1

    # The zone of this balancer, an index.
    local_zone: int = 0

    # How many zones there are.
    zone_count: int = 1

    # Each tenant's share of the service, 0 to 1.
    tenant_quotas: tuple[float, ...] = ()

    # True: the endpoint list comes only when it is asked for. False: it is pushed.
    polls_endpoint_list: bool = False

    # A balancer that polls and has not asked for so long counts as notified of all that the list says.
    max_poll_interval_ms: float = 0.0

    # A change counts as notified so long after discovery had it, whether or not it arrived. Infinite where
    # nothing is missed: on the simulator's wire.
    max_list_age_ms: float = math.inf

    # The process may be held up so long between a byte's arrival and its reading, and again between the last
    # look at the clock and a byte's departure. 0 where events carry their own time.
    max_hold_up_ms: float = 0.0

    # A final answer so long after the deadline still counts.
    answer_grace_ms: float = 0.0

    # The share of its capacity that an endpoint has right after its start, over 0 to 1.
    slow_start_min_capacity: float = 1.0

    # The time after its start in which an endpoint reaches its full capacity; 0: at once.
    slow_start_ms: float = 0.0

    # A cold endpoint that is sent more than this multiple of its present capacity falls over; 0: no limit.
    cold_overload_factor: float = 0.0

    # How long it must be sent so much to fall over.
    cold_overload_window_ms: float = 1000.0

    # Most attempts for one request, 1 or more.
    max_attempts: int = 1

    # Whether endpoints may be polled for load reports.
    load_reports_available: bool = False

    # True: endpoints tell what messages take, as on the simulator's wire. False: loads are polled before a
    # placement.
    server_reports_latency: bool = True

    # Whether connections of an affinity group share work at an endpoint.
    affinity_groups: bool = False

    # Index in a load report of the load asked of the endpoint over what it can do; -1: none.
    load_report_load_index: int = -1

    # Index in a load report of the connections that the endpoint holds; -1: none.
    load_report_connections_index: int = -1

    # Open connections within all tenants' quotas together; 0: not known.
    connection_quota: float = 0.0

    # True: the weights in the list fall with the load that an endpoint holds, and its size is not known.
    weights_follow_load: bool = False

    # What migrating a connection costs, as a share of a request's worth.
    migration_cost: float = 0.0

    # The least time between two rounds of events.
    tick_ms: float = 1.0

    # The longest delay before a retry that clients observe; 0: clients get none.
    max_retry_after_ms: float = 0.0

    @property
    def limits_list_age(self) -> bool:
        """Whether changes of the endpoint list count as notified although they did not arrive."""
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
