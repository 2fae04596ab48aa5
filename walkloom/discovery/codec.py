"""Codec of discovery's wire: turns the body of a response into an endpoint list update and addresses.

It alone knows the keys of discovery's JSON. It keeps no state and opens no connection.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

import orjson

from walkloom.config import SettingNames, parse_address
from walkloom.discovery.errors import MalformedEndpointListError
from walkloom.messages import Endpoint, EndpointId, EndpointListUpdate, Lifecycle, UpdateKind
from walkloom.transport.address import SocketAddress

log = logging.getLogger("walkloom")

# Of an entry that cannot be used, so that the log line stays short.
MAX_LOGGED_ENTRY_CHARACTERS = 80

# Values of the key `lifecycle`.
LIFECYCLES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}

# What an entry or a list in another form raises while it is read.
_FORM_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

# Larger numbers in an entry are no figure of any endpoint; sums and squares of them stay finite.
MAX_NUMBER = 1e15


@dataclass(frozen=True, slots=True)
class EndpointListResponse:
    """One decoded response of discovery."""

    # Key `generation`: the version of the list; the next call names it as `index`.
    generation: int

    # Key `reset` as its kind (true: SNAPSHOT, false: INCREMENTAL), key `instances` as its endpoints.
    update: EndpointListUpdate

    # Key `hostPort` of each entry that is not removed; of several entries of one endpoint the last holds.
    addresses: dict[EndpointId, SocketAddress]

    @property
    def whole(self) -> bool:
        """Former name of `update.kind is UpdateKind.SNAPSHOT`, for callers that still use it."""
        return self.update.kind is UpdateKind.SNAPSHOT

    @property
    def servers(self) -> tuple[Endpoint, ...]:
        """Former name of `update.endpoints`, for callers that still use it."""
        return self.update.endpoints


def decode(body: bytes, names: SettingNames) -> EndpointListResponse:
    """Decode the body of a response.

    Entries that cannot be used are left out and logged together as `discovery_entries_invalid`.

    Raises MalformedEndpointListError if the body is no list, or if it has entries and none can be used.
    """
    try:
        data = orjson.loads(body)
        endpoints, addresses = _decode_entries(data["instances"], names)
        generation = int(data["generation"])
        if generation < 0:
            raise ValueError(f"generation {generation}")
        kind = UpdateKind.SNAPSHOT if data["reset"] else UpdateKind.INCREMENTAL
    except _FORM_ERRORS as error:
        raise MalformedEndpointListError(error) from error
    return EndpointListResponse(generation, EndpointListUpdate(kind, endpoints), addresses)


def _decode_entries(
    entries: list[Any], names: SettingNames
) -> tuple[tuple[Endpoint, ...], dict[EndpointId, SocketAddress]]:
    """Decode the key `instances`: the endpoints, and the addresses of those that are not removed."""
    endpoints: list[Endpoint] = []
    addresses: dict[EndpointId, SocketAddress] = {}
    invalid: list[str] = []
    for entry in entries:
        try:
            endpoint = _decode_endpoint(entry, names)
            if endpoint.lifecycle is not Lifecycle.REMOVED:
                addresses[endpoint.id] = parse_address(entry["hostPort"])
        except _FORM_ERRORS as error:  # one entry in another form must not cost the rest of the list
            invalid.append(f"{error!r} in {entry!r}")
        else:
            endpoints.append(endpoint)
    if invalid:
        last = invalid[-1][:MAX_LOGGED_ENTRY_CHARACTERS]
        log.warning("discovery_entries_invalid count=%d last=%r", len(invalid), last)
    if invalid and not endpoints:
        # A snapshot in a form that is not ours would otherwise remove every cached endpoint.
        raise ValueError("no entry in a known form")
    return tuple(endpoints), addresses


def _decode_endpoint(entry: dict[str, Any], names: SettingNames) -> Endpoint:
    """Decode one entry of `instances`; all keys but instanceId and lifecycle may be absent or null."""
    return Endpoint(
        id=str(entry["instanceId"]),
        zone=_index(names.zones, entry.get("zone")),
        machine_type=_index(names.machine_types, entry.get("machineType")),
        cell=int(_number(entry, "cell", 0.0)),
        lifecycle=LIFECYCLES[entry["lifecycle"]],
        capacity_weight=_number(entry, "weight", 1.0),
        started_at=_number(entry, "startedAtMs", 0.0),
    )


def _number(entry: dict[str, Any], key: str, default: float) -> float:
    """Return the number under an optional key; raises ValueError where it is none from 0 to MAX_NUMBER."""
    value = entry.get(key)
    if value is None:
        return default
    number = float(value)
    if not 0.0 <= number <= MAX_NUMBER:  # nan is not either
        raise ValueError(f"{key}: {value!r}")
    return number


def _index(names: tuple[str, ...], name: object) -> int:
    """Return the index of a zone or machine type; one that the settings do not name counts as one more."""
    if name in names:
        return names.index(name)
    return len(names)
