"""Watches discovery with one call at a time and passes each endpoint list to the engine.

This module owns the generation of the list, the addresses of the endpoints and the address of discovery. The
codec decodes bodies; the connection makes the HTTP exchange.
"""

from __future__ import annotations

import logging
import math

import h11
import trio

from walkloom.config import SettingNames
from walkloom.discovery.address_book import AddressBook
from walkloom.discovery.call import MAX_REFUSAL_DELAY_S, MAX_WATCH_GAP_S, Call, FailedCall
from walkloom.discovery.call_log import CallLog
from walkloom.discovery.call_timeout import CallTimeout
from walkloom.discovery.codec import EndpointListResponse, decode
from walkloom.discovery.errors import CallStalledError, ConnectRefusedError, DiscoveryError
from walkloom.discovery.http_connection import DiscoveryConnection, ReceivedList
from walkloom.engine.engine import Engine
from walkloom.messages import EndpointId, EndpointListUpdate, UpdateKind
from walkloom.transport.address import SocketAddress

__all__ = ["DiscoveryError", "EndpointWatcher", "decode"]

log = logging.getLogger("walkloom")

# Errors of a call that returned no list.
CALL_ERRORS = (DiscoveryError, OSError, trio.BrokenResourceError, h11.ProtocolError)

# Minimum time from one call to the next while discovery answers at once and without changes. The watch
# continues without a gap if the next call begins within 0.2 s.
MIN_EMPTY_CALL_INTERVAL_S = 0.1


class EndpointWatcher:
    """Keeps the endpoint list up to date and stores the addresses of its endpoints."""

    def __init__(self, engine: Engine, discovery: SocketAddress, names: SettingNames) -> None:
        self._engine = engine
        self._discovery = discovery
        self._names = names
        self._address_book = AddressBook()
        self._call_log = CallLog(trio.current_time())

        # The latest call, and when the latest response arrived (seconds of trio's clock).
        self._call = Call(-math.inf, 0.0, continues_watch=False)
        self._answered_at = -math.inf

        # Whether the latest response came at once and had no entries.
        self._was_premature = False

        # Version of the list that this balancer has; None: the next call requests the complete list.
        self._generation: int | None = 0

        # Cancels the calls to the current discovery.
        self._call_scope = trio.CancelScope()

        # Set by the first list that discovery itself sent.
        self._first_list_received = trio.Event()

        self._list_is_pushed = not engine.settings.polls_endpoint_list
        self._timeout = CallTimeout(engine.settings.drain_grace_ms, is_agent=self._list_is_pushed)

    def address(self, endpoint_id: EndpointId) -> SocketAddress | None:
        """Return an endpoint's address; None if the endpoint is not on the list."""
        return self._address_book.lookup(endpoint_id)

    def load_cached(self, body: bytes, age_s: float = 0.0) -> None:
        """Apply the last list that this balancer had, before any call.

        age_s: time since the list counts as confirmed, s. A list that cannot be decoded is logged as
        `cached_endpoint_list_invalid`; the balancer then starts without a list.
        """
        try:
            response = decode(body, self._names)
        except DiscoveryError as error:
            log.warning("cached_endpoint_list_invalid error=%r", str(error))
            self._engine.endpoint_list_received(UpdateKind.CACHED)
        else:
            confirmed_at = self._engine.now() - age_s * 1000.0
            cached = response.update._replace(kind=UpdateKind.CACHED, confirmed_at=confirmed_at)
            self._apply(response, cached)
        if self._list_is_pushed:
            self._generation = None

    async def wait_until_ready(self) -> None:
        """Wait until the balancer may accept clients.

        If the list is pushed, the balancer counts as notified of everything that the agent has, from the
        start of the process (rule 3). The cached list may be older, so the balancer waits for the agent's
        list, but no longer than a call to the agent may take.
        """
        if self._list_is_pushed:
            with trio.move_on_after(self._timeout.agent_timeout_s):
                await self._first_list_received.wait()

    async def run(self) -> None:
        """Watch discovery whenever the policy requests it.

        A failed watch is reported as an update of kind FAILED; the policy decides when to resume.
        """
        while True:
            await self._engine.wait_for_watch_request()
            self._call_log.record_retry(trio.current_time())
            with trio.CancelScope() as self._call_scope:
                try:
                    await self._watch()
                except CALL_ERRORS as error:
                    # A failure of a discovery that was just replaced says nothing about the current one.
                    if not self._call_scope.cancel_called:
                        self._report_failure(error)

    def change_discovery(self, discovery: SocketAddress) -> None:
        """Call discovery at another address from now on, and cancel the call in progress.

        Address and generation change before the cancellation, and the engine requests a new watch after it:
        the next iteration of `run` must find all three in place.
        """
        self._discovery = discovery
        self._generation = None  # another discovery does not know the versions of this one
        self._answered_at = -math.inf  # and no call to it continues a watch of this one
        self._call_scope.cancel()
        self._engine.discovery_changed()

    def report_calls(self) -> None:
        """Log the counters of the calls since the start of the process."""
        self._call_log.report()

    async def _watch(self) -> None:
        """Make calls until one fails or discovery is changed; reconnect at once when a connection ends."""
        has_stalled = False
        while not self._call_scope.cancel_called:
            self._start_call()
            try:
                await self._call_over_new_connection()
            except CALL_ERRORS as error:
                if not self._may_reopen_at_once(error, has_stalled):
                    if self._failed_call(error).ended_watch and not self._list_is_pushed:
                        await self._check_reachable()
                    raise
                is_stalled = isinstance(error, CallStalledError)
                if is_stalled:
                    has_stalled = True
                    self._timeout.record_stall(self._call)
                self._record_failure(str(error) or repr(error), stalled=is_stalled)

    async def _call_over_new_connection(self) -> None:
        connection = await DiscoveryConnection.open(self._discovery)
        try:
            await self._poll(connection)
        finally:
            await connection.close()

    def _may_reopen_at_once(self, error: Exception, has_stalled: bool) -> bool:
        """Whether a failed call is repeated without the pause that the policy chooses.

        A silent watch is reopened at once, because the changes that it misses soon count as received
        (rule 3). What the agent of a pushed list has counts at once, so that its watch is reopened whatever
        ended it. has_stalled: an earlier call since the last pause stalled.
        """
        if self._call_scope.cancel_called:
            return False
        if self._list_is_pushed:
            return self._call.continues_watch
        is_stalled = isinstance(error, CallStalledError)
        return is_stalled and (self._call.continues_watch or not has_stalled)

    async def _check_reachable(self) -> None:
        """Connect without a call after discovery ended a watch; raises ConnectRefusedError if it is down.

        The next call waits for its turn among the calls of all balancers. Without this check, an outage that
        began with the end of the watch would be observed too late for the list lease.
        """
        with trio.move_on_after(MAX_REFUSAL_DELAY_S):
            try:
                connection = await DiscoveryConnection.open(self._discovery)
            except ConnectRefusedError:
                raise
            except (DiscoveryError, OSError) as error:
                log.info("discovery_check_failed error=%r", str(error) or repr(error))
            else:
                await connection.close()

    async def _poll(self, connection: DiscoveryConnection) -> None:
        """Make calls over one connection until it closes, or discovery is changed.

        Raises CallStalledError.
        """
        while connection.is_reusable:
            self._start_call()
            received = await self._fetch(connection)
            if received is None:
                return
            response = decode(received.body, self._names)
            self._answered_at = trio.current_time()
            self._timeout.record_answer(self._call, self._answered_at)
            self._call_log.record_answer(
                self._call.started_at, self._answered_at, response.generation, len(response.update.endpoints)
            )
            # The list is valid even if unexpected bytes follow it, so it is applied before they raise.
            self._apply(response, self._confirmed_update(response, received))
            connection.finish_call()
            await self._delay_next_call(response)

    def _start_call(self) -> None:
        """Record the start of a call, which continues a watch or requests an immediate confirmation."""
        now = trio.current_time()
        continues_watch = now - self._answered_at <= MAX_WATCH_GAP_S
        hold_ms = self._engine.watch_hold_ms() if continues_watch and self._generation is not None else 0.0
        self._call = Call(now, hold_ms, continues_watch)

    async def _delay_next_call(self, response: EndpointListResponse) -> None:
        """Delay the next call if discovery answers without holding calls, which would cause a busy loop.

        Only the second consecutive response of this kind causes a delay, also across connections. A call that
        was to be held for a shorter time was answered in order.
        """
        min_interval_s = MIN_EMPTY_CALL_INTERVAL_S
        if self._call.hold_ms:
            min_interval_s = min(min_interval_s, self._call.hold_ms / 1000.0)
        elapsed_s = trio.current_time() - self._call.started_at
        is_premature = elapsed_s < min_interval_s and not response.update.endpoints
        if is_premature and self._was_premature:
            await trio.sleep(min_interval_s)
        self._was_premature = is_premature

    async def _fetch(self, connection: DiscoveryConnection) -> ReceivedList | None:
        """Make one call; return None if discovery was changed meanwhile. Raises CallStalledError."""
        with trio.move_on_after(self._call_timeout_s()) as timeout:
            received = await connection.fetch(self._generation, self._call.hold_ms)
        if timeout.cancelled_caught:
            raise CallStalledError
        if self._call_scope.cancel_called:
            # The response came in the tick in which discovery was changed: it must overwrite neither the
            # generation nor the list of the new discovery.
            return None
        return received

    def _call_timeout_s(self) -> float:
        """Return how long the latest call may take."""
        return self._timeout.limit_s(self._call)

    def _confirmed_update(self, response: EndpointListResponse, received: ReceivedList) -> EndpointListUpdate:
        """Return the response's update with the time of its confirmation and the queue time of the call.

        An agent may have had a change of a pushed list at any time after it was called, so its answer
        confirms the list for the start of the call only.
        """
        confirmed_at = self._call.started_at if self._list_is_pushed else received.first_byte_at
        return response.update._replace(
            confirmed_at=self._to_engine_time(confirmed_at),
            call_ms=self._call.queue_ms(received.first_byte_at),
        )

    def _to_engine_time(self, time: float) -> float:
        """Convert a time of trio's clock, s, to a time of the engine's clock, ms."""
        return self._engine.now() - (trio.current_time() - time) * 1000.0

    def _apply(self, response: EndpointListResponse, update: EndpointListUpdate) -> None:
        """Make an endpoint list the current one."""
        self._generation = response.generation
        # Before the engine: attempts that the policy starts at once on the new list look up addresses here.
        self._address_book.apply(update, response.addresses)
        _log_update(update)
        self._engine.endpoint_list_updated(update)
        # After the engine: tasks that wait for the first list may place requests with it.
        if update.kind is not UpdateKind.CACHED:
            self._first_list_received.set()

    def _report_failure(self, error: Exception) -> None:
        """Log a failed call and report the failure to the policy."""
        failed_call = self._failed_call(error)
        self._record_failure(str(error) or repr(error), stalled=isinstance(error, CallStalledError))
        self._engine.endpoint_list_updated(
            EndpointListUpdate(
                UpdateKind.FAILED,
                failure=failed_call.failure,
                call_ms=failed_call.duration_s * 1000.0,
                ended_watch=failed_call.ended_watch,
            )
        )

    def _failed_call(self, error: Exception) -> FailedCall:
        """Return the latest call as a failed one."""
        return self._call.to_failed_call(error, trio.current_time())

    def _record_failure(self, error: str, *, stalled: bool = False) -> None:
        """Log a failed or stalled call; the last list stays the current one."""
        self._call_log.record_failure(
            self._call.started_at, trio.current_time(), error, self._engine.list_lease_ms(), stalled=stalled
        )
        if self._list_is_pushed:
            # Without a generation, an agent that answers again sends the complete list at once; with one it
            # might hold the call until a change. The next call continues no watch.
            self._generation = None
            self._answered_at = -math.inf


def _log_update(update: EndpointListUpdate) -> None:
    for endpoint in update.endpoints:
        log.info(
            "discovery_endpoint kind=%s endpoint=%s zone=%d lifecycle=%s",
            update.kind.name,
            endpoint.id,
            endpoint.zone,
            endpoint.lifecycle.name,
        )
