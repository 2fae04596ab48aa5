"""The lease on the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass

INFINITE_TIME = float("inf")


@dataclass(slots=True)
class ListLease:
    """How long the endpoint list may be used, and the results of the calls for it. Times are absolute ms."""

    # From this time no endpoint gets new work until discovery confirms the list again.
    expires_at: float = INFINITE_TIME

    # The last time at which discovery was observed: it answered, or it was down and there was no gap before.
    observed_until: float = -INFINITE_TIME

    # Whether discovery itself sent or confirmed the list. Until then a refused call extends no lease.
    is_confirmed: bool = False

    # Whether an outage of discovery was observed without a gap since its last answer.
    is_in_outage: bool = False

    # When that outage was first observed.
    outage_observed_at: float = -INFINITE_TIME

    # Number of consecutive failed calls.
    failures: int = 0

    # Shortest duration of a call beyond the time that it was held open, ms; 0: not known.
    call_ms: float = 0.0
