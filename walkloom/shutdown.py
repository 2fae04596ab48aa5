"""The times of a graceful shutdown, from SIGTERM to the end of the process. No I/O.

The platform sends SIGTERM, and SIGKILL later: KILL_S after the longest deadline of the settings. All open
connections have to migrate and all answers have to go out between the two.
"""

from __future__ import annotations

from dataclasses import dataclass

# SIGKILL comes so long after the longest deadline has passed since SIGTERM. The platform's rule.
KILL_S = 0.7

# A longest deadline above this counts as this. The platform's rule.
KILL_LONGEST_S = 3.0

# New client connections come for so long after SIGTERM: for 0.4 s, and 0.1 s on their way here.
ACCEPT_S = 0.5

# Migrations are spread over this time, so that the other balancers are not hit by all clients at once.
MIGRATION_S = 0.9

# Lies between the last migration and the last answers, and again between those and SIGKILL.
MARGIN_S = 0.4

# The margin is at most this part (one in so many) of the time until SIGKILL, where that is short.
MARGIN_DIVISOR = 5


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When the steps of a graceful shutdown happen, in seconds after SIGTERM."""

    # Migrations begin, and new requests are rejected from here on.
    migrate_from: float

    # How long migrations are spread over.
    migrate_for: float

    # Every request that is left gets its final answer.
    answer_by: float

    # The process has ended.
    exit_by: float

    @classmethod
    def of(cls, longest: float) -> ShutdownSchedule:
        """Return the schedule for the longest deadline of the settings, ms.

        Migrations come as late as is safe, because the balancer that takes over may be starting still.
        """
        kill_at = min(longest / 1000.0, KILL_LONGEST_S) + KILL_S
        margin = min(MARGIN_S, kill_at / MARGIN_DIVISOR)
        migrate_until = kill_at - 2 * margin
        # Not before new connections cease to come, unless the time until SIGKILL is too short for that.
        earliest_start = min(ACCEPT_S, migrate_until / 2)
        migrate_from = max(migrate_until - MIGRATION_S, earliest_start)
        return cls(
            migrate_from=migrate_from,
            migrate_for=migrate_until - migrate_from,
            answer_by=kill_at - margin,
            exit_by=kill_at - margin / 2,
        )
