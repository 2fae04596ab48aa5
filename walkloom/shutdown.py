"""The schedule of a graceful shutdown, from SIGTERM to the end of the process. No I/O.

The platform sends SIGTERM, waits for the longest deadline of the settings plus SIGKILL_DELAY_S, and sends
SIGKILL. Between the two, all open connections must migrate and all final answers must be sent.
"""

from __future__ import annotations

from dataclasses import dataclass

# By the platform's rule, SIGKILL follows SIGTERM after the longest deadline plus this time.
SIGKILL_DELAY_S = 0.7

# By the platform's rule, a longer deadline counts as this in the time until SIGKILL.
MAX_COUNTED_DEADLINE_S = 3.0

# After SIGTERM, new client connections are directed here for 0.4 s and may take 0.1 s to arrive.
NEW_CONNECTIONS_END_AFTER_S = 0.5

# Migrations are spread over this time, so that the other balancers do not get all clients at once.
MIGRATION_DURATION_S = 0.9

# Largest margin between the last migration and the final answers, and again between those and SIGKILL.
MAX_MARGIN_S = 0.4

# If the time until SIGKILL is short, the margin is at most that time divided by this.
MARGIN_DIVISOR = 5


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of the steps of a graceful shutdown, in seconds after SIGTERM."""

    # Migrations begin, and new requests are rejected from then on.
    migration_starts_after_s: float

    # The time over which migrations are spread.
    migration_duration_s: float

    # Every remaining request gets its final answer.
    final_answers_after_s: float

    # The process has ended.
    process_ends_after_s: float

    @classmethod
    def for_longest_deadline(cls, longest_deadline_ms: float) -> ShutdownSchedule:
        """Return the schedule for the longest deadline of the settings, ms.

        Migrations begin as late as is safe, because the balancer that takes over may still be starting.
        """
        sigkill_after_s = min(longest_deadline_ms / 1000.0, MAX_COUNTED_DEADLINE_S) + SIGKILL_DELAY_S
        margin_s = min(MAX_MARGIN_S, sigkill_after_s / MARGIN_DIVISOR)
        migration_ends_after_s = sigkill_after_s - 2 * margin_s
        # Migrations begin after the last new connections, unless the time until SIGKILL is too short.
        earliest_start_after_s = min(NEW_CONNECTIONS_END_AFTER_S, migration_ends_after_s / 2)
        migration_starts_after_s = max(migration_ends_after_s - MIGRATION_DURATION_S, earliest_start_after_s)
        return cls(
            migration_starts_after_s=migration_starts_after_s,
            migration_duration_s=migration_ends_after_s - migration_starts_after_s,
            final_answers_after_s=sigkill_after_s - margin_s,
            process_ends_after_s=sigkill_after_s - margin_s / 2,
        )
