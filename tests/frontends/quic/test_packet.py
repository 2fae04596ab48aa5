"""Packet headers and variable-length integers."""

from __future__ import annotations

import pytest

from tests.frontends.quic.harness import CONNECTION_ID_FORMAT
from walkloom.frontends.quic.datagram_reader import DatagramReader
from walkloom.frontends.quic.errors import PacketError
from walkloom.frontends.quic.packet import parse_header


@pytest.mark.parametrize(
    "datagram",
    ["", "40", "c0", "c000000001146162", "c0000000010015", "80000000010000", "c00000000115" + "00" * 22],
)
def test_a_malformed_header_raises(datagram: str) -> None:
    """The cases: empty, truncated, with an id over 20 octets, or without the fixed bit."""
    with pytest.raises(PacketError):
        parse_header(bytes.fromhex(datagram), CONNECTION_ID_FORMAT.length)


@pytest.mark.parametrize(
    ("encoded", "value"), [("c2197c5eff14e88c", 151288809941952652), ("7bbd", 15293), ("25", 37)]
)
def test_variable_length_integers_are_read_as_in_rfc_9000_appendix_a_1(encoded: str, value: int) -> None:
    """The RFC's examples of eight, two and one octets."""
    data = bytes.fromhex(encoded)
    reader = DatagramReader(data)
    assert reader.read_varint() == value
    assert reader.position == len(data)


def test_a_truncated_variable_length_integer_raises() -> None:
    """The first octet encodes a length of four octets, but the datagram has two."""
    with pytest.raises(PacketError):
        DatagramReader(b"\x80\0").read_varint()
