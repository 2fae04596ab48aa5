"""The endpoint list of the stub discovery: a log of changes, each visible after a delay. No I/O.

All times are ms of the laboratory's clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

MAX_LOGGED_CHANGES = 10_000  # a watcher that asks for older ones receives a snapshot


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """One server; `to_wire` gives the names of its fields on the wire."""

    name: str
    address: str
    zone: str
    kind: str
    lifecycle: str = "up"
    cell: int = 0
    capacity_weight: float = 1.0
    started_at_ms: float = 0.0  # Unix time

    def to_wire(self) -> dict[str, object]:
        """Return the entry as a JSON object of the registry's protocol."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": self.capacity_weight,
            "startedAtMs": self.started_at_ms,
        }


@dataclass(frozen=True, slots=True)
class RegistryChange:
    """A new version of one entry, with the generation that it starts."""

    generation: int
    visible_at_ms: float
    entry: RegistryEntry


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """The answer to one poll."""

    generation: int
    is_snapshot: bool
    changes: list[RegistryChange]
    entries: list[RegistryEntry]


class Registry:
    """Keeps the changes of the endpoint list; the newest change of each entry is never dropped."""

    def __init__(self) -> None:
        self._changes: list[RegistryChange] = []

    def put(self, entry: RegistryEntry, visible_at_ms: float) -> None:
        """Add or change an entry; a change becomes visible no earlier than older changes do."""
        generation = 1
        if self._changes:
            generation = self._changes[-1].generation + 1
            visible_at_ms = max(visible_at_ms, self._changes[-1].visible_at_ms)
        self._changes.append(RegistryChange(generation, visible_at_ms, entry))
        if len(self._changes) > MAX_LOGGED_CHANGES:
            newest = {change.entry.name: change for change in self._changes}
            self._changes = sorted(newest.values(), key=lambda change: change.generation)

    def update(self, name: str, visible_at_ms: float, **fields: object) -> None:
        """Change fields of an entry; raises KeyError if it does not exist."""
        newest = {change.entry.name: change.entry for change in self._changes}
        self.put(replace(newest[name], **fields), visible_at_ms)  # type: ignore[arg-type]

    def entries(self, now_ms: float) -> list[RegistryEntry]:
        """Return the entries that are visible and not removed."""
        visible = {change.entry.name: change.entry for change in self._visible_changes(now_ms)}
        return [entry for entry in visible.values() if entry.lifecycle != "removed"]

    def next_change_at_ms(self, generation: int) -> float:
        """Return when the next change after `generation` becomes visible; infinity if there is none yet."""
        change_times_ms = (change.visible_at_ms for change in self._changes if change.generation > generation)
        return min(change_times_ms, default=math.inf)

    def poll(self, index: int | None, now_ms: float) -> RegistryUpdate:
        """Return the entries newer than generation `index`, or a snapshot if the log does not have it."""
        visible = self._visible_changes(now_ms)
        generation = visible[-1].generation if visible else 0
        if index is None or index > generation or (visible and index < visible[0].generation - 1):
            return RegistryUpdate(generation, True, visible, self.entries(now_ms))
        newer = [change for change in visible if change.generation > index]
        entries = {change.entry.name: change.entry for change in newer}
        return RegistryUpdate(generation, False, newer, list(entries.values()))

    def _visible_changes(self, now_ms: float) -> list[RegistryChange]:
        return [change for change in self._changes if change.visible_at_ms <= now_ms]
