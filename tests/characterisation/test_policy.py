"""The policy answers the same events with the same actions as the program that recorded the digests."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.characterisation.policy_digests import play
from tests.characterisation.policy_scripts import SCRIPTS
from tests.characterisation.policy_world import Script

DIGESTS: dict[str, str] = json.loads((Path(__file__).parent / "digests" / "policy.json").read_text())


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.name)
def test_decisions_are_those_recorded(script: Script) -> None:
    assert play(script).digest == DIGESTS[script.name]


def test_each_recorded_script_is_played() -> None:
    assert {script.name for script in SCRIPTS} == DIGESTS.keys()
