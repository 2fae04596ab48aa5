"""Connection ids that name their server, in the unencrypted form of the IETF's QUIC-LB draft.

Source: draft-ietf-quic-load-balancers, "First CID Octet" and "Server ID Encoding in Connection IDs". Its
sections are cited by title, as their numbers change between versions of the draft.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from walkloom.frontends.quic.errors import ConnectionIdError
from walkloom.frontends.quic.packet import MAX_CONNECTION_ID_BYTES

# The draft demands so long a nonce, so that a server does not run out of different ids.
MIN_NONCE_BYTES = 4

# The highest config id; the next one, which is all that three bits can hold, marks ids without a server.
MAX_CONFIG_ID = 6
UNROUTABLE_CONFIG_ID = 7

# The config id stands above the five bits of the length.
_CONFIG_ID_SHIFT = 5

# The octets behind the first of an unroutable id; random, so that two clients hardly get the same.
_UNROUTABLE_RANDOM_BYTES = 7


@dataclass(frozen=True, slots=True)
class ConnectionIdFormat:
    """The format of the connection ids that all servers behind this balancer give.

    An id is one octet with the config id (3 bits) and the length of what follows (5 bits), then the server
    id, then a nonce that the server chooses. Raises ConnectionIdError for a format that the draft excludes.
    """

    # Config rotation bits: which of the draft's configurations an id follows; 0 to 6.
    config_id: int

    # In octets.
    server_id_length: int

    # In octets.
    nonce_length: int

    def __post_init__(self) -> None:
        if not 0 <= self.config_id <= MAX_CONFIG_ID:
            raise ConnectionIdError(f"config_id: 0 to {MAX_CONFIG_ID}")
        has_server_id = self.server_id_length >= 1
        has_nonce = self.nonce_length >= MIN_NONCE_BYTES
        if not has_server_id or not has_nonce or self.length > MAX_CONNECTION_ID_BYTES:
            raise ConnectionIdError(
                f"ids: 1 byte of server, {MIN_NONCE_BYTES} of nonce at least, "
                f"{MAX_CONNECTION_ID_BYTES} in all at most"
            )

    @property
    def length(self) -> int:
        """The length of an id, in octets."""
        return 1 + self.server_id_length + self.nonce_length

    def server_id(self, connection_id: bytes) -> bytes | None:
        """Return the server id within a connection id; None where the id is not of this format."""
        if len(connection_id) != self.length or connection_id[0] != self._first_octet:
            return None
        return connection_id[1 : 1 + self.server_id_length]

    def encode(self, server_id: bytes, nonce: bytes) -> bytes:
        """Return the connection id of a server and a nonce; raises ConnectionIdError for a wrong length."""
        if len(server_id) != self.server_id_length or len(nonce) != self.nonce_length:
            raise ConnectionIdError("wrong length of server id or nonce")
        return bytes([self._first_octet]) + server_id + nonce

    @property
    def _first_octet(self) -> int:
        """The draft's "First CID Octet": config rotation bits, then the length self-description."""
        return self.config_id << _CONFIG_ID_SHIFT | (self.length - 1)


def create_unroutable_connection_id() -> bytes:
    """Return a new connection id that names no server (the draft, "Config Rotation")."""
    return bytes([UNROUTABLE_CONFIG_ID << _CONFIG_ID_SHIFT]) + os.urandom(_UNROUTABLE_RANDOM_BYTES)
