"""The policy responds to the same events with the same actions as when the digests were recorded."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.characterisation.policy_check import planted_changes
from tests.characterisation.policy_digests import run_script
from tests.characterisation.policy_plants import PLANTS
from tests.characterisation.policy_scripts import SCRIPTS
from tests.characterisation.policy_world import Script

DIGESTS: dict[str, str] = json.loads((Path(__file__).parent / "digests" / "policy.json").read_text())


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.name)
def test_decisions_are_those_recorded(script: Script) -> None:
    assert run_script(script).digest == DIGESTS[script.name]


def test_every_recorded_script_is_run() -> None:
    assert {script.name for script in SCRIPTS} == DIGESTS.keys()


def test_every_planted_change_applies_to_the_source() -> None:
    """Guards against planted changes whose old text no longer stands in the source."""
    changes = list(planted_changes())
    assert [change.name for change in changes] == list(PLANTS)
    for change in changes:
        compile(change.new, str(change.file), "exec")
