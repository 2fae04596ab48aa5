"""Connection ids that contain a server id, in the unencrypted format of the IETF's QUIC-LB draft.

Source: draft-ietf-quic-load-balancers, "First CID Octet" and "Server ID Encoding in Connection IDs". The
sections are cited by title because their numbers change between versions of the draft.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from walkloom.frontends.quic.errors import ConnectionIdError
from walkloom.frontends.quic.packet import MAX_CONNECTION_ID_BYTES

# The minimum that the draft requires, so that a server does not run out of unique ids.
MIN_NONCE_BYTES = 4

# The highest usable config id. The next one, 7, is the highest value of the three bits and is reserved for
# unroutable ids, which contain no server id.
MAX_CONFIG_ID = 6
UNROUTABLE_CONFIG_ID = 7

# The config id is above the five bits of the length.
_CONFIG_ID_SHIFT = 5

# The octets after the first one of an unroutable id. They are random, so that a collision between two clients
# is unlikely.
_UNROUTABLE_RANDOM_BYTES = 7


@dataclass(frozen=True, slots=True)
class ConnectionIdFormat:
    """The format of the connection ids that all servers behind this balancer issue.

    An id consists of one octet with the config id (3 bits) and the length of the rest (5 bits), then the
    server id, then a nonce that the server chooses. Raises ConnectionIdError for a format that the draft does
    not allow.
    """

    # The config rotation bits, which identify the configuration that an id was generated with; 0 to 6.
    config_id: int

    # In octets.
    server_id_length: int

    # In octets.
    nonce_length: int

    def __post_init__(self) -> None:
        if not 0 <= self.config_id <= MAX_CONFIG_ID:
            raise ConnectionIdError(f"config_id must be 0 to {MAX_CONFIG_ID}")
        has_server_id = self.server_id_length >= 1
        has_nonce = self.nonce_length >= MIN_NONCE_BYTES
        if not has_server_id or not has_nonce or self.length > MAX_CONNECTION_ID_BYTES:
            raise ConnectionIdError(
                f"connection ids need at least 1 byte of server id and {MIN_NONCE_BYTES} bytes of nonce, "
                f"and have at most {MAX_CONNECTION_ID_BYTES} bytes in all"
            )

    @property
    def length(self) -> int:
        """The total length of an id, in octets."""
        return 1 + self.server_id_length + self.nonce_length

    def decode_server_id(self, connection_id: bytes) -> bytes | None:
        """Return the server id in a connection id; None where the id does not have this format."""
        if len(connection_id) != self.length or connection_id[0] != self._first_octet:
            return None
        return connection_id[1 : 1 + self.server_id_length]

    def encode(self, server_id: bytes, nonce: bytes) -> bytes:
        """Return the connection id for a server id and a nonce.

        Raises ConnectionIdError where either has the wrong length.
        """
        if len(server_id) != self.server_id_length or len(nonce) != self.nonce_length:
            raise ConnectionIdError("server id or nonce has the wrong length")
        return bytes([self._first_octet]) + server_id + nonce

    @property
    def _first_octet(self) -> int:
        """The draft's "First CID Octet": config rotation bits and length self-description."""
        return self.config_id << _CONFIG_ID_SHIFT | (self.length - 1)


def create_unroutable_connection_id() -> bytes:
    """Return a new unroutable connection id, which contains no server id (the draft, "Config Rotation")."""
    return bytes([UNROUTABLE_CONFIG_ID << _CONFIG_ID_SHIFT]) + os.urandom(_UNROUTABLE_RANDOM_BYTES)
