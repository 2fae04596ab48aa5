"""What a balancer knows of one server."""

from __future__ import annotations

from zlib import crc32

from walkloom.messages import AffinityGroup, Endpoint


class EndpointState:
    """What this balancer knows of one server, from its own list and traffic; the class holds the defaults."""

    size = idle = 1.0  # as the list rates it; its live weight: size over all that is held
    told = -1.0  # when this balancer was told that it drains or is gone; -1: it is ready
    late_at = slow_at = choked_till = ramp_from = -1e12
    conns, load = 0, 0.0  # own attempts and open connections here; their load, where known
    looked, quota = -1e12, 0  # cold budget: when the own part was drawn, and sends left of it
    x0 = told_at = asked_at = cost = 0.0  # load over capacity; told, asked for; what a connection adds to it
    failing, out, trying, clean, trial_at, trial_ms = 0.0, False, False, 0, 0.0, 0.0

    def __init__(self, line: Endpoint) -> None:
        self.id, self.zone, self.cell = line.id, line.zone, line.cell
        self.state, self.since, self.salt = line.lifecycle, line.started_at, crc32(repr(line.id).encode())
        self.groups: dict[AffinityGroup, int] = {}
        self.fresh: list[tuple[float, float]] = []  # when and with what load the newest were placed here

    def warmth(self, now: float, slow_start_ms: float, min_capacity: float) -> float:
        """The share of its capacity that it has at a time: it rises evenly from its start for so long."""
        warm = 1.0 if self.since <= 0 or not slow_start_ms else max(now - self.since, 0.0) / slow_start_ms
        return min(min_capacity + (1 - min_capacity) * warm, 1.0)

    def hold(self, load: float, group: AffinityGroup) -> None:
        """Count an attempt or a connection."""
        self.conns, self.load = self.conns + 1, self.load + load
        if group is not None:
            self.groups[group] = self.groups.get(group, 0) + 1

    def release(self, load: float, group: AffinityGroup) -> None:
        """Count it no longer."""
        self.conns -= 1
        self.load = self.load - load if self.conns else 0.0
        if group is not None:
            self.groups[group] -= 1
            if not self.groups[group]:
                del self.groups[group]

    def forget(self, ramp_from: float) -> None:
        self.failing, self.out, self.trying, self.clean = 0.0, False, False, 0
        self.trial_at, self.trial_ms, self.ramp_from = 0.0, 0.0, ramp_from

    def renew(self, since: float) -> None:
        """A new process under the old id: no report or jam of the old one holds."""
        self.forget(since)
        self.x0 = self.told_at = self.cost = 0.0
        self.slow_at = self.late_at = self.choked_till = -1e12
