"""Prints the digests of the scripts of a part as JSON: `python -m tests.characterisation.record PART`."""

from __future__ import annotations

import json
import logging
import sys
from importlib import import_module

from tests.characterisation.recording import digest


def main() -> None:
    """Run every script of the part that the command line names, and print the digests."""
    if len(sys.argv) != 2:
        sys.exit("usage: python -m tests.characterisation.record PART")
    logging.disable()
    scripts = import_module(f"tests.characterisation.test_{sys.argv[1]}").SCRIPTS
    print(json.dumps({name: digest(script()) for name, script in scripts.items()}, indent=2))


if __name__ == "__main__":
    main()
