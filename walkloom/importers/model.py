"""The servers that importers read, the errors, and the form of the printed list.

ImporterError
├── UsageError             no file was given
├── FileImportError        a file cannot be imported; the cause of the error is the reason
├── UnreadableLineError    a line cannot be read
├── WorkerReferenceError   a worker refers to itself
└── DuplicateServerError   two servers have the same name
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

# Generation of the printed list: older than any that discovery sends.
IMPORTED_GENERATION = 0

# Start time of an imported server, Unix time in ms: long past, so that it is not in slow start.
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
    """A worker refers to itself, directly or through other workers."""

    def __init__(self, worker_name: str) -> None:
        super().__init__(f"worker {worker_name}: refers to itself")
        self.worker_name = worker_name


class DuplicateServerError(ImporterError):
    """Two servers have the same name, which must be unique in an endpoint list."""

    def __init__(self, names: list[str]) -> None:
        super().__init__("two members have the same name")
        self.names = names


# Far above the largest weight that mod_proxy_balancer or mod_jk accepts.
MAX_WEIGHT = 1e6


@dataclass(frozen=True, slots=True)
class ImportedServer:
    """A server on the list of another balancer."""

    # Its route, which identifies it in sessions; without a route, its name in the file.
    name: str

    # Host name or IP address, without brackets.
    host: str

    port: int

    # Its capacity, relative to the other servers.
    weight: float = 1.0

    # Name of its zone; empty if it has none.
    zone: str = ""

    # Whether it keeps its connections but accepts no new ones.
    draining: bool = False

    # Whether it accepts no connections; the printed list then omits it.
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class ImportedList:
    """The content of one file."""

    servers: tuple[ImportedServer, ...]

    # One line for each part of the file that is not carried over.
    warnings: tuple[str, ...]


def parse_weight(text: str) -> float:
    """Return a server's weight; raises ValueError if it is not a number from 0 to MAX_WEIGHT."""
    weight = float(text)
    if not 0.0 <= weight <= MAX_WEIGHT:  # also rejects nan
        raise ValueError(f"not a weight: {text!r}")
    return weight


def to_discovery_form(servers: tuple[ImportedServer, ...]) -> dict[str, object]:
    """Return the servers, except stopped ones, as a snapshot in discovery's form.

    walkloom/discovery/codec.py reads this form. Raises DuplicateServerError.
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
