"""The gate of one class: a refusal holds the whole class of this client back. No I/O.

`BUSY MS` holds it for MS and up to a tenth more, so that clients refused together do not return together;
`BUSY` alone for a time that doubles while refusals go on. After a hold one try goes; each success doubles how
many may be out at a time, until the client's own limit is the only one again.
"""

from __future__ import annotations

from random import Random

LATER = 0.1  # of the time told
TOLD_MOST_MS = 600_000.0  # guards a client against being sent away for days by one odd line
ALONE_MS, ALONE_MOST_MS = 200.0, 5_000.0  # where no time is told
ROOM_MOST = 1 << 20


class Gate:
    def __init__(self, rng: Random) -> None:
        self.held_until = 0.0
        self.out = 0  # tries of this class that are out
        self._room = ROOM_MOST  # how many may be
        self._alone = 0  # refusals in a row that told no time
        self._rng = rng

    def admits(self, now: float) -> bool:
        return now >= self.held_until and self.out < self._room

    def refused(self, now: float, retry_after: float | None) -> bool:
        """True where the hold got longer by it. retry_after: ms as told."""
        if retry_after is None:
            most = min(ALONE_MS * 2.0**self._alone, ALONE_MOST_MS)
            self._alone = min(self._alone + 1, 16)
            wait = most * (0.5 + self._rng.random() / 2.0)
        else:
            wait = min(retry_after, TOLD_MOST_MS) * (1.0 + LATER * self._rng.random())
        self._room = 1
        longer = now + wait > self.held_until
        self.held_until = max(self.held_until, now + wait)
        return longer

    def served(self, now: float) -> None:
        """A try came up. One that was out before the hold tells nothing of the time after it."""
        if now >= self.held_until:
            self._alone = 0
            self._room = min(self._room * 2, ROOM_MOST)
