"""Migrates open connections to other balancers, spread evenly over a time."""

from __future__ import annotations

import math
from collections.abc import Collection

import trio

from walkloom.engine.request_handle import RequestHandle
from walkloom.messages import MigrateConnection

# Connections migrate in steps this far apart, so that they come back to the other balancers spread out.
MIGRATION_STEP_S = 0.05


async def migrate_evenly(handles: Collection[RequestHandle], end: float) -> None:
    """Ask every established connection once to migrate, until cancelled.

    What is established later migrates in the next step, also after the end.

    handles: a live view of all open requests. end: when the last should have been asked, trio's clock.
    """
    migrated = set[int]()
    while True:
        remaining = [handle for handle in handles if handle.is_established and handle.id not in migrated]
        steps_left = max((end - trio.current_time()) / MIGRATION_STEP_S, 1.0)
        for handle in remaining[: math.ceil(len(remaining) / steps_left)]:
            migrated.add(handle.id)
            handle.deliver(MigrateConnection(handle.id))
        await trio.sleep(MIGRATION_STEP_S)
