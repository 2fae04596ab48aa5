"""What the platform tells a balancer at its start, read once into small values."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import orjson

from walkloom.messages import Settings
from walkloom.simulator import codec

T = TypeVar("T")
SOCKETS, SOCKETS_LEAST = (
    1024,
    24,
)  # where the file sets no limit; room for two RPCs beside transport.descriptor_limit.OWN
LONGEST_LEAST = 1.0  # ms


class ConfigError(ValueError):
    """A configuration that cannot be used; the text is one line for the staff."""


@dataclass(frozen=True, slots=True)
class SettingNames:
    """The settings' names, in the order in which the module numbers them."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors that this process may hold
    known: bytes  # the list as this balancer had it last, in discovery's form
    settings: Settings
    names: SettingNames
    fields: tuple[str, ...]  # of a load report, in the settings' order
    connect_timeout: float  # ms
    longest: float  # the longest time that a client waits for its answer, ms

    def fixed_changes(self, new: Config) -> list[str]:
        """The keys in which a file read again differs and which only a restart applies."""
        keys = ("name", "listen", "sockets", "settings", "names", "fields", "connect_timeout", "longest")
        return [key for key in keys if getattr(self, key) != getattr(new, key)]


def load(env: Mapping[str, str] = os.environ) -> Config:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG names no file")
    try:
        data = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return parse(data, path)


def parse(data: Any, origin: str) -> Config:
    """The configuration from the form of the platform's file. origin: what an error names."""
    if not isinstance(data, dict):
        raise ConfigError(f"{origin}: not an object")

    def read(key: str, convert: Callable[[Any], T]) -> T:
        if data.get(key) is None:
            raise ConfigError(f"{origin}: lacks the key {key!r}")
        try:
            return convert(data[key])
        except (LookupError, ValueError, TypeError, AttributeError) as error:
            raise ConfigError(f"{origin}: {key}: {error}") from None

    settings, names, fields, connect_timeout, longest = read("settings", _settings)
    return Config(
        name=read("name", str),
        listen=read("listen", address),
        discovery=read("discovery", address),
        seed=read("seed", lambda text: int(str(text), 16)),
        sockets=read("limits", _sockets) if data.get("limits") else SOCKETS,
        known=orjson.dumps(data.get("known")),  # none: what discovery tells is waited for
        settings=settings,
        names=names,
        fields=fields,
        connect_timeout=connect_timeout,
        longest=longest,
    )


def _settings(data: Any) -> tuple[Settings, SettingNames, tuple[str, ...], float, float]:
    """For the module; all names; fields of a load report; connect timeout and longest deadline in ms."""
    profile = codec.SettingsReader(codec.flatten_settings(data))
    # on sockets loads are asked before a placement; the simulator's wire tells more without
    settings = replace(codec.settings(profile), server_reports_latency=False)
    names = SettingNames(
        _names(data, "classes"), _names(data, "accounts"), _names(data, "azs"), _names(data, "kinds")
    )
    if len(set(names.classes)) < len(names.classes):
        raise ValueError(f"classes: a name comes twice: {', '.join(names.classes)}")
    longest = (
        profile.number(f"classes.{i}.hard-limit", least=LONGEST_LEAST) for i in range(len(names.classes))
    )
    return (
        settings,
        names,
        _names(data, "stats", "fields"),
        profile.number("limits.connect-timeout", 1000.0),
        max(longest),
    )


def _sockets(limits: Any) -> int:
    limit = limits.get("sockets", SOCKETS)
    if int(limit) < SOCKETS_LEAST:
        raise ValueError(f"sockets: {limit} is under {SOCKETS_LEAST}")
    return int(limit)


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and int(port) < 1 << 16):
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def _names(data: Any, *keys: str) -> tuple[str, ...]:
    """The names of a list of plain ones or of objects; none where it is absent."""
    try:
        for key in keys:
            data = data.get(key) or {}
        return tuple(_text(x["name"] if isinstance(x, dict) else x) for x in data)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{'.'.join(keys)}: no list of names: {error!r}") from None


def _text(name: Any) -> str:
    if name is None:
        raise TypeError("null")
    return str(name)
