"""Codec of discovery's wire: decodes the body of a response to an endpoint list update and addresses.

Only this module knows the keys of discovery's JSON. It has no state and does no I/O.
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

# Length to which an invalid entry is cut in its log line.
MAX_LOGGED_ENTRY_CHARACTERS = 80

# Values of the key `lifecycle`.
LIFECYCLES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}

# Far above the size of a fleet; decoding more would hold all connections up for seconds.
MAX_ENTRIES = 50_000

# Raised while an entry or a list of another form is decoded.
_PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

# Larger numbers in an entry are invalid. Sums and squares of numbers up to this limit stay finite.
MAX_NUMBER = 1e15


@dataclass(frozen=True, slots=True)
class EndpointListResponse:
    """A decoded response of discovery."""

    # Key `generation`: the version of the list; the next call sends it as `index`.
    generation: int

    # Key `reset` as its kind (true: SNAPSHOT, false: INCREMENTAL), key `instances` as its endpoints.
    update: EndpointListUpdate

    # Key `hostPort` of each entry that is not removed. If an endpoint has several entries, the last applies.
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

    Invalid entries are skipped and logged in one line, `discovery_entries_invalid`.

    Raises MalformedEndpointListError if the body is not an endpoint list, or if it has entries and all are
    invalid.
    """
    try:
        data = orjson.loads(body)
        endpoints, addresses = _decode_entries(data["instances"], names)
        generation = int(data["generation"])
        if generation < 0:
            raise ValueError(f"generation {generation}")
        kind = UpdateKind.SNAPSHOT if data["reset"] else UpdateKind.INCREMENTAL
    except _PARSE_ERRORS as error:
        raise MalformedEndpointListError(error) from error
    return EndpointListResponse(generation, EndpointListUpdate(kind, endpoints), addresses)


def _decode_entries(
    entries: list[Any], names: SettingNames
) -> tuple[tuple[Endpoint, ...], dict[EndpointId, SocketAddress]]:
    """Decode the key `instances`: the endpoints, and the addresses of those that are not removed.

    Raises ValueError if there are too many entries, or if there are entries and all are invalid.
    """
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} entries, {MAX_ENTRIES} at most")
    endpoints: list[Endpoint] = []
    addresses: dict[EndpointId, SocketAddress] = {}
    invalid_count = 0
    last_invalid: tuple[Exception, Any] | None = None
    for entry in entries:
        try:
            endpoint = _decode_endpoint(entry, names)
            if endpoint.lifecycle is not Lifecycle.REMOVED:
                addresses[endpoint.id] = parse_address(entry["hostPort"])
        except _PARSE_ERRORS as error:  # an invalid entry must not discard the rest of the list
            # Only the last one is described: a list may have thousands of them.
            invalid_count += 1
            last_invalid = (error, entry)
        else:
            endpoints.append(endpoint)
    if last_invalid:
        cause, invalid_entry = last_invalid
        last = f"{cause!r} in {invalid_entry!r}"[:MAX_LOGGED_ENTRY_CHARACTERS]
        log.warning("discovery_entries_invalid count=%d last=%r", invalid_count, last)
    if invalid_count and not endpoints:
        # Without this check a snapshot in an unknown form would remove all cached endpoints.
        raise ValueError("no entry in a known form")
    return tuple(endpoints), addresses


def _decode_endpoint(entry: dict[str, Any], names: SettingNames) -> Endpoint:
    """Decode one entry of `instances`; all keys but instanceId and lifecycle may be absent or null."""
    return Endpoint(
        id=str(entry["instanceId"]),
        zone=_find_index(names.zones, entry.get("zone")),
        machine_type=_find_index(names.machine_types, entry.get("machineType")),
        cell=int(_parse_number(entry, "cell", 0.0)),
        lifecycle=LIFECYCLES[entry["lifecycle"]],
        capacity_weight=_parse_number(entry, "weight", 1.0),
        started_at=_parse_number(entry, "startedAtMs", 0.0),
    )


def _parse_number(entry: dict[str, Any], key: str, default: float) -> float:
    """Return the number of an optional key; raises ValueError if it is not in the range 0 to MAX_NUMBER."""
    value = entry.get(key)
    if value is None:
        return default
    number = float(value)
    if not 0.0 <= number <= MAX_NUMBER:  # also rejects nan
        raise ValueError(f"{key}: {value!r}")
    return number


def _find_index(names: tuple[str, ...], name: object) -> int:
    """Return the index of a zone or machine type; a name that is not in the settings gets the next index."""
    if name in names:
        return names.index(name)
    return len(names)
