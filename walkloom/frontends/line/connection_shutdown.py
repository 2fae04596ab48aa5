"""Stage 7: how client connections end.

One owner for the answer to a request that was not served, for client connections without a request, for those
that were relayed, and for all of them when the balancer shuts down.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

from walkloom.messages import Fail, Reject
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineStream

# When to come back to a balancer that has no descriptor left.
NO_DESCRIPTOR_RETRY_AFTER_MS = 500.0

# For an answer to go out, and for its client to end its side.
ANSWER_TIMEOUT_S = 1.0

# At a shutdown, what has come by then is still read and answered.
LAST_READ_GRACE_S = 0.05

ERR = b"ERR\r\n"
BUSY = b"BUSY\r\n"
BUSY_WITH_RETRY_AFTER = b"BUSY %d\r\n"
MOVE = b"MOVE\r\n"


class ConnectionShutdown:
    """Ends client connections, and knows which stages of them are open.

    All times are those of trio's clock, in seconds.
    """

    def __init__(self, descriptor_limit: DescriptorLimit) -> None:
        """Descriptors of connections that are about to end can be reclaimed through `descriptor_limit`."""
        self._descriptor_limit = descriptor_limit
        # The open stages of client connections, and what each may last after the shutdown's start.
        self._grace_s_by_scope = dict[trio.CancelScope, float]()
        self._shutdown_started_at_s = math.inf
        self._exit_at_s = math.inf
        self._all_closed = trio.Event()
        # Scope of the listener's loop.
        self.accepting = trio.CancelScope()
        # Set by the listener after that scope: every client connection that came in time has its task.
        self.accepted = trio.Event()

    @contextmanager
    def cancelled_at_shutdown(
        self, grace_s: float = 0.0, timeout_s: float = math.inf
    ) -> Iterator[trio.CancelScope]:
        """Run a stage of a client connection that a shutdown cancels.

        It ends `grace_s` after the shutdown's start, or when the process is to exit, or `timeout_s` after its
        own start, whichever comes first. The caller still answers the client.
        """
        with trio.CancelScope(deadline=trio.current_time() + timeout_s) as scope:
            self._grace_s_by_scope[scope] = grace_s
            # The shutdown may have started before this stage.
            self._limit_to_shutdown(scope)
            try:
                yield scope
            finally:
                del self._grace_s_by_scope[scope]
                if not self._grace_s_by_scope:
                    self._all_closed.set()

    def _limit_to_shutdown(self, scope: trio.CancelScope) -> None:
        grace_ends_at_s = self._shutdown_started_at_s + self._grace_s_by_scope[scope]
        scope.deadline = min(scope.deadline, grace_ends_at_s, self._exit_at_s)

    @contextmanager
    def idle(self) -> Iterator[trio.CancelScope]:
        """Run the stage without a request; also cancelled if its descriptor is needed elsewhere."""
        with (
            self.cancelled_at_shutdown(LAST_READ_GRACE_S) as scope,
            self._descriptor_limit.reclaimable(scope),
        ):
            yield scope

    async def send_answer(self, client: LineStream, answer: Reject | Fail) -> None:
        """Send the final answer of a request that was not served, also during a shutdown, and close."""
        await self._send_last_line(client, _encode_answer(answer))

    async def close_idle(self, client: LineStream, scope: trio.CancelScope) -> None:
        """End a client connection without a request, after its stage `idle` with this scope.

        Closing over a request that is just arriving would reset the connection, and its client could not know
        whether it ran. It reads `BUSY` first: nothing was forwarded.
        """
        is_reclaimed = scope.cancelled_caught and trio.current_time() < self._shutdown_started_at_s
        if is_reclaimed:
            await self._close_reclaimed(client)
        elif not client.ended:
            await self.send_answer(client, Reject(request_id=None))

    async def _close_reclaimed(self, client: LineStream) -> None:
        """Answer without waiting for the client to end its side: the descriptor is needed at once."""
        with self.cancelled_at_shutdown(math.inf, ANSWER_TIMEOUT_S), suppress(trio.BrokenResourceError):
            # Unread input would turn the close into a reset, which can overtake the answer.
            await client.discard_received()
            await client.send(BUSY_WITH_RETRY_AFTER % NO_DESCRIPTOR_RETRY_AFTER_MS)
            await client.send_eof()

    async def close_relayed(self, client: LineStream, owes_move: bool) -> None:
        """End a client connection after its relay, with a `MOVE` where it is owed.

        What the relay left of a half-sent line goes out first.
        """
        await self._send_last_line(client, MOVE if owes_move else b"")

    async def _send_last_line(self, client: LineStream, line: bytes) -> None:
        with (
            self.cancelled_at_shutdown(math.inf, ANSWER_TIMEOUT_S) as scope,
            self._descriptor_limit.reclaimable(scope),
        ):
            # Also without a line: sending flushes what a cancelled task has left.
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await client.send(line)
            await client.close_gracefully()

    async def shut_down(self, exit_at_s: float) -> None:
        """End all client connections, and return once they have their answers, or at `exit_at_s`.

        Connections in the listener's queue are accepted, and what they have sent is read. Stages that wait
        are cancelled; the task of each connection then answers its client.
        """
        # Both before the first cancellation: stages that start from now on take their deadline from them.
        self._shutdown_started_at_s = trio.current_time()
        self._exit_at_s = exit_at_s
        self.accepting.cancel()
        for scope in self._grace_s_by_scope:
            self._limit_to_shutdown(scope)
        with trio.move_on_at(exit_at_s):
            # Before the open stages are counted: a connection from the queue may not have begun its first.
            await self.accepted.wait()
            while self._grace_s_by_scope:
                self._all_closed = trio.Event()
                await self._all_closed.wait()


def _encode_answer(answer: Reject | Fail) -> bytes:
    if isinstance(answer, Fail):
        return ERR
    if answer.retry_after_ms >= 1:
        return BUSY_WITH_RETRY_AFTER % answer.retry_after_ms
    return BUSY
