"""The retry budget of one client: retries are a share of recent successes.

So a fleet that fails is not loaded further by retries. No I/O. The rule, at any moment: retries of the last
WINDOW_MS <= reserve + share * successes of the last WINDOW_MS, counted in whole slots. The form is that of
Finagle's RetryBudget, kept as a ring of slots instead of timed tokens, so that its size does not depend on
the traffic.
"""

from __future__ import annotations

SLOT_COUNT = 10
SLOT_MS = 1_000.0
WINDOW_MS = SLOT_COUNT * SLOT_MS


class RetryBudget:
    """Counts successes and retries of the last WINDOW_MS.

    share: retries allowed for each success. reserve: retries allowed beside those.
    """

    def __init__(self, share: float, reserve: int) -> None:
        self._share = share
        self._reserve = reserve
        self._successes = [0] * SLOT_COUNT
        self._retries = [0] * SLOT_COUNT
        self._newest_slot = 0  # number of the slot, from the clock's zero

    def record_success(self, now: float) -> None:
        """Count a success."""
        self._successes[self._advance(now)] += 1

    def try_reserve(self, now: float) -> bool:
        """Reserve one retry; return False, and reserve none, if the budget is used up."""
        index = self._advance(now)
        if sum(self._retries) + 1 > self._reserve + self._share * sum(self._successes):
            return False
        self._retries[index] += 1
        return True

    def release(self, now: float) -> None:
        """Give back a reserved retry that did not start.

        Its slot may have left the window: then the newest slot with a retry is credited.
        """
        index = self._advance(now)
        for age in range(SLOT_COUNT):
            slot = (index - age) % SLOT_COUNT
            if self._retries[slot]:
                self._retries[slot] -= 1
                return

    def _advance(self, now: float) -> int:
        """Return the index of the current slot, after emptying those that left the window."""
        slot = max(int(now // SLOT_MS), self._newest_slot)  # a clock that steps back empties nothing
        newest_to_clear = min(slot, self._newest_slot + SLOT_COUNT)
        for cleared in range(self._newest_slot + 1, newest_to_clear + 1):
            self._successes[cleared % SLOT_COUNT] = 0
            self._retries[cleared % SLOT_COUNT] = 0
        self._newest_slot = slot
        return slot % SLOT_COUNT
