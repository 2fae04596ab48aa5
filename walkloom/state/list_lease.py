"""What is known of the age of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

NEVER = float("inf")


@dataclass(slots=True)
class ListLease:
    """Until when the list may be used, and what the calls for it have shown. Times are absolute ms."""

    # Nothing new is sent to any endpoint from then on, until discovery confirms the list.
    expires_at: float = NEVER

    # Until then discovery is known to have answered with all it had, or to have been down, without a gap.
    observed_until: float = -NEVER

    # Calls in a row that brought no list.
    failures: int = 0

    # The least that a call took beyond its hold; 0: not known.
    call_ms: float = 0.0
