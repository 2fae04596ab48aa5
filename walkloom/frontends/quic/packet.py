"""Packet headers, as far as a balancer parses them.

RFC 8999 defines the invariants of all versions; RFC 9000, section 17, defines the packet types of version 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from walkloom.frontends.quic.datagram_reader import DatagramReader
from walkloom.frontends.quic.errors import PacketError

# The version number of RFC 9000.
VERSION_1 = 1

# The version number that marks a Version Negotiation packet (RFC 8999, section 6).
VERSION_NEGOTIATION = 0

# Minimum size of a datagram that carries a client's Initial packet (RFC 9000, section 14.1).
MIN_INITIAL_DATAGRAM_BYTES = 1200

# Minimum length of the destination connection id that a client chooses (RFC 9000, section 7.2).
MIN_CLIENT_DCID_BYTES = 8

# Maximum length of a connection id in version 1 (RFC 9000, section 17.2).
MAX_CONNECTION_ID_BYTES = 20

# The maximum UDP payload, rounded up, so that no received datagram is truncated.
MAX_DATAGRAM_BYTES = 65_535

# Bits of the first octet (RFC 9000, sections 17.2 and 17.3.1).
HEADER_FORM_BIT = 0x80
FIXED_BIT = 0x40
LONG_PACKET_TYPE_SHIFT = 4
LONG_PACKET_TYPE_MASK = 0x03

# Offsets of the fields of a long header (RFC 8999, section 5.1).
_VERSION_OFFSET = 1
_DCID_LENGTH_OFFSET = 5

# The destination connection id of a short header follows the first octet (RFC 8999, section 5.2).
_SHORT_DCID_OFFSET = 1


class PacketType(IntEnum):
    """The type of a packet; the first four values are those of a long header (RFC 9000, section 17.2)."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3

    # Any short header.
    ONE_RTT = 4

    # A long header of another version, or a Version Negotiation packet.
    OTHER_VERSION = 5


@dataclass(frozen=True, slots=True)
class PacketHeader:
    """The header of the first packet of a datagram."""

    packet_type: PacketType

    # Version 1 for a short header, which has no version field.
    version: int

    destination_connection_id: bytes

    # Empty for a short header, which has no such field.
    source_connection_id: bytes

    # Offset of the first octet after the connection ids.
    payload_offset: int


def parse_header(datagram: bytes, short_header_dcid_length: int) -> PacketHeader:
    """Parse the header of the first packet of a datagram.

    A short header does not contain the length of its connection id. short_header_dcid_length is the length of
    the ids that the receiver of the datagram issues. Raises PacketError for a malformed header.
    """
    if not datagram:
        raise PacketError("empty")
    if datagram[0] & HEADER_FORM_BIT:
        return _parse_long_header(datagram)
    return _parse_short_header(datagram, short_header_dcid_length)


def _parse_short_header(datagram: bytes, dcid_length: int) -> PacketHeader:
    """Parse a 1-RTT packet's header (RFC 8999, section 5.2; RFC 9000, section 17.3.1)."""
    if len(datagram) <= dcid_length or not datagram[0] & FIXED_BIT:
        raise PacketError("short header truncated or fixed bit not set")
    end = _SHORT_DCID_OFFSET + dcid_length
    return PacketHeader(
        packet_type=PacketType.ONE_RTT,
        version=VERSION_1,
        destination_connection_id=datagram[_SHORT_DCID_OFFSET:end],
        source_connection_id=b"",
        payload_offset=end,
    )


def _parse_long_header(datagram: bytes) -> PacketHeader:
    """Parse a long header (RFC 8999, section 5.1; RFC 9000, section 17.2)."""
    version = int.from_bytes(datagram[_VERSION_OFFSET:_DCID_LENGTH_OFFSET])
    reader = DatagramReader(datagram, _DCID_LENGTH_OFFSET)
    dcid = reader.read_connection_id()
    scid = reader.read_connection_id()
    if version == VERSION_1:
        packet_type = _long_packet_type(datagram[0], dcid, scid)
    else:
        packet_type = PacketType.OTHER_VERSION
    return PacketHeader(
        packet_type=packet_type,
        version=version,
        destination_connection_id=dcid,
        source_connection_id=scid,
        payload_offset=reader.position,
    )


def _long_packet_type(first_octet: int, dcid: bytes, scid: bytes) -> PacketType:
    """Return the packet type of a version 1 long header; raises PacketError for an invalid header."""
    if not first_octet & FIXED_BIT:
        raise PacketError("long header with fixed bit not set")
    if max(len(dcid), len(scid)) > MAX_CONNECTION_ID_BYTES:
        raise PacketError(f"connection id longer than {MAX_CONNECTION_ID_BYTES} bytes")
    return PacketType(first_octet >> LONG_PACKET_TYPE_SHIFT & LONG_PACKET_TYPE_MASK)


def encode_connection_ids(dcid: bytes, scid: bytes) -> bytes:
    """Return both connection ids of a long header, each preceded by its length (RFC 8999, section 5.1)."""
    return bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid


def build_version_negotiation(received: PacketHeader) -> bytes:
    """Return the Version Negotiation packet that answers a packet of another version.

    It contains the received connection ids in swapped order and offers version 1 (RFC 8999, section 6;
    RFC 9000, section 17.2.1).
    """
    first_octet = bytes([HEADER_FORM_BIT | FIXED_BIT])
    connection_ids = encode_connection_ids(
        dcid=received.source_connection_id, scid=received.destination_connection_id
    )
    return first_octet + VERSION_NEGOTIATION.to_bytes(4) + connection_ids + VERSION_1.to_bytes(4)
