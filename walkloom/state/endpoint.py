"""What a balancer knows of one endpoint, from its own list and traffic."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from walkloom.messages import AffinityGroup, Endpoint, EndpointId, Lifecycle
from walkloom.state.stable_hash import stable_hash

LONG_AGO = -1e12  # before all times that can come, ms
READY = -1.0  # in place of the time of a drain notice: there is none


class Placement(NamedTuple):
    """A connection that was placed on an endpoint by this balancer."""

    # When it was placed, ms.
    at: float

    # Its load, relative to the mean.
    load: float


@dataclass(eq=False, slots=True)
class EndpointState:
    """One endpoint; times are absolute ms, LONG_AGO where nothing has happened yet."""

    id: EndpointId
    zone: int
    cell: int
    lifecycle: Lifecycle
    # When its process started, as far as the list's claim is plausible; 0: long ago.
    started_at: float
    # What the list claims of that.
    claimed_start: float
    # The same at all balancers, for rendezvous hashing.
    hash: int

    # Capacity as the list rates it, relative to the others.
    capacity_weight: float = 1.0
    # What is left of it by a weight that follows the load; 1 where weights are fixed.
    spare_weight: float = 1.0
    # When this balancer was notified that it drains or is removed; READY where it is neither.
    drain_notified_at: float = READY

    # Own attempts and open connections here, their loads together, and their numbers by group.
    connections: int = 0
    load: float = 0.0
    connections_by_group: dict[AffinityGroup, int] = field(default_factory=dict)
    # What was placed here recently, oldest first; kept where load reports are in use.
    recent_placements: list[Placement] = field(default_factory=list)

    # The newest message that took longer than its latency objective.
    overloaded_at: float = LONG_AGO
    # The newest message that took longer than a third of it.
    slow_message_at: float = LONG_AGO
    # Nothing new is placed here before.
    paused_until: float = LONG_AGO

    # When it became known, rejoined or started anew: its chance to be drawn rises from then.
    ramp_started_at: float = LONG_AGO
    # Slow start: when this balancer's part was drawn, and how many attempts are left of it.
    cold_budget_drawn_at: float = LONG_AGO
    cold_budget: int = 0

    # Load reports: load over capacity, when it was reported and polled, and what a connection adds.
    reported_load: float = 0.0
    reported_at: float = 0.0
    polled_at: float = 0.0
    connection_cost: float = 0.0

    # Outlier detection: smoothed share of failed attempts, and the trials of an ejected endpoint.
    failure_rate: float = 0.0
    is_ejected: bool = False
    is_trial_running: bool = False
    clean_trials: int = 0
    next_trial_at: float = 0.0
    trial_backoff_ms: float = 0.0

    @classmethod
    def from_list(cls, endpoint: Endpoint, started_at: float | None = None) -> EndpointState:
        """An endpoint that the list names for the first time; started_at: ms; None: as it claims."""
        return cls(
            id=endpoint.id,
            zone=endpoint.zone,
            cell=endpoint.cell,
            lifecycle=endpoint.lifecycle,
            started_at=endpoint.started_at if started_at is None else started_at,
            claimed_start=endpoint.started_at,
            hash=stable_hash(endpoint.id),
        )

    def ramp(self, now: float, duration_ms: float, start: float) -> float:
        """The part of its chance that a newcomer has by now: rises evenly from `start`, over 1 in the end."""
        return start + (1 - start) * (now - self.ramp_started_at) / duration_ms

    def add_connection(self, load: float, group: AffinityGroup) -> None:
        """Count an attempt or a connection of this load."""
        self.connections += 1
        self.load += load
        if group is not None:
            self.connections_by_group[group] = self.connections_by_group.get(group, 0) + 1

    def remove_connection(self, load: float, group: AffinityGroup) -> None:
        """Count it no longer."""
        self.connections -= 1
        self.load = self.load - load if self.connections else 0.0
        if group is None:
            return
        self.connections_by_group[group] -= 1
        if not self.connections_by_group[group]:
            del self.connections_by_group[group]

    def add_placement(self, placement: Placement, max_age_ms: float) -> None:
        """Remember what was placed here; older placements than `max_age_ms` are forgotten."""
        since = placement.at - max_age_ms
        recent = [item for item in self.recent_placements if item.at > since]
        self.recent_placements = [*recent, placement]

    def is_trial_due(self, now: float) -> bool:
        """Whether an attempt may try it although it is ejected."""
        return self.is_ejected and not self.is_trial_running and self.next_trial_at <= now

    def put_off_trial(self, now: float, backoff_ms: float) -> None:
        """The next trial comes after a backoff, and the clean ones count anew."""
        self.clean_trials = 0
        self.trial_backoff_ms = backoff_ms
        self.next_trial_at = now + backoff_ms

    def forget_failures(self, now: float) -> None:
        """Start the ramp of a newcomer, with no failure on record."""
        self.failure_rate = 0.0
        self.is_ejected = False
        self.is_trial_running = False
        self.clean_trials = 0
        self.next_trial_at = 0.0
        self.ramp_started_at = now

    def forget_process(self, now: float) -> None:
        """A new process runs under the old id: no report, overload or failure of the old one holds."""
        self.forget_failures(now)
        self.reported_load = 0.0
        self.reported_at = 0.0
        self.connection_cost = 0.0
        self.slow_message_at = LONG_AGO
        self.overloaded_at = LONG_AGO
        self.paused_until = LONG_AGO
