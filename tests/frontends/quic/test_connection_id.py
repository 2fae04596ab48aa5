"""Connection ids in the form of the QUIC-LB draft."""

from __future__ import annotations

import pytest

from tests.frontends.quic.harness import CONNECTION_ID_FORMAT
from walkloom.frontends.quic.connection_id import ConnectionIdFormat
from walkloom.frontends.quic.errors import ConnectionIdError


def test_a_connection_id_has_the_first_octet_of_the_draft_and_names_its_server() -> None:
    """Config id 1 in the highest three bits; 8 octets follow the first."""
    connection_id = CONNECTION_ID_FORMAT.encode(b"ab", b"nonce!")
    assert connection_id[0] == 1 << 5 | 8
    assert CONNECTION_ID_FORMAT.server_id(connection_id) == b"ab"


def test_an_id_of_another_length_or_config_names_no_server() -> None:
    """An id one octet short, and one whose config bits say that it is unroutable."""
    connection_id = CONNECTION_ID_FORMAT.encode(b"ab", b"nonce!")
    assert CONNECTION_ID_FORMAT.server_id(connection_id[:-1]) is None
    assert CONNECTION_ID_FORMAT.server_id(b"\xe0" + connection_id[1:]) is None


@pytest.mark.parametrize(
    ("config_id", "server_id_length", "nonce_length"), [(7, 2, 6), (0, 0, 6), (0, 2, 3), (0, 8, 12)]
)
def test_a_format_that_the_draft_excludes_raises(
    config_id: int, server_id_length: int, nonce_length: int
) -> None:
    """Config id 7, no server id, a nonce under 4 octets, and 21 octets in all."""
    with pytest.raises(ConnectionIdError):
        ConnectionIdFormat(config_id, server_id_length, nonce_length)
