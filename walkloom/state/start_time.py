"""When an endpoint started, by what the list claims and what was seen. No I/O; all times are ms.

The list's time is one of another machine's wall clock. Either clock may have been stepped, so that a claim is
checked against the lists themselves.
"""

from __future__ import annotations

# A start is listed so long after it at the latest.
MAX_LIST_DELAY_MS = 15_000.0


def plausible_start(claimed_at: float, listed_without_at: float, now: float) -> float:
    """Return the claimed start, or now where the claim cannot be true.

    listed_without_at: when the newest list came that did not have this start; -inf where there was none.
    """
    is_long_ago = claimed_at <= 0
    if is_long_ago:
        return claimed_at
    is_plausible = listed_without_at - MAX_LIST_DELAY_MS <= claimed_at <= now
    return claimed_at if is_plausible else now
