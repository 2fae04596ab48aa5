"""When an endpoint started, derived from the endpoint list. No I/O; all times are ms.

The start time in the list comes from the wall clock of another machine. Either clock may have been stepped,
so the time is checked against the arrival times of the lists.
"""

from __future__ import annotations

# Longest time between the start of an endpoint and its appearance in the list.
MAX_LIST_DELAY_MS = 15_000.0


def choose_start_time(claimed_at: float, previous_list_at: float, now: float) -> float:
    """Return the start time from the list, or now if that time cannot be true.

    Args:
        claimed_at: the start time in the list, ms; 0 or less: long ago.
        previous_list_at: when the newest list without this start arrived, ms; -inf: there was none.
        now: the current time, ms.
    """
    has_no_time = claimed_at <= 0
    if has_no_time:
        return claimed_at
    is_plausible = previous_list_at - MAX_LIST_DELAY_MS <= claimed_at <= now
    return claimed_at if is_plausible else now
