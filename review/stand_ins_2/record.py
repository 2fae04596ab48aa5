"""The record of a case: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

STALL_CHECK_S = 0.02


class Record:
    """Writes `record.txt`; all times are seconds since the record was opened."""

    def __init__(self, path: Path) -> None:
        """Open the file and start the clock; raises OSError if the file cannot be written."""
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()
        self.longest_stall_s = 0.0

    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> float:
        """Write one line and return its time, s."""
        at = self.now()
        self._file.write(f"{at:9.3f} {text}\n")
        return at

    def close(self) -> None:
        """Write everything to the disk and close the file."""
        self._file.close()

    async def watch_stalls(self) -> None:
        """Measure for how long the stand-ins themselves did not run, until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - before - STALL_CHECK_S)
