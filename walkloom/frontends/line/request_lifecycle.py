"""The life of one RPC, from its first line to its end, in one task."""

from __future__ import annotations

import logging

import trio

from walkloom.config import Names
from walkloom.discovery.watcher import Resolver
from walkloom.engine.engine import Core, Ticket
from walkloom.frontends.line import placement, request_line
from walkloom.frontends.line.connection_shutdown import FULL_MS, Finish
from walkloom.frontends.line.relay import Relay
from walkloom.frontends.line.request_line import Opening, OpeningError
from walkloom.frontends.line.upstream import Up
from walkloom.messages import AttemptStatus, Fail, Reject
from walkloom.transport.descriptor_limit import Budget
from walkloom.transport.line_stream import LineError, Lines
from walkloom.transport.rate_limited_log import Tally

log = logging.getLogger("walkloom")
STANDS_MS = 60_000.0  # how long after the start connections that stood before come back
MARGIN_MS = 20.0  # of a client's patience: the way of its line to us and of our answer back


class Front:
    """What every RPC of this front shares."""

    def __init__(
        self,
        core: Core,
        resolver: Resolver,
        names: Names,
        connect_timeout: float,
        longest: float,
        budget: Budget,
    ) -> None:
        self.core, self.resolver, self.names, self.budget = core, resolver, names, budget
        self.connect_timeout, self.longest = connect_timeout, longest
        self.finish = Finish(budget)
        self.ids = set[str]()  # of the RPCs that are open
        self.stands_till = core.now() + STANDS_MS
        self.malformed = Tally("rpc-malformed")

    def check(self, opening: Opening) -> None:
        """Guards open RPCs and the module against openings that are in form and yet no client's."""
        if opening.id in self.ids:
            raise OpeningError(f"id {opening.id} is open")
        if opening.stands_at is None:
            self.stands_till = 0.0  # all that stood before have come back by now
        elif self.core.now() >= self.stands_till or not self.resolver.address(opening.stands_at):
            raise OpeningError(f"nothing stands at {opening.stands_at[:40]}")


async def live(front: Front, channel: Lines) -> None:
    """Read, place, relay or answer. Exactly one final answer goes out for each opening line."""
    with front.budget.take() as room:
        if not room:
            return await front.finish.answer(channel, Reject(None, FULL_MS))
        try:
            opening = None
            with front.finish.resting() as scope:
                opening = await request_line.opening(channel, front.names, front.longest)
            if opening is None:
                return await front.finish.dismiss(channel, scope)
            if channel.pending:  # a client waits for its answer
                raise OpeningError("more than one command")
            front.check(opening)
        except (LineError, OpeningError) as error:
            front.malformed.count(str(error))
            return await front.finish.answer(channel, Fail(None))
        except trio.BrokenResourceError:
            return
        with front.budget.take() as room:  # the subchannel's
            if not room:
                return await front.finish.answer(channel, Reject(None, FULL_MS))
            await _rpc(front, channel, opening)


async def _rpc(front: Front, channel: Lines, opening: Opening) -> None:
    ticket = _ticket(front.core, opening)
    front.ids.add(opening.id)
    try:
        result = await _placed(front, channel, ticket, opening)
        if isinstance(result, Up):
            log.info(
                "rpc-up id=%s request=%d group=%x server=%s attempts=%d stood=%s",
                opening.id,
                ticket.id,
                opening.group or 0,
                ticket.server,
                ticket.attempt + 1,
                opening.stands_at is not None,
            )
            relay = Relay(ticket, channel, result.subchannel)
            with front.finish.until_end() as scope:
                await relay.run(result.receipt)
            await front.finish.relayed(channel, move=relay.owes_move(scope.cancelled_caught))
        elif result is not None:
            answer = "Refuse" if isinstance(result, Reject) else "Fail"  # the log's words
            log.info("rpc-unavailable id=%s class=%s answer=%s", opening.id, opening.cls, answer)
            await front.finish.answer(channel, result)
    finally:
        front.ids.discard(opening.id)
        ticket.close()


def _ticket(core: Core, opening: Opening) -> Ticket:
    about = {"tenant": opening.tenant, "key": opening.key, "group": opening.group}
    if opening.stands_at is not None:
        return core.adopt(opening.stands_at, opening.cls, **about)  # type: ignore[arg-type]
    return core.submit(
        opening.cls,
        core.now() + opening.patience - MARGIN_MS,
        load=opening.load,
        repeat=opening.repeat,
        returned=opening.returned,
        **about,  # type: ignore[arg-type]
    )


async def _placed(
    front: Front, channel: Lines, ticket: Ticket, opening: Opening
) -> Up | Reject | Fail | None:
    """Places the RPC while its client stays and waits; None if it left. At the balancer's end an attempt that
    is out ends, and the module says what its client is told."""
    result: Up | Reject | Fail | None = None
    early = False
    stage = placement.place if opening.stands_at is None else placement.rejoin
    try:
        with front.finish.until_end() as scope:
            async with trio.open_nursery() as nursery:

                async def until_stirs() -> None:
                    nonlocal early
                    early = await channel.stirs()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(until_stirs)
                result = await stage(front.core, front.resolver, ticket, opening, front.connect_timeout)
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught and result is None:
            return ticket.withdraw()
    except Exception:  # guards the final answer: whatever broke, the client is told
        log.exception("rpc-error id=%s", opening.id)
        result = Fail(ticket.id)
        ticket.ended(AttemptStatus.ERROR, closed=True)
    if result is None:
        if early:  # guards the server against commands that are no lines of a connection that stands
            front.malformed.count("a command before the answer to the first")
            result = Fail(ticket.id)
        log.info("rpc-left id=%s request=%d attempts=%d", opening.id, ticket.id, ticket.attempt + 1)
        ticket.left()
        ticket.ended(AttemptStatus.CANCELLED, closed=True)
    return result
