"""The watch on discovery: one call at a time, each list handed to the engine.

It owns the generation of the list, the addresses, and the choice of the discovery that is called. Reading a
body is the codec's work, the HTTP exchange the connection's.
"""

from __future__ import annotations

import logging
import math

import h11
import trio

from walkloom.config import SettingNames
from walkloom.discovery.address_book import AddressBook
from walkloom.discovery.call import MAX_WATCH_GAP_S, Call
from walkloom.discovery.call_log import CallLog
from walkloom.discovery.codec import EndpointListResponse, decode
from walkloom.discovery.errors import CallStalledError, DiscoveryError
from walkloom.discovery.http_connection import DiscoveryConnection, ReceivedList
from walkloom.engine.engine import Engine
from walkloom.messages import EndpointId, EndpointListUpdate, UpdateKind
from walkloom.transport.address import SocketAddress

__all__ = ["DiscoveryError", "EndpointWatcher", "decode"]

log = logging.getLogger("walkloom")

# How long a call may take, of which discovery may hold it for 2 s. What a silent watch misses counts as
# received 6 s after it fell silent: what is left is for the queue of all balancers that call again.
CALL_TIMEOUT_S = 3.8

# The most that a pushed list's agent may take for an answer at once.
MAX_AGENT_TIMEOUT_S = 1.8

# Least time from one call to the next while discovery answers at once and with no change. The watch goes on
# without a gap if the next call comes within 0.2 s.
MIN_EMPTY_CALL_INTERVAL_S = 0.1


class EndpointWatcher:
    """Keeps the endpoint list up to date, and knows the addresses of its endpoints."""

    def __init__(self, engine: Engine, discovery: SocketAddress, names: SettingNames) -> None:
        self._engine = engine
        self._discovery = discovery
        self._names = names
        self._address_book = AddressBook()
        self._call_log = CallLog(trio.current_time())

        # The newest call, and when the newest answer came (trio's clock).
        self._call = Call(-math.inf, 0.0, continues_watch=False)
        self._answered_at = -math.inf

        # The newest answer came at once and brought nothing.
        self._was_premature = False

        # Version of the list that is held; None: the whole list is wanted, whatever its version.
        self._generation: int | None = 0

        # Ends the calls to the present discovery.
        self._calls = trio.CancelScope()

        # Set by the first list that discovery itself sent.
        self._first_list_received = trio.Event()

        # A pushed list lies with an agent on this machine, which answers at once unless it is silent. All
        # that the agent has counts as received, so that its answer must come well within the grace after
        # which a drain binds: within half of it.
        self._list_is_pushed = not engine.settings.polls_endpoint_list
        self._agent_timeout_s = min(engine.settings.drain_grace_ms / 2.0 / 1000.0, MAX_AGENT_TIMEOUT_S)

    def address(self, endpoint_id: EndpointId) -> SocketAddress | None:
        """Return an endpoint's address; None if the list does not name the endpoint."""
        return self._address_book.lookup(endpoint_id)

    def load_cached(self, body: bytes, age_s: float = 0.0) -> None:
        """Take over the list as this balancer had it last, before any call.

        age_s: how long ago it counts as confirmed, s. A list that cannot be read is logged as
        `cached_endpoint_list_invalid`; the balancer then starts with none.
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
        """Wait until clients may come.

        Where the list is pushed, what the agent has counts as received from the start of the process (rule
        3), and the cached list may be older. A silent agent is waited for no longer than a call may take.
        """
        if self._list_is_pushed:
            with trio.move_on_after(self._agent_timeout_s):
                await self._first_list_received.wait()

    async def run(self) -> None:
        """Watch whenever the policy asks for it.

        A failed watch is reported as an update of kind FAILED; the policy says when to go on.
        """
        while True:
            await self._engine.wait_for_watch_request()
            self._call_log.record_retry(trio.current_time())
            with trio.CancelScope() as self._calls:
                try:
                    await self._watch()
                except (DiscoveryError, OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
                    # A failure of the discovery that was just replaced says nothing of the present one.
                    if not self._calls.cancel_called:
                        self._report_failure(error)

    def change_discovery(self, discovery: SocketAddress) -> None:
        """Call discovery at another address from now on; the call in flight ends.

        Address and generation change before the cancellation, and the engine asks for a new watch after it:
        the run that follows must find all three in place.
        """
        self._discovery = discovery
        self._generation = None  # versions of one discovery say nothing to another
        self._calls.cancel()
        self._engine.discovery_changed()

    def report_calls(self) -> None:
        """Log the counters of calls since the start."""
        self._call_log.report()

    async def _watch(self) -> None:
        """Make calls until one fails or discovery is changed; reconnect at once when a connection ends."""
        has_stalled = False
        while not self._calls.cancel_called:
            self._begin_call()
            connection = await DiscoveryConnection.open(self._discovery)
            try:
                await self._poll(connection)
            except CallStalledError:
                # A watch that fell silent is opened anew without the pause after a failure: what it misses
                # counts as received soon (rule 3). A new call that stalls, too, is a failed one, and so is
                # one that an agent on this machine does not answer.
                if not self._call.continues_watch and (has_stalled or self._list_is_pushed):
                    raise
                has_stalled = True
                self._record_failure("stalled", stalled=True)
            finally:
                await connection.close()

    async def _poll(self, connection: DiscoveryConnection) -> None:
        """Make calls over one connection until it closes, or discovery is changed.

        Raises CallStalledError.
        """
        while connection.is_reusable:
            self._begin_call()
            received = await self._fetch(connection)
            if received is None:
                return
            response = decode(received.body, self._names)
            self._answered_at = trio.current_time()
            self._call_log.record_answer(
                self._call.started_at, self._answered_at, response.generation, len(response.update.endpoints)
            )
            # The list is sound even if bytes follow that are not, so that it comes into force first.
            self._apply(response, self._confirmed_update(response, received))
            connection.finish_call()
            await self._pace_after(response)

    def _begin_call(self) -> None:
        """Note that a call begins: it goes on with a watch, or wants an answer at once as confirmation."""
        now = trio.current_time()
        continues_watch = now - self._answered_at <= MAX_WATCH_GAP_S
        hold_ms = self._engine.watch_hold_ms() if continues_watch and self._generation is not None else 0.0
        self._call = Call(now, hold_ms, continues_watch)

    async def _pace_after(self, response: EndpointListResponse) -> None:
        """Wait where discovery holds no call: it would be called in a busy loop.

        Only the second such response in a row delays the next call, also one over another connection.
        """
        elapsed_s = trio.current_time() - self._call.started_at
        is_premature = elapsed_s < MIN_EMPTY_CALL_INTERVAL_S and not response.update.endpoints
        if is_premature and self._was_premature:
            await trio.sleep(MIN_EMPTY_CALL_INTERVAL_S)
        self._was_premature = is_premature

    async def _fetch(self, connection: DiscoveryConnection) -> ReceivedList | None:
        """Make one call; None if discovery was changed meanwhile. Raises CallStalledError."""
        with trio.move_on_after(self._call_timeout_s()) as timeout:
            received = await connection.fetch(self._generation, self._call.hold_ms)
        if timeout.cancelled_caught:
            raise CallStalledError
        if self._calls.cancel_called:
            # The response came in the tick in which discovery was changed: it must not overwrite the
            # generation, nor the list of the discovery that follows.
            return None
        return received

    def _call_timeout_s(self) -> float:
        """Return how long the next call may take."""
        agent_answers_at_once = self._list_is_pushed and self._generation is None
        return self._agent_timeout_s if agent_answers_at_once else CALL_TIMEOUT_S

    def _confirmed_update(self, response: EndpointListResponse, received: ReceivedList) -> EndpointListUpdate:
        """Return the response's update with what the call tells of the list's age and of discovery."""
        return response.update._replace(
            confirmed_at=self._engine_time(received.first_byte_at),
            call_ms=self._call.queue_ms(received.first_byte_at),
        )

    def _engine_time(self, at: float) -> float:
        """Return a time of trio's clock as one of the engine's, ms."""
        return self._engine.now() - (trio.current_time() - at) * 1000.0

    def _apply(self, response: EndpointListResponse, update: EndpointListUpdate) -> None:
        """Bring a list into force."""
        self._generation = response.generation
        # Before the engine: what the policy starts at once on the new list looks up its address here.
        self._address_book.apply(update, response.addresses)
        _log_update(update)
        self._engine.endpoint_list_updated(update)
        # After the engine: whoever waits for the first list may place requests by it.
        if update.kind is not UpdateKind.CACHED:
            self._first_list_received.set()

    def _report_failure(self, error: Exception) -> None:
        """Log a failed call and hand the failure to the policy."""
        ended = self._call.ended(error, trio.current_time(), calls_agent=self._list_is_pushed)
        self._record_failure(str(error) or repr(error), stalled=isinstance(error, CallStalledError))
        self._engine.endpoint_list_updated(
            EndpointListUpdate(
                UpdateKind.FAILED,
                failure=ended.failure,
                call_ms=ended.duration_s * 1000.0,
                watched_until=self._engine.now() if ended.ended_watch else None,
            )
        )

    def _record_failure(self, error: str, *, stalled: bool = False) -> None:
        """Log a failed or stalled call; the last list stays in force."""
        self._call_log.record_failure(
            self._call.started_at, trio.current_time(), error, self._engine.list_lease_ms(), stalled=stalled
        )
        if self._list_is_pushed:
            # An agent that speaks again sends the whole list at once, where it might hold a call for changes.
            self._generation = None


def _log_update(update: EndpointListUpdate) -> None:
    for endpoint in update.endpoints:
        log.info(
            "discovery_endpoint kind=%s endpoint=%s zone=%d lifecycle=%s",
            update.kind.name,
            endpoint.id,
            endpoint.zone,
            endpoint.lifecycle.name,
        )
