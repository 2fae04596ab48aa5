"""Reads the fields of a QUIC packet one after another."""

from __future__ import annotations

from walkloom.frontends.quic.errors import PacketError


class DatagramReader:
    """A position in a datagram; each read moves it behind what was read.

    Attributes that others read:

    - position: offset of the next octet.
    """

    def __init__(self, data: bytes, position: int = 0) -> None:
        """Begin at an offset."""
        self._data = data
        self.position = position

    @property
    def at_end(self) -> bool:
        """Whether nothing is left to read."""
        return self.position >= len(self._data)

    def read_varint(self) -> int:
        """Read a variable-length integer (RFC 9000, section 16).

        The two highest bits of its first octet are the binary logarithm of its length in octets. Raises
        PacketError where the datagram ends before it does.
        """
        if self.at_end:
            raise PacketError("variable-length integer cut off")
        length = 1 << (self._data[self.position] >> 6)
        end = self.position + length
        if len(self._data) < end:
            raise PacketError("variable-length integer cut off")
        value_bits = 8 * length - 2
        value = int.from_bytes(self._data[self.position : end]) & ((1 << value_bits) - 1)
        self.position = end
        return value

    def read_connection_id(self) -> bytes:
        """Read a connection id of a long header, which follows its length (RFC 8999, section 5.1).

        Raises PacketError where the datagram ends before it does.
        """
        if self.at_end:
            raise PacketError("long header cut off")
        start = self.position + 1
        end = start + self._data[self.position]
        if len(self._data) < end:
            raise PacketError("long header cut off")
        self.position = end
        return self._data[start:end]

    def skip(self, length: int) -> None:
        """Move on by a number of octets; behind the end of the datagram, the next read fails."""
        self.position += length
