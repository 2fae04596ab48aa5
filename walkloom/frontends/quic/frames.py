"""The frames of Initial packets, as far as a balancer reads and writes them (RFC 9000, section 19)."""

from __future__ import annotations

from enum import IntEnum

from walkloom.frontends.quic.datagram_reader import DatagramReader

# The error code with which a server refuses a connection (RFC 9000, section 20.1).
CONNECTION_REFUSED = 0x02

# Fields of an ACK frame between its type and its number of ranges: Largest Acknowledged and ACK Delay.
_ACK_LEADING_FIELDS = 2

# ECT0, ECT1 and ECN-CE counts.
_ECN_COUNT_FIELDS = 3


class FrameType(IntEnum):
    """The frame types that Initial packets may carry (RFC 9000, section 12.4)."""

    PADDING = 0x00
    PING = 0x01
    ACK = 0x02
    ACK_ECN = 0x03
    CRYPTO = 0x06

    # Of the transport; the type for an application's error cannot stand in an Initial packet.
    CONNECTION_CLOSE = 0x1C


def build_connection_close(error_code: int) -> bytes:
    """Return a CONNECTION_CLOSE frame that blames no frame and gives no reason (RFC 9000, section 19.19).

    error_code: below 64, so that it takes a single octet.
    """
    blamed_frame_type = 0
    reason_length = 0
    return bytes([FrameType.CONNECTION_CLOSE, error_code, blamed_frame_type, reason_length])


def find_close_error_code(frames: bytes) -> int | None:
    """Return the error code with which frames close the connection (RFC 9000, section 19.19).

    None where they do not close it, or where a type comes first that no Initial packet may carry. Raises
    PacketError for a frame that is cut off.
    """
    reader = DatagramReader(frames)
    while not reader.at_end:
        frame_type = reader.read_varint()
        if frame_type == FrameType.CONNECTION_CLOSE:
            return reader.read_varint()
        if frame_type in (FrameType.ACK, FrameType.ACK_ECN):
            _skip_ack(reader, has_ecn_counts=frame_type == FrameType.ACK_ECN)
        elif frame_type == FrameType.CRYPTO:
            _skip_crypto(reader)
        elif frame_type not in (FrameType.PADDING, FrameType.PING):
            return None
    return None


def _skip_ack(reader: DatagramReader, *, has_ecn_counts: bool) -> None:
    """Read over the fields of an ACK frame (RFC 9000, section 19.3)."""
    _skip_varints(reader, _ACK_LEADING_FIELDS)
    range_count = reader.read_varint()
    # The first range is one number, each further one a gap and a length.
    _skip_varints(reader, 1 + 2 * range_count)
    if has_ecn_counts:
        _skip_varints(reader, _ECN_COUNT_FIELDS)


def _skip_crypto(reader: DatagramReader) -> None:
    """Read over the fields of a CRYPTO frame: offset, length, data (RFC 9000, section 19.6)."""
    _skip_varints(reader, 1)
    length = reader.read_varint()
    reader.skip(length)


def _skip_varints(reader: DatagramReader, count: int) -> None:
    for _ in range(count):
        reader.read_varint()
