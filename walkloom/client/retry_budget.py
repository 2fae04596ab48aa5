"""The retry budget of one client: limits retries to a share of recent successes.

Retries therefore do not overload a failing fleet. No I/O. At any time, the retries of the last WINDOW_MS
are at most reserve + share * successes of the last WINDOW_MS, counted in whole slots. The rule is that of
Finagle's RetryBudget; a ring of slots replaces its timed tokens, so that the size does not depend on the
traffic.
"""

from __future__ import annotations

SLOT_COUNT = 10
SLOT_MS = 1_000.0
WINDOW_MS = SLOT_COUNT * SLOT_MS


class RetryBudget:
    """Counts successes and retries of the last WINDOW_MS.

    share: retries allowed per success. reserve: retries allowed in addition.
    """

    def __init__(self, share: float, reserve: int) -> None:
        self._share = share
        self._reserve = reserve
        self._successes = [0] * SLOT_COUNT
        self._retries = [0] * SLOT_COUNT
        self._newest_slot = 0  # slot number, counted from time zero of the clock

    def record_success(self, now: float) -> None:
        """Count a success."""
        self._successes[self._advance(now)] += 1

    def try_reserve(self, now: float) -> bool:
        """Reserve one retry; return False, without a reservation, if the budget is exhausted."""
        index = self._advance(now)
        if sum(self._retries) + 1 > self._reserve + self._share * sum(self._successes):
            return False
        self._retries[index] += 1
        return True

    def release(self, now: float) -> None:
        """Return a reserved retry that did not start.

        The newest slot with a retry is credited, because the slot of the reservation may have left the
        window.
        """
        index = self._advance(now)
        for age in range(SLOT_COUNT):
            slot = (index - age) % SLOT_COUNT
            if self._retries[slot]:
                self._retries[slot] -= 1
                return

    def _advance(self, now: float) -> int:
        """Return the index of the current slot, after clearing the slots that left the window."""
        slot = max(int(now // SLOT_MS), self._newest_slot)  # a clock that steps back clears no slot
        newest_to_clear = min(slot, self._newest_slot + SLOT_COUNT)
        for cleared in range(self._newest_slot + 1, newest_to_clear + 1):
            self._successes[cleared % SLOT_COUNT] = 0
            self._retries[cleared % SLOT_COUNT] = 0
        self._newest_slot = slot
        return slot % SLOT_COUNT
