"""Sequential reader for the fields of a QUIC packet."""

from __future__ import annotations

from walkloom.frontends.quic.errors import PacketError


class DatagramReader:
    """Reads a datagram from a position, which each read advances.

    Public attributes:

    - position: offset of the next octet to be read.
    """

    def __init__(self, data: bytes, position: int = 0) -> None:
        """Create a reader that starts at an offset."""
        self._data = data
        self.position = position

    @property
    def at_end(self) -> bool:
        """Whether all octets have been read."""
        return self.position >= len(self._data)

    def read_varint(self) -> int:
        """Read a variable-length integer (RFC 9000, section 16).

        The two highest bits of the first octet are the base-2 logarithm of the integer's length in octets.
        Raises PacketError where the datagram ends within the integer.
        """
        if self.at_end:
            raise PacketError("variable-length integer truncated")
        length = 1 << (self._data[self.position] >> 6)
        end = self.position + length
        if len(self._data) < end:
            raise PacketError("variable-length integer truncated")
        value_bits = 8 * length - 2
        value = int.from_bytes(self._data[self.position : end]) & ((1 << value_bits) - 1)
        self.position = end
        return value

    def read_connection_id(self) -> bytes:
        """Read a connection id of a long header: one octet of length, then the id (RFC 8999, section 5.1).

        Raises PacketError where the datagram ends within the id.
        """
        if self.at_end:
            raise PacketError("long header truncated")
        start = self.position + 1
        end = start + self._data[self.position]
        if len(self._data) < end:
            raise PacketError("long header truncated")
        self.position = end
        return self._data[start:end]

    def skip(self, length: int) -> None:
        """Skip a number of octets; after a skip past the end of the datagram, the next read fails."""
        self.position += length
