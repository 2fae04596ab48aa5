"""Stage 5: how channels end. One owner for the answer of an RPC that was not served, for channels that bring
no request, for those that were relayed, and for all of them when the balancer itself ends."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

from walkloom.messages import Fail, Reject
from walkloom.transport.descriptor_limit import Budget
from walkloom.transport.line_stream import Lines

FULL_MS = 500.0  # when to come back to a balancer that has no descriptor left
BUSY = b"BUSY %d\r\n"
ANSWER_S = 1.0  # for an answer to go out, and for its client to end its side
LAST_READ_S = 0.05  # at the balancer's end: what has come by then is still read and answered


class Finish:
    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self._open = dict[trio.CancelScope, float]()  # stages of channels, and their grace in seconds
        self._end_at = self._gone_at = math.inf  # trio's clock: of the balancer, of the process
        self._none_open = trio.Event()
        self.accepting = trio.CancelScope()  # of the loop that accepts channels
        self.accepted = trio.Event()  # after its end: every channel that came in time has its task

    @contextmanager
    def until_end(self, grace: float = 0.0, most: float = math.inf) -> Iterator[trio.CancelScope]:
        """A stage of a channel that the balancer's end cuts short, grace seconds after it, if it has not
        been over after `most` seconds. The caller still answers what was cut."""
        with trio.CancelScope(deadline=trio.current_time() + most) as scope:
            self._open[scope] = grace
            self._cut(scope)
            try:
                yield scope
            finally:
                del self._open[scope]
                if not self._open:
                    self._none_open.set()

    def _cut(self, scope: trio.CancelScope) -> None:
        scope.deadline = min(scope.deadline, self._end_at + self._open[scope], self._gone_at)

    @contextmanager
    def resting(self) -> Iterator[trio.CancelScope]:
        """A channel that has not brought its request; cancelled if its descriptor is needed at once."""
        with self.until_end(LAST_READ_S) as scope, self._budget.spare(scope):
            yield scope

    async def answer(self, channel: Lines, order: Reject | Fail) -> None:
        """The final answer, owed also while the program stops."""
        if isinstance(order, Fail):
            line = b"ERR\r\n"
        else:
            line = BUSY % order.retry_after_ms if order.retry_after_ms >= 1 else b"BUSY\r\n"
        await self._last(channel, line)

    async def dismiss(self, channel: Lines, scope: trio.CancelScope) -> None:
        """Ends a channel that rested till its scope ended. Guards a request that is on its way just now: a
        close over it would reset the channel; so its client reads that nothing was sent on."""
        shed = scope.cancelled_caught and trio.current_time() < self._end_at
        if shed:  # its descriptor is needed now: no time for the client to end its side
            with self.until_end(math.inf, ANSWER_S), suppress(trio.BrokenResourceError):
                await channel.drain()
                await channel.send(BUSY % FULL_MS)
                await channel.finish()
        elif not channel.ended:
            await self.answer(channel, Reject(None))

    async def relayed(self, channel: Lines, move: bool) -> None:
        """Ends a channel after its relay; what that left of a line goes out before the MOVE."""
        await self._last(channel, b"MOVE\r\n" if move else b"")

    async def _last(self, channel: Lines, line: bytes) -> None:
        with self.until_end(math.inf, ANSWER_S) as scope, self._budget.spare(scope):
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await channel.send(line)
            await channel.close_gently()

    async def end(self, gone_at: float) -> None:
        """The balancer ends (gone_at: trio's clock): accepts those that came in time, reads what they have
        sent, cuts short what rests, waits or stands, and returns once all have their answers."""
        self._end_at, self._gone_at = trio.current_time(), gone_at
        self.accepting.cancel()
        for scope in self._open:
            self._cut(scope)
        with trio.move_on_at(gone_at):
            await self.accepted.wait()
            while self._open:
                self._none_open = trio.Event()
                await self._none_open.wait()
