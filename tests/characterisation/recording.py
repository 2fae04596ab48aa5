"""What the digests are made of and compared with."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable
from pathlib import Path

Record = tuple[object, ...]
Script = Callable[[], Iterable[Record]]
DIGESTS = Path(__file__).parent / "digests"


def digest(records: Iterable[Record]) -> str:
    """The sha256 of the records' exact forms, a line each; floats keep every digit."""
    lines = hashlib.sha256()
    for record in records:
        lines.update(repr(record).encode() + b"\n")
    return lines.hexdigest()


def committed(part: str) -> dict[str, str]:
    """The digest of each script of a part, as it was when the part was characterised."""
    digests: dict[str, str] = json.loads((DIGESTS / f"{part}.json").read_text())
    return digests
