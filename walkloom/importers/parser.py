"""Former module of the importer, still supported: python -m walkloom.importers.parser FILE..."""

from __future__ import annotations

import sys

from walkloom.importers.command import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
