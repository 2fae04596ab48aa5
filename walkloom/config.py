"""The configuration that the platform hands to a balancer at its start.

GW_CONFIG names a JSON file. `load` reads it and `parse` turns it into typed values, each checked. The keys of
the file are the platform's; only this module and `simulator/settings.py`, which reads the key `settings`,
know them.

ConfigError is the one error of this module.
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

# Names the configuration file.
PATH_VARIABLE = "GW_CONFIG"

# Descriptors that the process may hold, where the file sets no limit.
DEFAULT_DESCRIPTORS = 1024

# Fewer descriptors do not work: this leaves room for two requests beside those that
# transport/descriptor_limit.py sets apart for the process itself and for load reports.
MIN_DESCRIPTORS = 24

# A shorter deadline could not be met by any endpoint.
MIN_DEADLINE_MS = 1.0

# A change of the list counts as notified so long after discovery had it, or after a watch fell silent. The
# platform's rule.
MAX_LIST_AGE_MS = 6000.0

# The process may be held up so long between reading its clock and writing. The platform's rule.
MAX_HOLD_UP_MS = 150.0

# How long a connection attempt may take, where the file does not say.
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0

# One more than the largest TCP or UDP port.
PORT_END = 1 << 16

# The fields of Config that only a restart applies; a reload applies `discovery`, and the rest matters only
# at the start.
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
    """A configuration that cannot be used; the text is one line that an operator can act on.

    `field` is the key of the file that is at fault; None where it is the file as a whole, or where the text
    alone names it.
    """

    def __init__(self, text: str, *, field: str | None = None) -> None:
        super().__init__(text)
        self.field = field


@dataclass(frozen=True, slots=True)
class SettingNames:
    """The names that the settings list; the policy knows each by its index."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one balancer."""

    # The balancer's name, for the log.
    name: str

    # Host and port to listen on; port 0: the system chooses.
    listen: tuple[str, int]

    # Host and port of discovery.
    discovery: tuple[str, int]

    # Of the policy's random choices.
    seed: int

    # Descriptors that the process may hold.
    sockets: int

    # The endpoint list as this balancer had it last, in discovery's form; `null` where it had none.
    known: bytes

    # What the policy needs to know of the service.
    settings: Settings

    # The names behind the indexes in `settings`.
    names: SettingNames

    # The fields of a load report that go to the policy, in this order.
    fields: tuple[str, ...]

    # How long connecting to an endpoint may take, ms.
    connect_timeout: float

    # The longest deadline of all request classes, ms.
    longest: float

    # For how long `known` has been this process's list, s: since its start, where it is the process's own.
    known_age_s: float = 0.0

    def fixed_changes(self, new: Config) -> list[str]:
        """Return the fields in which a file that was read again differs and which wait for a restart."""
        return [field for field in RESTART_ONLY_FIELDS if getattr(self, field) != getattr(new, field)]


@dataclass(frozen=True, slots=True)
class _SettingsSection:
    """What the file holds under the key `settings`."""

    settings: Settings
    names: SettingNames
    load_report_fields: tuple[str, ...]
    connect_timeout_ms: float
    longest_deadline_ms: float


class _FileReader:
    """Reads keys of the file, and names the file and the key in each error."""

    def __init__(self, data: dict[str, Any], origin: str) -> None:
        self._data = data
        self._origin = origin

    def required(self, key: str, convert: Callable[[Any], T]) -> T:
        """Return the converted value of a key; raises ConfigError where it is absent or cannot be used."""
        value = self._data.get(key)
        if value is None:
            raise ConfigError(f"{self._origin}: lacks the key {key!r}", field=key)
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

    origin: what an error names as the file.
    """
    if not isinstance(data, dict):
        raise ConfigError(f"{origin}: not an object")
    reader = _FileReader(data, origin)
    section = reader.required("settings", _parse_settings)
    return Config(
        name=reader.required("name", str),
        listen=reader.required("listen", address),
        discovery=reader.required("discovery", address),
        seed=reader.required("seed", _parse_seed),
        sockets=reader.required("limits", _parse_descriptors) if data.get("limits") else DEFAULT_DESCRIPTORS,
        # Kept in discovery's form, whose codec reads it; a list that cannot be used must not prevent a start.
        known=orjson.dumps(data.get("known")),
        settings=section.settings,
        names=section.names,
        fields=section.load_report_fields,
        connect_timeout=section.connect_timeout_ms,
        longest=section.longest_deadline_ms,
    )


def address(text: str) -> tuple[str, int]:
    """Return host and port of `HOST:PORT`; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not _is_port(port):
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _is_port(text: str) -> bool:
    # isdigit alone also holds for digits of other scripts.
    return text.isascii() and text.isdigit() and int(text) < PORT_END


def _parse_seed(value: Any) -> int:
    return int(str(value), 16)


def _parse_descriptors(limits: Any) -> int:
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if int(descriptors) < MIN_DESCRIPTORS:
        raise ValueError(f"sockets: {descriptors} is under {MIN_DESCRIPTORS}")
    return int(descriptors)


def _parse_settings(data: Any) -> _SettingsSection:
    """Return the settings; raises ValueError, TypeError or AttributeError with a text that names the key."""
    reader = SettingsReader(flatten_settings(data))
    # Over sockets loads are polled before a placement; only on the simulator's wire do endpoints report
    # latencies by themselves.
    settings = replace(
        read_settings(reader),
        server_reports_latency=False,
        max_stall_ms=MAX_HOLD_UP_MS,
        max_list_age_ms=MAX_LIST_AGE_MS,
    )
    names = SettingNames(
        classes=_parse_names(data, "classes"),
        tenants=_parse_names(data, "accounts"),
        zones=_parse_names(data, "azs"),
        machine_types=_parse_names(data, "kinds"),
    )
    if len(set(names.classes)) < len(names.classes):
        raise ValueError(f"classes: a name comes twice: {', '.join(names.classes)}")
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
    """Return the names in the list at a path of keys; empty where it is absent.

    An entry is a plain name, or an object with the key `name`.
    """
    section = data
    try:
        for key in keys:
            section = section.get(key) or {}
        return tuple(_parse_name(entry) for entry in section)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{'.'.join(keys)}: no list of names: {error!r}") from error


def _parse_name(entry: Any) -> str:
    name = entry["name"] if isinstance(entry, dict) else entry
    if name is None:
        raise TypeError("null")
    return str(name)
