"""When things happen on a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

KILL_S, KILL_LONGEST_S = 0.7, 3.0  # SIGKILL comes so long after the longest deadline; that counts as at most
FRESH_S = 0.5  # new client connections come for so long after SIGTERM: 0.4 s, and the way here
OVER_S, SPARE_S = 0.9, 0.4  # moves last so long; between the last and our end, and from that to SIGKILL


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When things happen on a planned stop, in seconds after SIGTERM. Open RPCs move as late as is safe:
    another balancer may be starting meanwhile."""

    migrate_from: float  # moves begin, and new requests are refused
    migrate_for: float  # moves last
    answer_by: float  # every RPC that is left gets its answer
    exit_by: float  # the process has ended

    @classmethod
    def of(cls, longest: float) -> ShutdownSchedule:
        """longest: the longest deadline of the settings, ms."""
        kill = min(longest / 1000.0, KILL_LONGEST_S) + KILL_S
        spare = min(SPARE_S, kill / 5)
        last = kill - 2 * spare
        start = max(last - OVER_S, min(FRESH_S, last / 2))
        return cls(start, last - start, kill - spare, kill - spare / 2)
