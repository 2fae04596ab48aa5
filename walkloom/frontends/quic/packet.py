"""What a balancer reads of a QUIC datagram: the invariants of RFC 8999 and the long types of RFC 9000."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

VERSION_1 = 1
INITIAL_LEAST = 1200  # a datagram with a client's Initial is at least so long
FIRST_ID_LEAST = 8


class PacketError(ValueError):
    """A datagram that is no QUIC packet; the text says why."""


class Kind(IntEnum):
    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    SHORT = 4
    OTHER = 5  # a long header of another version, or a version negotiation


@dataclass(frozen=True, slots=True)
class Packet:
    kind: Kind
    version: int
    dcid: bytes
    scid: bytes
    rest: int  # where what follows the ids begins


def parse(data: bytes, id_length: int) -> Packet:
    """The first packet of a datagram; short headers carry an id of the length that our servers give."""
    if not data:
        raise PacketError("empty")
    if not data[0] & 0x80:
        if len(data) <= id_length or not data[0] & 0x40:
            raise PacketError("short header cut off or without its fixed bit")
        return Packet(Kind.SHORT, VERSION_1, data[1 : 1 + id_length], b"", 1 + id_length)
    version = int.from_bytes(data[1:5])
    dcid, at = _id(data, 5)
    scid, at = _id(data, at)
    if version != VERSION_1:
        return Packet(Kind.OTHER, version, dcid, scid, at)
    if not data[0] & 0x40 or len(dcid) > 20 or len(scid) > 20:
        raise PacketError("long header without its fixed bit or with an id over 20 bytes")
    return Packet(Kind(data[0] >> 4 & 3), version, dcid, scid, at)


def _id(data: bytes, at: int) -> tuple[bytes, int]:
    if len(data) <= at or len(data) < at + 1 + data[at]:
        raise PacketError("long header cut off")
    end = at + 1 + data[at]
    return data[at + 1 : end], end


def varint(data: bytes, at: int) -> tuple[int, int]:
    """A variable-length integer and where it ends."""
    if at >= len(data) or len(data) < at + (1 << (data[at] >> 6)):
        raise PacketError("number cut off")
    end = at + (1 << (data[at] >> 6))
    return int.from_bytes(data[at:end]) & ((1 << (8 * (end - at) - 2)) - 1), end


def version_negotiation(packet: Packet) -> bytes:
    """The answer to a version that we do not speak: ids swapped, version 0, then version 1."""
    ids = bytes([len(packet.scid)]) + packet.scid + bytes([len(packet.dcid)]) + packet.dcid
    return b"\xc0" + bytes(4) + ids + VERSION_1.to_bytes(4)
