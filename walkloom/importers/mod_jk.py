"""Reads the worker files (workers.properties) of mod_jk."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from walkloom.importers.logical_lines import logical_lines
from walkloom.importers.model import (
    ImportedList,
    ImportedServer,
    UnreadableLineError,
    WorkerReferenceError,
    parse_weight,
)

# Types of workers that are servers; other types are load balancers or status pages.
SERVER_TYPES = ("ajp13", "ajp14")
DEFAULT_TYPE = "ajp13"
DEFAULT_HOST = "localhost"
DEFAULT_PORT = "8009"

# First letters of the values of the property `activation`.
ACTIVE = "A"
DISABLED = "D"
STOPPED = "S"

# Properties of a worker that are carried over or used by the import; others cause a warning.
KNOWN_PROPERTIES = {"type", "host", "port", "lbfactor", "route", "activation", "domain", "reference"}

WORKER_PREFIX = "worker."
WORKER_LIST = "worker.list"

# Properties whose values accumulate over several lines.
CUMULATIVE_SUFFIXES = (".balance_workers", WORKER_LIST)

# Properties that name the members of a load balancer; the second is the older name.
MEMBER_SUFFIXES = (".balance_workers", ".balanced_workers")

_COMMENT_MARKS = "#!"
_MACRO = re.compile(r"\$\(([^)]+)\)")
_NAME_SEPARATORS = re.compile(r"[,\s]+")


@dataclass(slots=True)
class _Properties:
    """The properties and macros of a worker file."""

    # Values of the lines worker.NAME.PROPERTY=VALUE, by their full keys.
    values: dict[str, str] = field(default_factory=dict)

    # Line number of each key.
    line_numbers: dict[str, int] = field(default_factory=dict)

    # Values of all other lines, which replace $(NAME) in later lines.
    macros: dict[str, str] = field(default_factory=dict)

    def add(self, line_number: int, key: str, value: str) -> None:
        value = _MACRO.sub(lambda match: self.macros.get(match[1], match[0]), value)
        if not key.startswith(WORKER_PREFIX):
            self.macros[key] = value
        elif key in self.values and key.endswith(CUMULATIVE_SUFFIXES):
            self.values[key] += "," + value
        else:
            self.values[key] = value
            self.line_numbers[key] = line_number

    def server_names(self) -> list[str]:
        """Return the members of all load balancers; if there are none, the workers of worker.list."""
        member_lists = [value for key, value in self.values.items() if key.endswith(MEMBER_SUFFIXES)]
        names = _split_names(",".join(member_lists))
        if not names:
            names = _split_names(self.values.get(WORKER_LIST, ""))
        return list(dict.fromkeys(names))

    def worker_properties(self, name: str, referrers: tuple[str, ...] = ()) -> dict[str, str]:
        """Return a worker's properties, which override those of the worker that it references.

        referrers: the chain of workers whose references led to this one. Raises WorkerReferenceError if it
        references itself.
        """
        if name in referrers:
            raise WorkerReferenceError(name)
        prefix = f"{WORKER_PREFIX}{name}."
        own = {
            key.removeprefix(prefix): value for key, value in self.values.items() if key.startswith(prefix)
        }
        if "reference" not in own:
            return own
        template = own["reference"].removeprefix(WORKER_PREFIX)
        return self.worker_properties(template, (*referrers, name)) | own

    def first_line_number(self, name: str) -> int:
        """Return the number of a worker's first line; 0 if it has no line."""
        prefix = f"{WORKER_PREFIX}{name}."
        numbers = [number for key, number in self.line_numbers.items() if key.startswith(prefix)]
        return min(numbers, default=0)


def parse_workers(text: str) -> ImportedList:
    """Read worker.NAME.PROPERTY=VALUE lines, with templates (`reference`) and the members of load balancers.

    Raises UnreadableLineError or WorkerReferenceError.
    """
    properties = _parse_properties(text)
    servers: list[ImportedServer] = []
    warnings: list[str] = []
    for name in properties.server_names():
        worker = properties.worker_properties(name)
        worker_type = worker.get("type", DEFAULT_TYPE)
        if worker_type not in SERVER_TYPES:
            warnings.append(f"worker {name}: type {worker_type} is no server")
            continue
        servers.append(_to_server(name, worker, properties))
        unknown = sorted(worker.keys() - KNOWN_PROPERTIES)
        warnings += [f"worker {name}: {key} is not carried over" for key in unknown]
    return ImportedList(tuple(servers), tuple(warnings))


def _parse_properties(text: str) -> _Properties:
    properties = _Properties()
    for line_number, line in logical_lines(text):
        if not line or line[0] in _COMMENT_MARKS:
            continue
        key, separator, value = line.partition("=")
        if not separator:
            raise UnreadableLineError(line_number, "not key=value")
        properties.add(line_number, key.strip(), value.strip())
    return properties


def _to_server(name: str, worker: dict[str, str], properties: _Properties) -> ImportedServer:
    activation = worker.get("activation", ACTIVE).upper()[:1]
    try:
        port = int(worker.get("port", DEFAULT_PORT))
        weight = parse_weight(worker.get("lbfactor", "1"))
    except ValueError as error:
        raise UnreadableLineError(properties.first_line_number(name), f"worker {name}: {error}") from error
    return ImportedServer(
        name=worker.get("route", name),
        host=worker.get("host", DEFAULT_HOST),
        port=port,
        weight=weight,
        zone=worker.get("domain", ""),
        draining=activation == DISABLED,
        stopped=activation == STOPPED,
    )


def _split_names(text: str) -> list[str]:
    """Split names at commas and white space."""
    return [name for name in _NAME_SEPARATORS.split(text) if name]
