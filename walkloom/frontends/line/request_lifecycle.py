"""Stage 3: serve one request in one task, from the first line of its connection to its end.

Read `serve_connection` first. Every path sends exactly one final answer, or none if the client has left.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from walkloom.config import SettingNames
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.connection_shutdown import NO_DESCRIPTOR_RETRY_AFTER_MS, ConnectionShutdown
from walkloom.frontends.line.errors import RequestLineError
from walkloom.frontends.line.placement import place, reconnect_adopted
from walkloom.frontends.line.relay import Relay
from walkloom.frontends.line.request_line import MAX_SHOWN_CHARACTERS, RequestLine, read_request_line
from walkloom.frontends.line.upstream import EstablishedUpstream
from walkloom.messages import AnswerReason, AttemptStatus, Fail, Reject
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineError, LineStream
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")

# Connections that were open before the balancer started are adopted for this time after its start. Those that
# are not established within 40 s are lost in any case (page "Protocol", "Clients to balancers").
ADOPTION_WINDOW_MS = 60_000.0

# Subtracted from the client's timeout: the network delays the request line and the answer.
ANSWER_MARGIN_MS = 20.0

# The answer to a client when no descriptor is left for its connection or its upstream connection.
REJECT_WITHOUT_DESCRIPTOR = Reject(None, NO_DESCRIPTOR_RETRY_AFTER_MS, AnswerReason.NO_DESCRIPTOR)


class LineFrontend:
    """State that all connections of this frontend share."""

    def __init__(
        self,
        engine: Engine,
        watcher: EndpointWatcher,
        names: SettingNames,
        connect_timeout: float,
        longest_deadline_ms: float,
        descriptor_limit: DescriptorLimit,
    ) -> None:
        """Create the state; durations are in ms.

        `connect_timeout` bounds connecting to a server, and `longest_deadline_ms` the timeout of a request.
        """
        self.engine = engine
        self.watcher = watcher
        self.names = names
        self.connect_timeout_ms = connect_timeout
        self.max_request_timeout_ms = longest_deadline_ms
        self.descriptor_limit = descriptor_limit
        self.connection_shutdown = ConnectionShutdown(descriptor_limit)
        # Wire ids of all requests and established connections.
        self.open_request_ids = set[str]()
        self.malformed_requests = RateLimitedLog("request_malformed")
        self.abandoned_requests = RateLimitedLog("request_abandoned")
        self._adoption_ends_at_ms = engine.now() + ADOPTION_WINDOW_MS

    def validate(self, request_line: RequestLine) -> None:
        """Raise RequestLineError for a well-formed line that is not valid in the current state."""
        if request_line.id in self.open_request_ids:
            raise RequestLineError(
                f"id {request_line.id} is already in use", field="id", value=request_line.id
            )
        endpoint_id = request_line.adopted_endpoint_id
        if endpoint_id is None:
            # The platform sends new requests only after all earlier connections have reconnected.
            self._adoption_ends_at_ms = 0.0
        elif self.engine.now() >= self._adoption_ends_at_ms or not self.watcher.address(endpoint_id):
            reason = f"cannot adopt a connection to {endpoint_id[:MAX_SHOWN_CHARACTERS]}"
            raise RequestLineError(reason, field="at", value=endpoint_id)


async def serve_connection(frontend: LineFrontend, client: LineStream) -> None:
    """Serve one client connection: read its request line, place the request, then relay or answer."""
    with frontend.descriptor_limit.acquire() as has_client_descriptor:
        if not has_client_descriptor:
            await frontend.connection_shutdown.send_answer(client, REJECT_WITHOUT_DESCRIPTOR)
            return
        request_line = await _receive_request_line(frontend, client)
        if request_line is None:
            return
        with frontend.descriptor_limit.acquire() as has_upstream_descriptor:
            if not has_upstream_descriptor:
                await frontend.connection_shutdown.send_answer(client, REJECT_WITHOUT_DESCRIPTOR)
                return
            await _serve_request(frontend, client, request_line)


async def _receive_request_line(frontend: LineFrontend, client: LineStream) -> RequestLine | None:
    """Return a valid request line, or None once a client without one has its answer or has left."""
    try:
        request_line = None
        with frontend.connection_shutdown.idle_stage() as idle_scope:
            request_line = await read_request_line(client, frontend.names, frontend.max_request_timeout_ms)
        if request_line is None:
            await frontend.connection_shutdown.close_idle(client, idle_scope)
            return None
        if await client.has_ended():
            # Nobody waits for an answer: the request must cost neither a server nor other clients anything.
            frontend.abandoned_requests.count(f"id={request_line.id}")
            return None
        if client.has_buffered_input:
            # Clients must wait for their answer. Checked before `validate`, which ends the adoption window.
            raise RequestLineError("more input after the request line")
        frontend.validate(request_line)
    except (LineError, RequestLineError) as error:
        frontend.malformed_requests.count(str(error))
        await frontend.connection_shutdown.send_answer(client, Fail(None, AnswerReason.MALFORMED))
        return None
    except trio.BrokenResourceError:
        return None
    return request_line


async def _serve_request(frontend: LineFrontend, client: LineStream, request_line: RequestLine) -> None:
    handle = _register_request(frontend.engine, request_line)
    frontend.open_request_ids.add(request_line.id)
    try:
        outcome = await _place_while_client_waits(frontend, client, handle, request_line)
        if isinstance(outcome, EstablishedUpstream):
            await _relay_connection(frontend, client, handle, request_line, outcome)
        elif outcome is not None:
            await _answer_unserved(frontend, client, handle, request_line, outcome)
    finally:
        frontend.open_request_ids.discard(request_line.id)
        handle.close()


def _register_request(engine: Engine, request_line: RequestLine) -> RequestHandle:
    if request_line.adopted_endpoint_id is not None:
        return engine.adopt(
            request_line.adopted_endpoint_id,
            request_line.request_class,
            tenant=request_line.tenant,
            client_key=request_line.client_key,
            affinity_group=request_line.affinity_group,
        )
    return engine.submit(
        request_line.request_class,
        engine.now() + request_line.request_timeout_ms - ANSWER_MARGIN_MS,
        tenant=request_line.tenant,
        client_key=request_line.client_key,
        affinity_group=request_line.affinity_group,
        load=request_line.load,
        is_retry=request_line.is_retry,
        is_reconnect=request_line.is_reconnect,
        idempotency_key=request_line.id,
    )


@dataclass(slots=True)
class _Placement:
    """Progress of placing a request.

    It outlives the nursery that sets it: a shutdown may cancel that nursery after a server has accepted the
    connection, and the outcome must not be lost.
    """

    # None: not decided yet.
    outcome: EstablishedUpstream | Reject | Fail | None = None

    # The client has sent more input before its answer.
    client_sent_input: bool = False


async def _place_while_client_waits(
    frontend: LineFrontend, client: LineStream, handle: RequestHandle, request_line: RequestLine
) -> EstablishedUpstream | Reject | Fail | None:
    """Place the request; None if the client left meanwhile. A shutdown cancels the attempt in flight."""
    placement = _Placement()
    try:
        with frontend.connection_shutdown.cancelled_at_shutdown() as shutdown_scope:
            await _race_placement_with_client(frontend, client, handle, request_line, placement)
        if shutdown_scope.cancelled_caught and placement.outcome is None:
            return handle.cancel_for_shutdown()
    except Exception:  # Whatever failed, the client must get its one final answer.
        log.exception("request_error id=%s", request_line.id)
        placement.outcome = Fail(handle.id, AnswerReason.INTERNAL_ERROR)
        handle.report_ended(AttemptStatus.ERROR, ends_request=True)
    if placement.outcome is None:
        return _abandon_placement(frontend, handle, request_line, placement.client_sent_input)
    return placement.outcome


async def _race_placement_with_client(
    frontend: LineFrontend,
    client: LineStream,
    handle: RequestHandle,
    request_line: RequestLine,
    placement: _Placement,
) -> None:
    """Place the request; cancel that if the client leaves or sends more input."""

    async def cancel_on_client_input() -> None:
        placement.client_sent_input = await client.wait_for_input()
        nursery.cancel_scope.cancel()

    place_request = place if request_line.adopted_endpoint_id is None else reconnect_adopted
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_on_client_input)
        placement.outcome = await place_request(
            frontend.engine, frontend.watcher, handle, request_line, frontend.connect_timeout_ms
        )
        nursery.cancel_scope.cancel()


def _abandon_placement(
    frontend: LineFrontend, handle: RequestHandle, request_line: RequestLine, client_sent_input: bool
) -> Fail | None:
    """End a request whose client did not wait; return the answer if the client is still connected."""
    answer = None
    if client_sent_input:
        # Input before the answer does not belong to an established connection: it must not reach a server.
        frontend.malformed_requests.count("input before the answer to the request")
        answer = Fail(handle.id, AnswerReason.MALFORMED)
    log.info(
        "client_disconnected id=%s request=%d attempts=%d", request_line.id, handle.id, handle.attempt + 1
    )
    # The first call drops a request that waits for an attempt; the second ends an attempt in flight.
    handle.report_client_disconnected()
    status = AttemptStatus.CANCELLED if handle.sending_started else AttemptStatus.NOT_SENT
    handle.report_ended(status, ends_request=True)
    return answer


async def _relay_connection(
    frontend: LineFrontend,
    client: LineStream,
    handle: RequestHandle,
    request_line: RequestLine,
    established: EstablishedUpstream,
) -> None:
    log.info(
        "connection_established id=%s request=%d group=%x endpoint=%s attempts=%d adopted=%s",
        request_line.id,
        handle.id,
        request_line.affinity_group or 0,
        handle.endpoint_id,
        handle.attempt + 1,
        request_line.adopted_endpoint_id is not None,
    )
    relay = Relay(handle, client, established.stream)
    with frontend.connection_shutdown.cancelled_at_shutdown() as shutdown_scope:
        await relay.run(established.receipt_line)
    must_send_move = relay.must_send_move(ended_by_shutdown=shutdown_scope.cancelled_caught)
    await frontend.connection_shutdown.close_relayed(client, must_send_move=must_send_move)


async def _answer_unserved(
    frontend: LineFrontend,
    client: LineStream,
    handle: RequestHandle,
    request_line: RequestLine,
    answer: Reject | Fail,
) -> None:
    log.info(
        "%s id=%s request=%d class=%s reason=%s attempts=%d waited_ms=%.0f",
        "request_rejected" if isinstance(answer, Reject) else "request_failed",
        request_line.id,
        handle.id,
        request_line.request_class,
        answer.reason.value,
        handle.attempt + 1,
        handle.age_ms(),
    )
    await frontend.connection_shutdown.send_answer(client, answer)
