"""The retry budget of one client: retries are a share of recent successes, so that a fleet that fails is not
hammered. No I/O.

The rule, for any moment: retries of the last WINDOW_MS <= reserve + share * successes of the last WINDOW_MS,
counted in whole slots. The form is that of Finagle's RetryBudget, kept as a ring of slots instead of tokens
with a time each, so that its size does not depend on the traffic.
"""

from __future__ import annotations

SLOTS = 10
SLOT_MS = 1_000.0
WINDOW_MS = SLOTS * SLOT_MS


class RetryBudget:
    def __init__(self, share: float, reserve: int) -> None:
        self._share, self._reserve = share, reserve
        self._successes = [0] * SLOTS
        self._spent = [0] * SLOTS
        self._slot = 0  # number of the newest slot, from the clock's zero

    def succeeded(self, now: float) -> None:
        self._successes[self._turn(now)] += 1

    def take(self, now: float) -> bool:
        """Whether one more retry may go; if so it is counted."""
        at = self._turn(now)
        if sum(self._spent) + 1 > self._reserve + self._share * sum(self._successes):
            return False
        self._spent[at] += 1
        return True

    def give_back(self, now: float) -> None:
        """A retry that was counted was never begun. Its slot may be gone: then the newest that has one
        pays."""
        at = self._turn(now)
        for back in range(SLOTS):
            if self._spent[(at - back) % SLOTS]:
                self._spent[(at - back) % SLOTS] -= 1
                return

    def _turn(self, now: float) -> int:
        """The place of this moment's slot; those that fell out of the window are emptied."""
        slot = max(int(now // SLOT_MS), self._slot)  # a clock that stands or steps back empties nothing
        for passed in range(self._slot + 1, min(slot, self._slot + SLOTS) + 1):
            self._successes[passed % SLOTS] = self._spent[passed % SLOTS] = 0
        if slot >= self._slot + SLOTS:
            self._successes, self._spent = [0] * SLOTS, [0] * SLOTS
        self._slot = slot
        return slot % SLOTS
