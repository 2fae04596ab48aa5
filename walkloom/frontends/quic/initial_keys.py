"""The Initial keys of version 1 (RFC 9001, section 5); needs the cryptography package.

They are derived from a connection id that is sent in the clear, so anyone on the path can derive them.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import Enum

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

# initial_salt of version 1 (RFC 9001, section 5.2).
INITIAL_SALT = bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a")

HASH_NAME = "sha256"

# Lengths for AEAD_AES_128_GCM and SHA-256, which Initial packets use (RFC 9001, section 5.2).
SECRET_BYTES = 32
KEY_BYTES = 16
IV_BYTES = 12


class Sender(Enum):
    """The side that sends a packet; the value is the label of its secret (RFC 9001, section 5.2)."""

    CLIENT = b"client in"
    SERVER = b"server in"


@dataclass(frozen=True, slots=True)
class InitialKeys:
    """The keys that protect the Initial packets of one side of a connection."""

    # AEAD key.
    key: bytes

    # AEAD initialization vector.
    iv: bytes

    # Header protection key.
    hp: bytes

    def header_protection_mask(self, sample: bytes) -> bytes:
        """Return the mask for a sample of 16 octets of the ciphertext (RFC 9001, section 5.4.3)."""
        # The RFC specifies ECB mode for this single block.
        return Cipher(algorithms.AES(self.hp), modes.ECB()).encryptor().update(sample)

    def nonce(self, packet_number: int) -> bytes:
        """Return the AEAD's nonce for a packet (RFC 9001, section 5.3)."""
        return (int.from_bytes(self.iv) ^ packet_number).to_bytes(IV_BYTES)


def derive_initial_keys(client_dcid: bytes, sender: Sender) -> InitialKeys:
    """Derive the Initial keys of one side (RFC 9001, sections 5.1 and 5.2).

    client_dcid: the destination connection id of the client's first Initial packet, or of its first one after
    a Retry.
    """
    # HKDF-Extract (RFC 5869, section 2.2).
    initial_secret = hmac.digest(INITIAL_SALT, client_dcid, HASH_NAME)
    secret = _hkdf_expand_label(initial_secret, sender.value, SECRET_BYTES)
    return InitialKeys(
        key=_hkdf_expand_label(secret, b"quic key", KEY_BYTES),
        iv=_hkdf_expand_label(secret, b"quic iv", IV_BYTES),
        hp=_hkdf_expand_label(secret, b"quic hp", KEY_BYTES),
    )


def _hkdf_expand_label(secret: bytes, label: bytes, length: int) -> bytes:
    """Return HKDF-Expand-Label with an empty context, at most 32 octets (RFC 8446, section 7.1)."""
    full_label = b"tls13 " + label
    empty_context = b"\0"
    info = length.to_bytes(2) + bytes([len(full_label)]) + full_label + empty_context
    # HKDF-Expand (RFC 5869, section 2.3): the first block, number 1, has the length of the hash.
    first_block = hmac.digest(secret, info + b"\x01", HASH_NAME)
    return first_block[:length]
