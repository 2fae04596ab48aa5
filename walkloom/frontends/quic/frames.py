"""Frames of Initial packets, as far as a balancer parses and builds them (RFC 9000, section 19)."""

from __future__ import annotations

from enum import IntEnum

from walkloom.frontends.quic.datagram_reader import DatagramReader

# The transport error code for "the server refused to accept a new connection" (RFC 9000, section 20.1).
CONNECTION_REFUSED = 0x02

# Fields of an ACK frame between its type and its ACK Range Count: Largest Acknowledged and ACK Delay.
_ACK_FIELDS_BEFORE_RANGE_COUNT = 2

# Fields of the ECN counts of an ACK frame: ECT0, ECT1 and ECN-CE.
_ECN_COUNT_FIELDS = 3


class FrameType(IntEnum):
    """The frame types that Initial packets may carry (RFC 9000, section 12.4)."""

    PADDING = 0x00
    PING = 0x01
    ACK = 0x02
    ACK_ECN = 0x03
    CRYPTO = 0x06

    # The type for transport errors; the type for application errors is not allowed in Initial packets.
    CONNECTION_CLOSE = 0x1C


def build_connection_close(error_code: int) -> bytes:
    """Return a CONNECTION_CLOSE frame without a triggering frame type or reason (RFC 9000, section 19.19).

    error_code: below 64, because it is encoded in a single octet.
    """
    triggering_frame_type = 0
    reason_length = 0
    return bytes([FrameType.CONNECTION_CLOSE, error_code, triggering_frame_type, reason_length])


def find_close_error_code(frames: bytes) -> int | None:
    """Return the error code of the first CONNECTION_CLOSE frame (RFC 9000, section 19.19).

    None where there is no such frame, or where it follows a frame type that Initial packets may not carry.
    Raises PacketError for a truncated frame.
    """
    reader = DatagramReader(frames)
    while not reader.at_end:
        frame_type = reader.read_varint()
        if frame_type == FrameType.CONNECTION_CLOSE:
            return reader.read_varint()
        if frame_type in (FrameType.ACK, FrameType.ACK_ECN):
            _skip_ack_frame(reader, has_ecn_counts=frame_type == FrameType.ACK_ECN)
        elif frame_type == FrameType.CRYPTO:
            _skip_crypto_frame(reader)
        elif frame_type not in (FrameType.PADDING, FrameType.PING):
            return None
    return None


def _skip_ack_frame(reader: DatagramReader, *, has_ecn_counts: bool) -> None:
    """Skip the fields of an ACK frame (RFC 9000, section 19.3)."""
    _skip_varints(reader, _ACK_FIELDS_BEFORE_RANGE_COUNT)
    range_count = reader.read_varint()
    # The first range is one integer; each further range is two, a gap and a length.
    _skip_varints(reader, 1 + 2 * range_count)
    if has_ecn_counts:
        _skip_varints(reader, _ECN_COUNT_FIELDS)


def _skip_crypto_frame(reader: DatagramReader) -> None:
    """Skip the fields of a CRYPTO frame: offset, length, data (RFC 9000, section 19.6)."""
    _skip_varints(reader, 1)
    length = reader.read_varint()
    reader.skip(length)


def _skip_varints(reader: DatagramReader, count: int) -> None:
    for _ in range(count):
        reader.read_varint()
