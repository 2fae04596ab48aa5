"""The settings file of the QUIC frontend."""

from __future__ import annotations

from pathlib import Path

import pytest

from walkloom.config import ConfigError, SettingNames
from walkloom.frontends.quic.settings import load

EXAMPLE_FILE = (Path(__file__).parents[3] / "deploy" / "quic.toml.example").read_text()


@pytest.mark.parametrize(
    ("old", "new", "named_in_error"),
    [
        ('listen = "127.0.0.1:4433"', "", "listen"),
        ("config_id = 0", "config_id = 9", "config_id"),
        ('"0a01"', '"0a"', "id of its own"),
        ('"tile-view"', '"other"', "not in"),
        ("[servers]", "[servers", "quic.toml"),
    ],
)
def test_an_invalid_file_raises_an_error_that_names_the_fault(
    tmp_path: Path, old: str, new: str, named_in_error: str
) -> None:
    """No file turns the frontend off; the example file is valid, and one changed line makes it invalid."""
    names = SettingNames(("tile-view",), ("herb-ufsul",), (), ())
    path = tmp_path / "quic.toml"
    assert load(path, names) is None
    path.write_text(EXAMPLE_FILE)
    assert load(path, names)
    path.write_text(EXAMPLE_FILE.replace(old, new))
    with pytest.raises(ConfigError, match=named_in_error):
        load(path, names)
