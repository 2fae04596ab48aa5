"""The registry of a run: the servers with their lifecycles, in versions. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from walkloom.lab.soak.history import Lifecycle


@dataclass
class ServerEntry:
    """The entry of a server."""

    name: str
    address: str
    zone: str
    lifecycle: Lifecycle
    generation: int
    started_at_unix_ms: float = 0.0

    def to_wire(self) -> dict[str, object]:
        """Return the entry in its wire form."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": "std-node",
            "cell": 0,
            "lifecycle": self.lifecycle.value,
            "weight": 1.0,
            "startedAtMs": self.started_at_unix_ms,
        }


class Registry:
    """The endpoint list that discovery serves.

    generation: the version of the list; each change increments it.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._entries: dict[str, ServerEntry] = {}

    def add_server(self, name: str, address: str, zone: str) -> ServerEntry:
        """Add a server as ready; return its entry."""
        return self._update(ServerEntry(name, address, zone, Lifecycle.READY, 0))

    def set_lifecycle(self, name: str, lifecycle: Lifecycle, started_at_unix_ms: float = 0.0) -> ServerEntry:
        """Change the lifecycle of a server; return its entry.

        started_at_unix_ms: when the server started; 0: as before.
        """
        entry = self._entries[name]
        started_at = started_at_unix_ms or entry.started_at_unix_ms
        return self._update(ServerEntry(name, entry.address, entry.zone, lifecycle, 0, started_at))

    def _update(self, entry: ServerEntry) -> ServerEntry:
        self.generation += 1
        entry.generation = self.generation
        self._entries[entry.name] = entry
        return entry

    def snapshot(self) -> dict[str, object]:
        """Return the complete list in its wire form."""
        present = [entry for entry in self._entries.values() if entry.lifecycle is not Lifecycle.REMOVED]
        instances = [entry.to_wire() for entry in present]
        return {"generation": self.generation, "reset": True, "instances": instances}

    def list_after(self, generation: int | None) -> dict[str, object]:
        """Return the changes after a generation in their wire form; None: the complete list."""
        if generation is None or generation > self.generation:
            return self.snapshot()
        changed = [entry.to_wire() for entry in self._entries.values() if entry.generation > generation]
        return {"generation": self.generation, "reset": False, "instances": changed}
