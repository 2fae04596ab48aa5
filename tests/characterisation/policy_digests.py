"""Prints the digests of the policy's scripts: `python -m tests.characterisation.policy_digests [NAME ...]`.

They come as JSON, in the form of `digests/policy.json`.
With `--tally` it prints how often each action came instead, which shows what a script reaches.
"""

from __future__ import annotations

import json
import sys
import time

from tests.characterisation.policy_adapter import PolicyAdapter
from tests.characterisation.policy_scripts import SCRIPTS
from tests.characterisation.policy_world import Script, World

POLICY_SEED = 7


def play(script: Script) -> World:
    """Play one script to its end; the world keeps the tally of actions."""
    world = World(script, PolicyAdapter(script.settings, POLICY_SEED))
    world.play()
    return world


def main(arguments: list[str]) -> None:
    """Play the named scripts, or all of them, and print what came out."""
    names = [argument for argument in arguments if not argument.startswith("--")]
    chosen = [script for script in SCRIPTS if not names or script.name in names]
    if "--tally" in arguments:
        for script in chosen:
            begun = time.process_time()
            world = play(script)
            print(f"{script.name} {time.process_time() - begun:.2f} s {world.tally}")
        return
    print(json.dumps({script.name: play(script).digest for script in chosen}, indent=2))


if __name__ == "__main__":
    main(sys.argv[1:])
