"""Connection ids in the form of the IETF's QUIC-LB draft, unencrypted: config bits, server id, nonce."""

from __future__ import annotations

from dataclasses import dataclass

NONCE_LEAST, LONGEST = 4, 20


@dataclass(frozen=True, slots=True)
class IdForm:
    """First byte: 3 bits of the config, 5 bits of the length that follows; then server id and nonce."""

    config: int
    server_length: int
    nonce_length: int

    def __post_init__(self) -> None:
        if not 0 <= self.config <= 6:  # 7 marks ids that cannot be routed
            raise ValueError("config_id: 0 to 6")
        if self.server_length < 1 or self.nonce_length < NONCE_LEAST or self.length > LONGEST:
            raise ValueError(
                f"ids: 1 byte of server, {NONCE_LEAST} of nonce at least, {LONGEST} in all at most"
            )

    @property
    def length(self) -> int:
        return 1 + self.server_length + self.nonce_length

    def server(self, cid: bytes) -> bytes | None:
        """The server id within, if this id has the form."""
        if len(cid) != self.length or cid[0] != self._first:
            return None
        return cid[1 : 1 + self.server_length]

    def make(self, server: bytes, nonce: bytes) -> bytes:
        if len(server) != self.server_length or len(nonce) != self.nonce_length:
            raise ValueError("wrong length of server id or nonce")
        return bytes([self._first]) + server + nonce

    @property
    def _first(self) -> int:
        return self.config << 5 | (self.length - 1)
