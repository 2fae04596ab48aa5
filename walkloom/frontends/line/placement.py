"""Stage 2: places an RPC: orders come from the core, attempts go out one after another."""

from __future__ import annotations

import math

import trio

from walkloom.discovery.watcher import Resolver
from walkloom.engine.engine import Core, Ticket
from walkloom.frontends.line.request_line import Opening
from walkloom.frontends.line.upstream import Up, attempt
from walkloom.messages import AttemptStatus, Fail, Reject, StartAttempt

STOOD_TRIES, STOOD_PAUSE_S, STOOD_WAIT_MS = 3, 1.0, 10_000.0


async def place(
    core: Core, resolver: Resolver, ticket: Ticket, opening: Opening, setup: float
) -> Up | Reject | Fail:
    """The subchannel that took the RPC, or the module's final answer."""
    while True:
        order = await ticket.order()
        if isinstance(order, Reject | Fail):
            return order
        if isinstance(order, StartAttempt):
            until = min(ticket.sent_at + (order.timeout_ms or math.inf), ticket.deadline)
            result = await attempt(core, ticket, opening, resolver.address(order.endpoint_id), until, setup)
            if isinstance(result, Up):
                ticket.established()
                return result
            ticket.ended(result)


async def rejoin(core: Core, resolver: Resolver, ticket: Ticket, opening: Opening, setup: float) -> Up | Fail:
    """A connection that stood before this balancer started goes back to its own subchannel."""
    for _ in range(STOOD_TRIES):
        until = core.now() + STOOD_WAIT_MS
        result = await attempt(core, ticket, opening, resolver.address(ticket.server), until, setup)
        if isinstance(result, Up):
            return result
        await trio.sleep(STOOD_PAUSE_S)
    ticket.ended(AttemptStatus.CONNECTION_RESET, closed=True)
    return Fail(ticket.id)
