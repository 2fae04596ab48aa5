"""Counts of what the frontend did not forward or send, and the log line about them."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

import trio

log = logging.getLogger("walkloom")

# Anyone can send datagrams that are dropped; a line in so many seconds cannot fill the log.
REPORT_INTERVAL_S = 10.0


class DropReason(Enum):
    """Why something was not forwarded or sent; the value is its word in the log."""

    # A datagram that is no QUIC packet, or too short for a client's first Initial packet.
    MALFORMED = "malformed"

    # A packet whose connection id names no server, and which opens no connection.
    UNROUTABLE = "unroutable"

    # A packet of a new connection, while there are as many as the settings allow.
    TABLE_FULL = "table_full"

    # A migration that the policy asked for: a balancer has no means to move a QUIC client.
    MIGRATIONS_NOT_SENT = "migrations_not_sent"


class DropCounters:
    """Counts by reason, since the start."""

    def __init__(self) -> None:
        """Begin with no counts."""
        self.counts: Counter[DropReason] = Counter()

    def count(self, reason: DropReason) -> None:
        """Count one."""
        self.counts[reason] += 1

    def summary(self) -> str:
        """Return all counts that are not zero as `reason=count`, by name."""
        words = sorted(f"{reason.value}={count}" for reason, count in self.counts.items())
        return " ".join(words)

    async def report(self) -> None:
        """Log the counts at regular intervals where one has risen; runs until cancelled."""
        reported_total = 0
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            total = self.counts.total()
            if total > reported_total:
                reported_total = total
                log.info("quic_packets_dropped %s", self.summary())
