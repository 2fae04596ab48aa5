"""Connection ids in the format of the QUIC-LB draft."""

from __future__ import annotations

import pytest

from tests.frontends.quic.harness import CONNECTION_ID_FORMAT
from walkloom.frontends.quic.connection_id import ConnectionIdFormat
from walkloom.frontends.quic.errors import ConnectionIdError


def test_a_connection_id_begins_with_the_first_octet_of_the_draft_and_contains_the_server_id() -> None:
    """Config id 1 is in the highest three bits; the length, 8 octets after the first, is in the rest."""
    connection_id = CONNECTION_ID_FORMAT.encode(b"ab", b"nonce!")
    assert connection_id[0] == 1 << 5 | 8
    assert CONNECTION_ID_FORMAT.decode_server_id(connection_id) == b"ab"


def test_an_id_with_another_length_or_config_id_names_no_server() -> None:
    """One id is an octet too short, and the config rotation bits of the other mark it as unroutable."""
    connection_id = CONNECTION_ID_FORMAT.encode(b"ab", b"nonce!")
    assert CONNECTION_ID_FORMAT.decode_server_id(connection_id[:-1]) is None
    assert CONNECTION_ID_FORMAT.decode_server_id(b"\xe0" + connection_id[1:]) is None


@pytest.mark.parametrize(
    ("config_id", "server_id_length", "nonce_length"), [(7, 2, 6), (0, 0, 6), (0, 2, 3), (0, 8, 12)]
)
def test_a_format_that_the_draft_does_not_allow_raises(
    config_id: int, server_id_length: int, nonce_length: int
) -> None:
    """The cases: config id 7, no server id, a nonce under 4 octets, and a total length of 21 octets."""
    with pytest.raises(ConnectionIdError):
        ConnectionIdFormat(config_id, server_id_length, nonce_length)
