"""Initial keys."""

from __future__ import annotations

from walkloom.frontends.quic.initial_keys import Sender, derive_initial_keys


def test_initial_keys_are_those_of_rfc_9001_appendix_a_1() -> None:
    """The RFC's sample keys."""
    client_dcid = bytes.fromhex("8394c8f03e515708")
    client = derive_initial_keys(client_dcid, Sender.CLIENT)
    server = derive_initial_keys(client_dcid, Sender.SERVER)
    assert client.key.hex() == "1f369613dd76d5467730efcbe3b1a22d"
    assert client.iv.hex() == "fa044b2f42a3fd3b46fb255c"
    assert client.hp.hex() == "9f50449e04a0e810283a1e9933adedd2"
    assert server.key.hex() == "cf3a5331653c364c88f0f379b6067e37"
