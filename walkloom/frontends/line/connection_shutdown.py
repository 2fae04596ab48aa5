"""Stage 5: how client connections end.

One owner for the answer of an RPC that was not served, for client connections without a
request, for those that were relayed, and for all of them when the balancer itself ends.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

from walkloom.messages import Fail, Reject
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineStream

FULL_MS = 500.0  # when to come back to a balancer that has no descriptor left
BUSY = b"BUSY %d\r\n"
ANSWER_S = 1.0  # for an answer to go out, and for its client to end its side
LAST_READ_S = 0.05  # at the balancer's end: what has come by then is still read and answered


class ConnectionShutdown:
    def __init__(self, descriptor_limit: DescriptorLimit) -> None:
        self._descriptor_limit = descriptor_limit
        # stages of client connections, and their grace in seconds
        self._open = dict[trio.CancelScope, float]()
        self._end_at = self._gone_at = math.inf  # trio's clock: of the balancer, of the process
        self._none_open = trio.Event()
        self.accepting = trio.CancelScope()  # of the loop that accepts client connections
        self.accepted = trio.Event()  # after its end: every client connection that came in time has its task

    @contextmanager
    def cancelled_at_shutdown(self, grace: float = 0.0, most: float = math.inf) -> Iterator[trio.CancelScope]:
        """A stage of a client connection that the balancer's end cuts short.

        It is cut grace seconds after that, and after `most` seconds at any time. The caller still answers
        what was cut.
        """
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
    def idle(self) -> Iterator[trio.CancelScope]:
        """A client connection without a request; cancelled if its descriptor is needed at once."""
        with self.cancelled_at_shutdown(LAST_READ_S) as scope, self._descriptor_limit.reclaimable(scope):
            yield scope

    async def send_answer(self, client: LineStream, command: Reject | Fail) -> None:
        """The final answer, owed also while the program stops."""
        if isinstance(command, Fail):
            line = b"ERR\r\n"
        else:
            line = BUSY % command.retry_after_ms if command.retry_after_ms >= 1 else b"BUSY\r\n"
        await self._last(client, line)

    async def close_idle(self, client: LineStream, scope: trio.CancelScope) -> None:
        """Ends a client connection that rested till its scope ended.

        Guards a request that is on its way just now: a close over it would reset the connection; so its
        client reads that nothing was sent on.
        """
        shed = scope.cancelled_caught and trio.current_time() < self._end_at
        if shed:  # its descriptor is needed now: no time for the client to end its side
            with self.cancelled_at_shutdown(math.inf, ANSWER_S), suppress(trio.BrokenResourceError):
                await client.drain()
                await client.send(BUSY % FULL_MS)
                await client.send_eof()
        elif not client.ended:
            await self.send_answer(client, Reject(None))

    async def close_relayed(self, client: LineStream, move: bool) -> None:
        """Ends a client connection after its relay; what that left of a line goes out before the MOVE."""
        await self._last(client, b"MOVE\r\n" if move else b"")

    async def _last(self, client: LineStream, line: bytes) -> None:
        with (
            self.cancelled_at_shutdown(math.inf, ANSWER_S) as scope,
            self._descriptor_limit.reclaimable(scope),
        ):
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await client.send(line)
            await client.close_gently()

    async def shut_down(self, gone_at: float) -> None:
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
