"""The configuration that the platform passes to a balancer at its start.

GW_CONFIG names a JSON file. `load` reads it, and `parse` converts it to typed and validated values. The
platform defines the keys of the file; only this module and `simulator/settings.py`, which reads the key
`settings`, use them.

ConfigError is the only error that this module raises.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import orjson

from walkloom.messages import Settings
from walkloom.simulator.settings import SettingsReader, flatten_settings, read_settings

T = TypeVar("T")

# Environment variable that holds the path of the configuration file.
PATH_VARIABLE = "GW_CONFIG"

# Number of descriptors that the process may hold if the file sets no limit.
DEFAULT_DESCRIPTORS = 1024

# Fewer descriptors do not work: this leaves room for two requests besides the descriptors that
# transport/descriptor_limit.py reserves for the process itself and for load reports.
MIN_DESCRIPTORS = 24

# No endpoint could meet a shorter deadline.
MIN_DEADLINE_MS = 1.0

# By the platform's rule, a change of the list counts as notified this long after discovery had it, or after a
# watch became silent.
MAX_LIST_AGE_MS = 6000.0

# By the platform's rule, everything that discovery has counts as notified this long after a SIGHUP.
RELOAD_NOTIFICATION_DELAY_MS = 4000.0

# By the platform's rule, the process may stall this long between reading its clock and writing.
MAX_STALL_MS = 150.0

# Timeout of a connection attempt if the file sets none.
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0

# One more than the largest TCP or UDP port.
PORT_END = 1 << 16

# The fields of Config whose changes need a restart. A reload applies `discovery`; the other fields are used
# only at the start.
RESTART_ONLY_FIELDS = (
    "name",
    "listen",
    "sockets",
    "settings",
    "names",
    "fields",
    "connect_timeout",
    "longest",
)


class ConfigError(ValueError):
    """An invalid configuration; the message is one line that an operator can act on.

    `field` is the invalid key of the file; None if the file as a whole is invalid or only the message names
    the key.
    """

    def __init__(self, text: str, *, field: str | None = None) -> None:
        super().__init__(text)
        self.field = field


@dataclass(frozen=True, slots=True)
class SettingNames:
    """The names listed in the settings; the policy refers to each by its index."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one balancer."""

    # The balancer's name in the log.
    name: str

    # Host and port to listen on; port 0: chosen by the system.
    listen: tuple[str, int]

    # Host and port of discovery.
    discovery: tuple[str, int]

    # Seed of the policy's random choices.
    seed: int

    # Number of descriptors that the process may hold.
    sockets: int

    # The last endpoint list of this balancer, in discovery's format; `null` if it had none.
    known: bytes

    # The policy's settings.
    settings: Settings

    # The names behind the indexes in `settings`.
    names: SettingNames

    # The fields of a load report that are passed to the policy, in this order.
    fields: tuple[str, ...]

    # Timeout of connecting to an endpoint, ms.
    connect_timeout: float

    # The longest deadline of all request classes, ms.
    longest: float

    # Age of `known` as this process's list, s. For a balancer in a process of its own, the time since the
    # process started.
    known_age_s: float = 0.0

    def restart_only_changes(self, new: Config) -> list[str]:
        """Return the changed fields of a reloaded configuration that take effect only after a restart."""
        return [field for field in RESTART_ONLY_FIELDS if getattr(self, field) != getattr(new, field)]


@dataclass(frozen=True, slots=True)
class _SettingsSection:
    """The content of the key `settings` of the file."""

    settings: Settings
    names: SettingNames
    load_report_fields: tuple[str, ...]
    connect_timeout_ms: float
    longest_deadline_ms: float


class _FileReader:
    """Reads keys of the file; each error names the file and the key."""

    def __init__(self, data: dict[str, Any], origin: str) -> None:
        self._data = data
        self._origin = origin

    def required(self, key: str, convert: Callable[[Any], T]) -> T:
        """Return the converted value of a key; raises ConfigError if it is missing or invalid."""
        value = self._data.get(key)
        if value is None:
            raise ConfigError(f"{self._origin}: missing key {key!r}", field=key)
        try:
            return convert(value)
        except (LookupError, ValueError, TypeError, AttributeError) as error:
            raise ConfigError(f"{self._origin}: {key}: {error}", field=key) from error


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read the file that GW_CONFIG names; raises ConfigError."""
    path = env.get(PATH_VARIABLE)
    if not path:
        raise ConfigError(f"{PATH_VARIABLE} names no file", field=PATH_VARIABLE)
    try:
        data = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return parse(data, path)


def parse(data: Any, origin: str) -> Config:
    """Return the configuration from the decoded file; raises ConfigError.

    origin: name of the file in error messages.
    """
    if not isinstance(data, dict):
        raise ConfigError(f"{origin}: not an object")
    reader = _FileReader(data, origin)
    section = reader.required("settings", _parse_settings)
    return Config(
        name=reader.required("name", str),
        listen=reader.required("listen", parse_address),
        discovery=reader.required("discovery", parse_address),
        seed=reader.required("seed", _parse_seed),
        sockets=reader.required("limits", _parse_descriptors) if data.get("limits") else DEFAULT_DESCRIPTORS,
        # Kept in discovery's format and decoded by its codec later, so that an invalid list does not prevent
        # the start.
        known=orjson.dumps(data.get("known")),
        settings=section.settings,
        names=section.names,
        fields=section.load_report_fields,
        connect_timeout=section.connect_timeout_ms,
        longest=section.longest_deadline_ms,
    )


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `HOST:PORT`; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _is_port(text: str) -> bool:
    # isdigit alone would also accept digits of other scripts.
    return text.isascii() and text.isdigit() and int(text) < PORT_END


def _parse_seed(value: Any) -> int:
    return int(str(value), 16)


def _parse_descriptors(limits: Any) -> int:
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if int(descriptors) < MIN_DESCRIPTORS:
        raise ValueError(f"sockets: {descriptors} is less than the minimum of {MIN_DESCRIPTORS}")
    return int(descriptors)


def _parse_settings(data: Any) -> _SettingsSection:
    """Return the settings; raises ValueError, TypeError or AttributeError that names the key."""
    reader = SettingsReader(flatten_settings(data))
    # Over sockets, loads are polled before a placement; endpoints report latencies on their own only on the
    # simulator's wire.
    settings = replace(
        read_settings(reader),
        server_reports_latency=False,
        max_stall_ms=MAX_STALL_MS,
        max_list_age_ms=MAX_LIST_AGE_MS,
        reload_notification_delay_ms=RELOAD_NOTIFICATION_DELAY_MS,
    )
    names = SettingNames(
        classes=_parse_names(data, "classes"),
        tenants=_parse_names(data, "accounts"),
        zones=_parse_names(data, "azs"),
        machine_types=_parse_names(data, "kinds"),
    )
    if len(set(names.classes)) < len(names.classes):
        raise ValueError(f"classes: duplicate name: {', '.join(names.classes)}")
    return _SettingsSection(
        settings=settings,
        names=names,
        load_report_fields=_parse_names(data, "stats", "fields"),
        connect_timeout_ms=reader.number("limits.connect-timeout", DEFAULT_CONNECT_TIMEOUT_MS),
        longest_deadline_ms=_longest_deadline_ms(reader, len(names.classes)),
    )


def _longest_deadline_ms(reader: SettingsReader, class_count: int) -> float:
    return max(
        reader.number(f"classes.{index}.hard-limit", minimum=MIN_DEADLINE_MS) for index in range(class_count)
    )


def _parse_names(data: Any, *keys: str) -> tuple[str, ...]:
    """Return the names in the list at a path of keys; empty if the path is absent.

    Each entry is a plain name, or an object with the key `name`.
    """
    section = data
    try:
        for key in keys:
            section = section.get(key) or {}
        return tuple(_parse_name(entry) for entry in section)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{'.'.join(keys)}: not a list of names: {error!r}") from error


def _parse_name(entry: Any) -> str:
    name = entry["name"] if isinstance(entry, dict) else entry
    if name is None:
        raise TypeError("null")
    return str(name)
