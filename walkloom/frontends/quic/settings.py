"""The operator's file of this frontend, `deploy/quic.toml`.

It says where the frontend listens, how the connection ids are formed, and which servers stand behind them.
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
    """One server as QUIC reaches it; a line of the file's table `servers`."""

    # As discovery names it; the line's key.
    endpoint_id: str

    # As its connection ids name it; key `id`.
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

    # Class of all requests, by its index in the settings; key `class`.
    request_class: int

    # Tenant of all requests, by its index in the settings; key `tenant`.
    tenant: int

    # How long a client may wait until a server has taken its connection; key `patience_ms`.
    request_timeout_ms: float

    # Connections at one time, each of which holds a descriptor; key `connections`.
    max_connections: int

    # The table `servers`.
    endpoints: tuple[QuicEndpoint, ...]


def load(path: Path, names: SettingNames) -> QuicConfig | None:
    """Read the file; None where it is not there, by which the frontend is off.

    names: what the file's class and tenant are looked up in. Raises ConfigError.
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
    """Translate the keys of the file; what is wrong raises KeyError, ValueError, TypeError or AttributeError.

    The order of the keys decides which of several errors the operator sees first.
    """
    connection_id_format = ConnectionIdFormat(
        config_id=data["config_id"],
        server_id_length=data["server_id_length"],
        nonce_length=data["nonce_length"],
    )
    endpoints = tuple(_parse_endpoint(name, line) for name, line in data["servers"].items())
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


def _parse_endpoint(name: str, line: Mapping[str, Any]) -> QuicEndpoint:
    return QuicEndpoint(
        endpoint_id=name, server_id=bytes.fromhex(line["id"]), address=parse_address(line["address"])
    )


def _check_server_ids(endpoints: tuple[QuicEndpoint, ...], connection_id_format: ConnectionIdFormat) -> None:
    """Raise ValueError where two servers share an id, or one has another length than the format's."""
    server_ids = {endpoint.server_id for endpoint in endpoints}
    has_wrong_length = any(
        len(server_id) != connection_id_format.server_id_length for server_id in server_ids
    )
    if has_wrong_length or len(server_ids) < len(endpoints):
        raise ValueError("every server needs an id of its own, of server_id_length bytes")
