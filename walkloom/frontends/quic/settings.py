"""Reads the settings file of the QUIC frontend, `deploy/quic.toml`.

The file defines the listening address, the format of the connection ids, and the servers with their ids.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from walkloom.config import ConfigError, SettingNames, parse_address
from walkloom.frontends.quic.connection_id import ConnectionIdFormat
from walkloom.transport.address import SocketAddress


@dataclass(frozen=True, slots=True)
class QuicEndpoint:
    """The QUIC address and server id of one endpoint; an entry of the file's table `servers`."""

    # The endpoint's id in discovery; the key of the entry.
    endpoint_id: str

    # The server id in its connection ids; key `id`.
    server_id: bytes

    # Host and UDP port; key `address`.
    address: SocketAddress


@dataclass(frozen=True, slots=True)
class QuicConfig:
    """The configuration of the QUIC frontend."""

    # Host and UDP port; key `listen`.
    listen: SocketAddress

    # Keys `config_id`, `server_id_length` and `nonce_length`.
    connection_id_format: ConnectionIdFormat

    # Class of all requests, as an index into the classes of the balancer's settings; key `class`.
    request_class: int

    # Tenant of all requests, as an index into the tenants of the balancer's settings; key `tenant`.
    tenant: int

    # Time from a client's first Initial packet until a server must have accepted the connection; key
    # `patience_ms`.
    request_timeout_ms: float

    # Maximum number of open connections, each of which holds a descriptor; key `connections`.
    max_connections: int

    # The table `servers`.
    endpoints: tuple[QuicEndpoint, ...]


def load(path: Path, names: SettingNames) -> QuicConfig | None:
    """Read the settings file; None where it does not exist, which turns the frontend off.

    names: the classes and tenants of the balancer's settings, in which those of the file are looked up.
    Raises ConfigError for a file that is unreadable or invalid.
    """
    if not path.exists():
        return None
    try:
        return _parse(tomllib.loads(path.read_text()), names)
    except KeyError as error:
        raise ConfigError(f"{path}: lacks the key {error}", field=str(error.args[0])) from error
    except (OSError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _parse(data: Mapping[str, Any], names: SettingNames) -> QuicConfig:
    """Translate the keys of the file; raises KeyError, ValueError, TypeError or AttributeError for bad data.

    The order in which the keys are read decides which of several errors is reported.
    """
    connection_id_format = ConnectionIdFormat(
        config_id=data["config_id"],
        server_id_length=data["server_id_length"],
        nonce_length=data["nonce_length"],
    )
    endpoints = tuple(_parse_endpoint(name, entry) for name, entry in data["servers"].items())
    _check_server_ids(endpoints, connection_id_format)
    return QuicConfig(
        listen=parse_address(data["listen"]),
        connection_id_format=connection_id_format,
        request_class=names.classes.index(data["class"]),
        tenant=names.tenants.index(data["tenant"]) if names.tenants else 0,
        request_timeout_ms=float(data["patience_ms"]),
        max_connections=int(data["connections"]),
        endpoints=endpoints,
    )


def _parse_endpoint(name: str, entry: Mapping[str, Any]) -> QuicEndpoint:
    return QuicEndpoint(
        endpoint_id=name, server_id=bytes.fromhex(entry["id"]), address=parse_address(entry["address"])
    )


def _check_server_ids(endpoints: tuple[QuicEndpoint, ...], connection_id_format: ConnectionIdFormat) -> None:
    """Raise ValueError where two servers share a server id, or an id does not have the format's length."""
    server_ids = {endpoint.server_id for endpoint in endpoints}
    has_wrong_length = any(
        len(server_id) != connection_id_format.server_id_length for server_id in server_ids
    )
    if has_wrong_length or len(server_ids) < len(endpoints):
        raise ValueError("every server needs an id of its own with a length of server_id_length bytes")
