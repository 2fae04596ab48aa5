"""Stage 7: end client connections.

This module alone answers requests that were not served, closes client connections that have no request or
were relayed, and ends all client connections when the balancer shuts down.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

from walkloom.messages import Fail, Reject
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineStream

# Retry-after of a rejection by a balancer that has no descriptor left.
NO_DESCRIPTOR_RETRY_AFTER_MS = 500.0

# For sending an answer, and for the client to end its side after it.
ANSWER_TIMEOUT_S = 1.0

# At a shutdown, input that has already arrived is still read and answered.
LAST_READ_GRACE_S = 0.05

ERR = b"ERR\r\n"
BUSY = b"BUSY\r\n"
BUSY_WITH_RETRY_AFTER = b"BUSY %d\r\n"
MOVE = b"MOVE\r\n"


class ConnectionShutdown:
    """Ends client connections, and tracks which of their stages are open.

    All points in time are on trio's clock, in seconds.
    """

    def __init__(self, descriptor_limit: DescriptorLimit) -> None:
        """Descriptors of connections that are idle or about to end are reclaimable in `descriptor_limit`."""
        self._descriptor_limit = descriptor_limit
        # The open stages of client connections, and how long each may run after a shutdown starts.
        self._grace_s_by_scope = dict[trio.CancelScope, float]()
        self._shutdown_started_at_s = math.inf
        self._exit_at_s = math.inf
        self._all_closed = trio.Event()
        # Cancel scope of the listener's accept loop.
        self.accept_scope = trio.CancelScope()
        # Set by the listener after that scope has ended: every queued client connection has its task.
        self.all_accepted = trio.Event()

    @contextmanager
    def cancelled_at_shutdown(
        self, grace_s: float = 0.0, timeout_s: float = math.inf
    ) -> Iterator[trio.CancelScope]:
        """Run a stage of a client connection that a shutdown cancels.

        The stage is cancelled `grace_s` after the shutdown starts, when the process must exit, or `timeout_s`
        after the stage itself started, whichever comes first. The caller still has to answer the client.
        """
        with trio.CancelScope(deadline=trio.current_time() + timeout_s) as scope:
            self._grace_s_by_scope[scope] = grace_s
            # The shutdown may already have started.
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
    def idle_stage(self) -> Iterator[trio.CancelScope]:
        """Run the stage before a request; it is also cancelled if its descriptor is needed elsewhere."""
        with (
            self.cancelled_at_shutdown(LAST_READ_GRACE_S) as scope,
            self._descriptor_limit.reclaimable(scope),
        ):
            yield scope

    async def send_answer(self, client: LineStream, answer: Reject | Fail) -> None:
        """Send the final answer to a request that was not served, also during a shutdown, and close."""
        await self._send_last_line(client, _encode_answer(answer))

    async def close_idle(self, client: LineStream, scope: trio.CancelScope) -> None:
        """End a client connection that has no request; `scope` is that of its `idle_stage`.

        Closing while a request is arriving would reset the connection, and the client could not tell whether
        the request ran. Therefore the client is first sent `BUSY`: nothing was forwarded.
        """
        is_reclaimed = scope.cancelled_caught and trio.current_time() < self._shutdown_started_at_s
        if is_reclaimed:
            await self._close_reclaimed(client)
        elif not client.ended:
            await self.send_answer(client, Reject(request_id=None))

    async def _close_reclaimed(self, client: LineStream) -> None:
        """Answer without waiting for the client to end its side: the descriptor is needed at once."""
        with self.cancelled_at_shutdown(math.inf, ANSWER_TIMEOUT_S), suppress(trio.BrokenResourceError):
            # Closing with unread input resets the connection, and the reset can overtake the answer.
            await client.discard_received()
            await client.send(BUSY_WITH_RETRY_AFTER % NO_DESCRIPTOR_RETRY_AFTER_MS)
            await client.send_eof()

    async def close_relayed(self, client: LineStream, must_send_move: bool) -> None:
        """End a client connection after its relay, with a `MOVE` if one must be sent.

        The rest of a line that the relay has sent in part goes out first.
        """
        await self._send_last_line(client, MOVE if must_send_move else b"")

    async def _send_last_line(self, client: LineStream, line: bytes) -> None:
        with (
            self.cancelled_at_shutdown(math.inf, ANSWER_TIMEOUT_S) as scope,
            self._descriptor_limit.reclaimable(scope),
        ):
            # Also for an empty line: sending flushes what a cancelled task has left unsent.
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await client.send(line)
            await client.close_gracefully()

    async def shut_down(self, exit_at_s: float) -> None:
        """End all client connections, and return once all are answered, or at `exit_at_s`.

        Connections in the listener's queue are accepted, and the input that they have sent is read. Waiting
        stages are cancelled; the task of each connection then answers its client.
        """
        # Set both before the first cancellation: stages that start from now on are limited by them.
        self._shutdown_started_at_s = trio.current_time()
        self._exit_at_s = exit_at_s
        self.accept_scope.cancel()
        for scope in self._grace_s_by_scope:
            self._limit_to_shutdown(scope)
        with trio.move_on_at(exit_at_s):
            # Wait before checking for open stages: a queued connection may not have one yet.
            await self.all_accepted.wait()
            while self._grace_s_by_scope:
                self._all_closed = trio.Event()
                await self._all_closed.wait()


def _encode_answer(answer: Reject | Fail) -> bytes:
    if isinstance(answer, Fail):
        return ERR
    if answer.retry_after_ms >= 1:
        return BUSY_WITH_RETRY_AFTER % answer.retry_after_ms
    return BUSY
