"""The operator's file of this frontend: where it listens, the form of the ids, the servers behind them."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from walkloom.config import ConfigError, SettingNames, address
from walkloom.frontends.quic.ids import IdForm


@dataclass(frozen=True, slots=True)
class Target:
    """One server as QUIC reaches it."""

    server: str
    id: bytes
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class QuicConfig:
    listen: tuple[str, int]
    form: IdForm
    request_class: int
    tenant: int
    patience_ms: float  # ms for set-up
    connections: int  # most at one time; each holds a descriptor
    targets: tuple[Target, ...]


def load(path: Path, names: SettingNames) -> QuicConfig | None:
    """None where the file is not there: the frontend is off."""
    if not path.exists():
        return None
    try:
        data = tomllib.loads(path.read_text())
        form = IdForm(data["config_id"], data["server_id_length"], data["nonce_length"])
        targets = tuple(
            Target(name, bytes.fromhex(x["id"]), address(x["address"])) for name, x in data["servers"].items()
        )
        ids = {t.id for t in targets}
        if any(len(x) != form.server_length for x in ids) or len(ids) < len(targets):
            raise ValueError("every server needs an id of its own, of server_id_length bytes")
        return QuicConfig(
            address(data["listen"]),
            form,
            names.classes.index(data["class"]),
            names.tenants.index(data["tenant"]) if names.tenants else 0,
            float(data["patience_ms"]),
            int(data["connections"]),
            targets,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: lacks the key {error}") from None
    except (OSError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
