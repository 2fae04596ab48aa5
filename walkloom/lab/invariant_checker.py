"""What really crossed the sockets of a laboratory, and the balancers' rules checked on it. No I/O.

Tile servers tell it of every attempt, discovery of every word that a server drains or is gone. The rules are
those of the platform's pages, with the 50 ms that real sockets add to each time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

ATTEMPTS = 3
DRAIN_MS = 500.0
SLACK_MS = 50.0
TOLD_MS = 6000.0  # a change counts as told to everybody so long after it was told to anybody
FAULTS_MOST = 100  # kept in full; more are counted


@dataclass(slots=True)
class Attempt:
    """One opening line at a tile server. Times: ms of the laboratory's clock."""

    server: str
    began: float
    ended: float | None = None
    outcome: str = ""  # the line's first word, or "reset", "left"


@dataclass
class Ledger:
    attempts: dict[str, list[Attempt]] = field(default_factory=dict)  # by the connection's id
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    faults_in_all: int = 0
    # servers that leave, and when the first and the last of the watchers were told
    _leaving: dict[str, tuple[float, float]] = field(default_factory=dict)

    def fault(self, text: str) -> None:
        self.faults_in_all += 1
        if len(self.faults) < FAULTS_MOST:
            self.faults.append(text)

    def told(self, server: str, leaving: bool, now: float) -> None:
        """Discovery has told one more watcher that a server drains or is gone, or is back."""
        if leaving:
            first, _ = self._leaving.get(server, (now, now))
            # who asks for the list again later is told again, but nobody for the first time
            self._leaving[server] = first, min(now, first + TOLD_MS)
        else:
            self._leaving.pop(server, None)

    def began(self, server: str, rid: str, now: float, standing: bool = False) -> Attempt:
        """An opening line has come whole. standing: it was open before (`at=`), and is no attempt."""
        attempt = Attempt(server, now)
        before = self.attempts.setdefault(rid, [])
        if any(other.ended is None for other in before):
            self.fault(f"two attempts at once: id {rid} at {server} and {before[-1].server}")
        before.append(attempt)
        if len(before) > ATTEMPTS:
            self.fault(f"attempt {len(before)} of id {rid}")
        told = self._leaving.get(server)
        if told is not None and not standing and now > told[1] + DRAIN_MS + SLACK_MS:
            self.fault(f"sent to {server} {now - told[1]:.0f} ms after its drain was told: id {rid}")
        return attempt

    def ended(self, attempt: Attempt, outcome: str, now: float) -> None:
        if attempt.ended is None:
            attempt.ended, attempt.outcome = now, outcome
            self.outcomes[outcome] += 1
