"""The record of a run: what was sent, answered and run, with the time of each event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event; times are seconds since the start of the record."""

    def __init__(self, path: Path) -> None:
        """Create the file; raises OSError if that is not possible."""
        self._started_at = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the time since the start of the record, s."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> float:
        """Write an event; return its time, s."""
        at = self.now()
        self._file.write(f"{at:9.4f} {text}\n")
        self._file.flush()
        return at
