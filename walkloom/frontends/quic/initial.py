"""Initial packets of version 1 (RFC 9001): sealing a refusal, seeing a close. Needs cryptography."""

from __future__ import annotations

import hmac
from dataclasses import dataclass

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from walkloom.frontends.quic.packet import VERSION_1, Kind, PacketError, parse, varint

_SALT = bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a")
CLIENT, SERVER = b"client in", b"server in"
CONNECTION_REFUSED = 2
_CLOSE, _ACKS, _CRYPTO, _PLAIN = 0x1C, (2, 3), 6, (0, 1)


@dataclass(frozen=True, slots=True)
class Keys:
    key: bytes
    iv: bytes
    hp: bytes

    def mask(self, sample: bytes) -> bytes:
        # RFC 9001 5.4.3 wants this one block in ECB mode
        return Cipher(algorithms.AES(self.hp), modes.ECB()).encryptor().update(sample)

    def nonce(self, number: int) -> bytes:
        return (int.from_bytes(self.iv) ^ number).to_bytes(12)


def keys(first_dcid: bytes, side: bytes) -> Keys:
    """Those that anyone can derive from the id that the client chose first."""
    secret = _expand(hmac.digest(_SALT, first_dcid, "sha256"), side, 32)
    key, iv, hp = ((b"quic key", 16), (b"quic iv", 12), (b"quic hp", 16))
    return Keys(_expand(secret, *key), _expand(secret, *iv), _expand(secret, *hp))


def _expand(secret: bytes, label: bytes, length: int) -> bytes:
    name = b"tls13 " + label
    info = length.to_bytes(2) + bytes([len(name)]) + name + b"\0"
    return hmac.digest(secret, info + b"\x01", "sha256")[:length]


def seal(k: Keys, dcid: bytes, scid: bytes, frames: bytes, number: int = 0) -> bytes:
    """An Initial packet with an empty token and a packet number of one byte."""
    length = (1 + len(frames) + 16) | 0x4000
    ids = bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid
    head = b"\xc0" + VERSION_1.to_bytes(4) + ids + b"\0" + length.to_bytes(2) + bytes([number])
    body = AESGCM(k.key).encrypt(k.nonce(number), frames, head)
    mask = k.mask(body[3:19])
    return bytes([head[0] ^ mask[0] & 0x0F]) + head[1:-1] + bytes([head[-1] ^ mask[1]]) + body


def opened(k: Keys, data: bytes) -> bytes:
    """The frames of the Initial packet that a datagram begins with."""
    packet = parse(data, 0)
    if packet.kind is not Kind.INITIAL:
        raise PacketError("not an Initial")
    token, at = varint(data, packet.rest)
    length, at = varint(data, at + token)
    if at + length > len(data) or length < 20:
        raise PacketError("Initial cut off")
    mask = k.mask(data[at + 4 : at + 20])
    first = data[0] ^ mask[0] & 0x0F
    size = (first & 3) + 1
    number = bytes(a ^ b for a, b in zip(data[at : at + size], mask[1:], strict=False))
    head = bytes([first]) + data[1:at] + number
    try:
        return AESGCM(k.key).decrypt(k.nonce(int.from_bytes(number)), data[at + size : at + length], head)
    except InvalidTag:
        raise PacketError("Initial does not open") from None


def refusal(first_dcid: bytes, client: bytes, own: bytes) -> bytes:
    """The server's Initial that closes with CONNECTION_REFUSED; it has no place for a time to come back."""
    frames = bytes([_CLOSE, CONNECTION_REFUSED, 0, 0])
    return seal(keys(first_dcid, SERVER), client, own, frames + bytes(16))


def close_code(frames: bytes) -> int | None:
    """The error with which these frames close the connection, if they do."""
    at = 0
    while at < len(frames):
        kind, at = varint(frames, at)
        if kind == _CLOSE:
            return varint(frames, at)[0]
        if kind in _ACKS:
            _, at = varint(frames, at)
            _, at = varint(frames, at)
            ranges, at = varint(frames, at)
            for _ in range(1 + 2 * ranges + (3 if kind == 3 else 0)):
                _, at = varint(frames, at)
        elif kind == _CRYPTO:
            _, at = varint(frames, at)
            size, at = varint(frames, at)
            at += size
        elif kind not in _PLAIN:
            return None
    return None
