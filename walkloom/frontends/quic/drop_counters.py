"""Counters for packets that were not forwarded and migrations that were not sent, and their log line."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

import trio

log = logging.getLogger("walkloom")

# Minimum interval between log lines. Anyone can send datagrams that are dropped; the interval keeps them from
# flooding the log.
REPORT_INTERVAL_S = 10.0


class DropReason(Enum):
    """Why a packet was not forwarded, or a migration not sent; the value is its name in the log."""

    # A datagram that is not a QUIC packet, or is too short for a client's first Initial packet.
    MALFORMED = "malformed"

    # A packet whose connection id names no server and that does not open a connection.
    UNROUTABLE = "unroutable"

    # A packet of a new connection while the maximum number of connections is open.
    TABLE_FULL = "table_full"

    # A packet of a new connection from an address that has as many connections as one address may have.
    ADDRESS_LIMIT = "address_limit"

    # A migration that the policy requested. A balancer has no means to make a QUIC client migrate.
    MIGRATIONS_NOT_SENT = "migrations_not_sent"


class DropCounters:
    """Counts by reason since the frontend was created."""

    def __init__(self) -> None:
        """Create counters that are all zero."""
        self.counts: Counter[DropReason] = Counter()

    def count(self, reason: DropReason) -> None:
        """Increment the counter for a reason."""
        self.counts[reason] += 1

    def summary(self) -> str:
        """Return all non-zero counts as `reason=count`, sorted by reason."""
        entries = sorted(f"{reason.value}={count}" for reason, count in self.counts.items())
        return " ".join(entries)

    async def report(self) -> None:
        """Log the counts at regular intervals if any has increased; runs until cancelled."""
        reported_total = 0
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            total = self.counts.total()
            if total > reported_total:
                reported_total = total
                log.info("quic_packets_dropped %s", self.summary())
