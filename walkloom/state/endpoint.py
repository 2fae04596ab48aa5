"""The state of one endpoint, from the endpoint list and this balancer's own traffic."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from walkloom.messages import AffinityGroup, Endpoint, EndpointId, Lifecycle
from walkloom.state.stable_hash import stable_hash

NEVER_HAPPENED = -1e12  # ms; earlier than all actual times
NOT_DRAINING = -1.0  # value of `drain_notified_at` for an endpoint that is neither draining nor removed


class Placement(NamedTuple):
    """A connection that was placed on an endpoint by this balancer."""

    # When it was placed, ms.
    placed_at: float

    # Its load, relative to the mean.
    load: float


@dataclass(eq=False, slots=True)
class EndpointState:
    """One endpoint. Times are absolute ms, or NEVER_HAPPENED."""

    id: EndpointId
    zone: int
    cell: int
    lifecycle: Lifecycle
    # When its process started, by the list as far as that is plausible; 0: long ago.
    started_at: float
    # The start time in the list, unchecked.
    listed_started_at: float
    # For rendezvous hashing; the same at all balancers.
    hash: int

    # Capacity from the list, relative to the other endpoints.
    capacity_weight: float = 1.0
    # The part of the capacity that is left, where the weights follow the load; 1 where weights are fixed.
    remaining_weight: float = 1.0
    # When this balancer was notified that the endpoint drains or is removed; else NOT_DRAINING.
    drain_notified_at: float = NOT_DRAINING

    # This balancer's running attempts and open connections: count, sum of loads, count by affinity group.
    connections: int = 0
    load: float = 0.0
    connections_by_group: dict[AffinityGroup, int] = field(default_factory=dict)
    # Recent placements on the endpoint, oldest first; recorded only where load reports are used.
    recent_placements: list[Placement] = field(default_factory=list)

    # When a message last took longer than its latency objective.
    overloaded_at: float = NEVER_HAPPENED
    # When a message last took longer than a third of its latency objective.
    slow_message_at: float = NEVER_HAPPENED
    # The endpoint gets no new work before this time.
    paused_until: float = NEVER_HAPPENED

    # When it was added, rejoined or restarted: its probability of being drawn rises from then on.
    ramp_started_at: float = NEVER_HAPPENED
    # Slow start: when this balancer's cold budget was drawn, and how many attempts are left of it.
    cold_budget_drawn_at: float = NEVER_HAPPENED
    cold_budget: int = 0

    # Load reports: load divided by capacity, when it was reported and polled, and the load per connection.
    reported_load: float = 0.0
    reported_at: float = 0.0
    polled_at: float = 0.0
    connection_cost: float = 0.0

    # Outlier detection: smoothed share of failed attempts, and the trials while ejected.
    failure_rate: float = 0.0
    is_ejected: bool = False
    is_trial_running: bool = False
    successful_trials: int = 0
    next_trial_at: float = 0.0
    trial_backoff_ms: float = 0.0

    @classmethod
    def from_list(cls, endpoint: Endpoint, started_at: float | None = None) -> EndpointState:
        """Create an endpoint from its first entry in the list.

        started_at: the plausible start time, ms; None: the start time of the entry.
        """
        return cls(
            id=endpoint.id,
            zone=endpoint.zone,
            cell=endpoint.cell,
            lifecycle=endpoint.lifecycle,
            started_at=endpoint.started_at if started_at is None else started_at,
            listed_started_at=endpoint.started_at,
            hash=stable_hash(endpoint.id),
        )

    def ramp(self, now: float, duration_ms: float, start: float) -> float:
        """Return the share of its selection probability that a new endpoint has by now.

        It rises linearly from `start` to 1 within `duration_ms`, and further after that.
        """
        return start + (1 - start) * (now - self.ramp_started_at) / duration_ms

    def add_connection(self, load: float, group: AffinityGroup) -> None:
        """Count an attempt or a connection with this load."""
        self.connections += 1
        self.load += load
        if group is not None:
            self.connections_by_group[group] = self.connections_by_group.get(group, 0) + 1

    def remove_connection(self, load: float, group: AffinityGroup) -> None:
        """Stop counting an attempt or a connection with this load."""
        self.connections -= 1
        self.load = self.load - load if self.connections else 0.0
        if group is None:
            return
        self.connections_by_group[group] -= 1
        if not self.connections_by_group[group]:
            del self.connections_by_group[group]

    def add_placement(self, placement: Placement, max_age_ms: float) -> None:
        """Record a placement; placements older than `max_age_ms` are dropped."""
        since = placement.placed_at - max_age_ms
        recent = [item for item in self.recent_placements if item.placed_at > since]
        self.recent_placements = [*recent, placement]

    def is_trial_due(self, now: float) -> bool:
        """Whether a trial attempt may be sent to the endpoint although it is ejected."""
        return self.is_ejected and not self.is_trial_running and self.next_trial_at <= now

    def postpone_trial(self, now: float, backoff_ms: float) -> None:
        """Schedule the next trial after a backoff, and reset the count of successful trials."""
        self.successful_trials = 0
        self.trial_backoff_ms = backoff_ms
        self.next_trial_at = now + backoff_ms

    def reset_failures(self, now: float) -> None:
        """Clear the record of failures and start the ramp of a new endpoint."""
        self.failure_rate = 0.0
        self.is_ejected = False
        self.is_trial_running = False
        self.successful_trials = 0
        self.next_trial_at = 0.0
        self.ramp_started_at = now

    def reset_for_restart(self, now: float) -> None:
        """Reset what the previous process of this endpoint showed: load reports, overload and failures."""
        self.reset_failures(now)
        self.reported_load = 0.0
        self.reported_at = 0.0
        self.connection_cost = 0.0
        self.slow_message_at = NEVER_HAPPENED
        self.overloaded_at = NEVER_HAPPENED
        self.paused_until = NEVER_HAPPENED
