"""Computes the digests of recorded runs, and reads the committed ones."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from pathlib import Path

Record = tuple[object, ...]
Script = Callable[[], Iterable[Record]]
DIGESTS_DIRECTORY = Path(__file__).parent / "digests"


def digest(records: Iterable[Record]) -> str:
    """Return the sha256 of the `repr` of each record, one a line; floats keep every digit."""
    hasher = hashlib.sha256()
    for record in records:
        hasher.update(repr(record).encode() + b"\n")
    return hasher.hexdigest()


def committed(part: str) -> dict[str, str]:
    """Return the committed digest of each script of a part."""
    digests: dict[str, str] = json.loads((DIGESTS_DIRECTORY / f"{part}.json").read_text())
    return digests
