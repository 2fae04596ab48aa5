"""Prints the digests of the policy's scripts: `python -m tests.characterisation.policy_digests [NAME ...]`.

The output is JSON, in the form of `digests/policy.json`.
With `--tally` it prints instead how often each action occurred, which shows what a script covers.
"""

from __future__ import annotations

import json
import sys
import time

from tests.characterisation.policy_adapter import PolicyAdapter
from tests.characterisation.policy_scripts import SCRIPTS
from tests.characterisation.policy_world import Script, World

POLICY_SEED = 7


def run_script(script: Script) -> World:
    """Run one script to its end and return its world, with the digest and the counts of actions."""
    world = World(script, PolicyAdapter(script.settings, POLICY_SEED))
    world.run()
    return world


def main(arguments: list[str]) -> None:
    """Run the named scripts, or all of them, and print their digests or counts."""
    names = [argument for argument in arguments if not argument.startswith("--")]
    scripts = [script for script in SCRIPTS if not names or script.name in names]
    if "--tally" in arguments:
        for script in scripts:
            started_s = time.process_time()
            world = run_script(script)
            print(f"{script.name} {time.process_time() - started_s:.2f} s {world.action_counts}")
        return
    print(json.dumps({script.name: run_script(script).digest for script in scripts}, indent=2))


if __name__ == "__main__":
    main(sys.argv[1:])
