"""What the importers read, their errors, and the list that is printed from it.

ImporterError
├── UsageError             no file was named
├── FileImportError        a file cannot be imported; its cause says why
├── UnreadableLineError              a line cannot be read
├── WorkerReferenceError   a worker refers to itself
└── DuplicateServerError   two servers have one name
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

# Generation of the printed list: older than any that discovery sends.
IMPORTED_GENERATION = 0

# Start of an imported server, Unix time in ms: long ago.
IMPORTED_STARTED_AT_MS = 0


class ImporterError(ValueError):
    """Files that cannot be imported; the text names file, line and cause as far as they are known."""


class UsageError(ImporterError):
    """The command was called without a file."""

    def __init__(self) -> None:
        super().__init__("usage: python -m walkloom.importers.parser FILE...")


class FileImportError(ImporterError):
    """A file cannot be imported."""

    def __init__(self, path: Path, error: ImporterError) -> None:
        super().__init__(f"{path}: {error}")
        self.path = path


class UnreadableLineError(ImporterError):
    """A line cannot be read."""

    def __init__(self, line_number: int, problem: str) -> None:
        super().__init__(f"line {line_number}: {problem}")
        self.line_number = line_number
        self.problem = problem


class WorkerReferenceError(ImporterError):
    """A worker refers to itself, directly or over others."""

    def __init__(self, worker_name: str) -> None:
        super().__init__(f"worker {worker_name}: refers to itself")
        self.worker_name = worker_name


class DuplicateServerError(ImporterError):
    """Two servers have one name, by which the list must tell them apart."""

    def __init__(self, names: list[str]) -> None:
        super().__init__("two members have one name")
        self.names = names


# Far above what either program takes.
MAX_WEIGHT = 1e6


@dataclass(frozen=True, slots=True)
class ImportedServer:
    """One server of another balancer's list."""

    # Its route, by which sessions name it; else what its file calls it.
    name: str

    # Host name or IP address, without brackets.
    host: str

    port: int

    # Its capacity, relative to that of the others.
    weight: float = 1.0

    # Name of its zone; empty: none.
    zone: str = ""

    # It keeps the connections that it has and takes no new ones.
    draining: bool = False

    # It takes no connections; the list leaves it out.
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class ImportedList:
    """What one file holds."""

    servers: tuple[ImportedServer, ...]

    # What was read and is not carried over, a line each.
    warnings: tuple[str, ...]


def parse_weight(text: str) -> float:
    """Return a server's weight; raises ValueError where it is no number from 0 to MAX_WEIGHT."""
    weight = float(text)
    if not 0.0 <= weight <= MAX_WEIGHT:  # nan is not either
        raise ValueError(f"not a weight: {text!r}")
    return weight


def to_discovery_form(servers: tuple[ImportedServer, ...]) -> dict[str, object]:
    """Return the servers as a whole list in discovery's form, without those that are stopped.

    Its keys are those that walkloom/discovery/codec.py reads. Raises DuplicateServerError.
    """
    names = [server.name for server in servers]
    if len(set(names)) < len(names):
        raise DuplicateServerError(names)
    instances = [_to_instance(server) for server in servers if not server.stopped]
    return {"generation": IMPORTED_GENERATION, "reset": True, "instances": instances}


def _to_instance(server: ImportedServer) -> dict[str, object]:
    return {
        "instanceId": server.name,
        "hostPort": f"{server.host}:{server.port}",
        "zone": server.zone,
        "lifecycle": "draining" if server.draining else "up",
        "weight": server.weight,
        "startedAtMs": IMPORTED_STARTED_AT_MS,
    }
