"""Migrates open connections to other balancers at an even rate over a period."""

from __future__ import annotations

import math
from collections.abc import Collection

import trio

from walkloom.engine.request_handle import RequestHandle
from walkloom.messages import MigrateConnection

# Interval between migration steps. Steps spread the reconnects over time at the other balancers.
MIGRATION_STEP_S = 0.05


async def migrate_evenly(handles: Collection[RequestHandle], end_at: float) -> None:
    """Send each established connection one migration command; runs until cancelled.

    Connections that are established later migrate in the next step, even after `end_at`.

    handles: a live view of all open requests. end_at: when the last command should have been sent, in seconds
    of trio's clock.
    """
    migrated = set[int]()
    while True:
        remaining = [handle for handle in handles if handle.is_established and handle.id not in migrated]
        steps_left = max((end_at - trio.current_time()) / MIGRATION_STEP_S, 1.0)
        for handle in remaining[: math.ceil(len(remaining) / steps_left)]:
            migrated.add(handle.id)
            handle.deliver(MigrateConnection(handle.id))
        await trio.sleep(MIGRATION_STEP_S)
