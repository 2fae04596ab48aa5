"""The life of one RPC, from its first line to its end, in one task."""

from __future__ import annotations

import logging

import trio

from walkloom.config import SettingNames
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.connection_shutdown import FULL_MS, ConnectionShutdown
from walkloom.frontends.line.placement import place, rejoin
from walkloom.frontends.line.relay import Relay
from walkloom.frontends.line.request_line import RequestLine, RequestLineError, read_request_line
from walkloom.frontends.line.upstream import EstablishedUpstream
from walkloom.messages import AttemptStatus, Fail, Reject
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineError, LineStream
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")
STANDS_MS = 60_000.0  # how long after the start connections that stood before come back
MARGIN_MS = 20.0  # of a client's patience: the way of its line to us and of our answer back


class LineFrontend:
    """What every RPC of this frontend shares."""

    def __init__(
        self,
        engine: Engine,
        watcher: EndpointWatcher,
        names: SettingNames,
        connect_timeout: float,
        longest: float,
        descriptor_limit: DescriptorLimit,
    ) -> None:
        self.engine, self.watcher, self.names, self.descriptor_limit = (
            engine,
            watcher,
            names,
            descriptor_limit,
        )
        self.connect_timeout, self.longest = connect_timeout, longest
        self.connection_shutdown = ConnectionShutdown(descriptor_limit)
        self.ids = set[str]()  # of the RPCs that are open
        self.stands_till = engine.now() + STANDS_MS
        self.malformed = RateLimitedLog("rpc-malformed")

    def check(self, request_line: RequestLine) -> None:
        """Guards open RPCs and the module against request lines that are in form and yet no client's."""
        if request_line.id in self.ids:
            raise RequestLineError(f"id {request_line.id} is open")
        if request_line.stands_at is None:
            self.stands_till = 0.0  # all that stood before have come back by now
        elif self.engine.now() >= self.stands_till or not self.watcher.address(request_line.stands_at):
            raise RequestLineError(f"nothing stands at {request_line.stands_at[:40]}")


async def serve_connection(frontend: LineFrontend, client: LineStream) -> None:
    """Read, place, relay or answer. Exactly one final answer goes out for each request line."""
    with frontend.descriptor_limit.acquire() as room:
        if not room:
            return await frontend.connection_shutdown.send_answer(client, Reject(None, FULL_MS))
        try:
            request_line = None
            with frontend.connection_shutdown.idle() as scope:
                request_line = await read_request_line(client, frontend.names, frontend.longest)
            if request_line is None:
                return await frontend.connection_shutdown.close_idle(client, scope)
            if client.has_buffered_input:  # a client waits for its answer
                raise RequestLineError("more than one command")
            frontend.check(request_line)
        except (LineError, RequestLineError) as error:
            frontend.malformed.count(str(error))
            return await frontend.connection_shutdown.send_answer(client, Fail(None))
        except trio.BrokenResourceError:
            return
        with frontend.descriptor_limit.acquire() as room:  # the upstream connection's
            if not room:
                return await frontend.connection_shutdown.send_answer(client, Reject(None, FULL_MS))
            await _serve_request(frontend, client, request_line)


async def _serve_request(frontend: LineFrontend, client: LineStream, request_line: RequestLine) -> None:
    handle = _request_handle(frontend.engine, request_line)
    frontend.ids.add(request_line.id)
    try:
        result = await _placed(frontend, client, handle, request_line)
        if isinstance(result, EstablishedUpstream):
            log.info(
                "rpc-up id=%s request=%d group=%x server=%s attempts=%d stood=%s",
                request_line.id,
                handle.id,
                request_line.affinity_group or 0,
                handle.endpoint_id,
                handle.attempt + 1,
                request_line.stands_at is not None,
            )
            relay = Relay(handle, client, result.stream)
            with frontend.connection_shutdown.cancelled_at_shutdown() as scope:
                await relay.run(result.receipt)
            await frontend.connection_shutdown.close_relayed(
                client, move=relay.owes_move(scope.cancelled_caught)
            )
        elif result is not None:
            answer = "Refuse" if isinstance(result, Reject) else "Fail"  # the log's words
            log.info(
                "rpc-unavailable id=%s class=%s answer=%s",
                request_line.id,
                request_line.request_class,
                answer,
            )
            await frontend.connection_shutdown.send_answer(client, result)
    finally:
        frontend.ids.discard(request_line.id)
        handle.close()


def _request_handle(engine: Engine, request_line: RequestLine) -> RequestHandle:
    about = {
        "tenant": request_line.tenant,
        "client_key": request_line.client_key,
        "affinity_group": request_line.affinity_group,
    }
    if request_line.stands_at is not None:
        return engine.adopt(request_line.stands_at, request_line.request_class, **about)  # type: ignore[arg-type]
    return engine.submit(
        request_line.request_class,
        engine.now() + request_line.patience_ms - MARGIN_MS,
        load=request_line.load,
        is_retry=request_line.is_retry,
        is_reconnect=request_line.is_reconnect,
        **about,  # type: ignore[arg-type]
    )


async def _placed(
    frontend: LineFrontend, client: LineStream, handle: RequestHandle, request_line: RequestLine
) -> EstablishedUpstream | Reject | Fail | None:
    """Places the RPC while its client stays and waits; None if it left. At the balancer's end an attempt that
    is out ends, and the module says what its client is told."""
    result: EstablishedUpstream | Reject | Fail | None = None
    early = False
    stage = place if request_line.stands_at is None else rejoin
    try:
        with frontend.connection_shutdown.cancelled_at_shutdown() as scope:
            async with trio.open_nursery() as nursery:

                async def until_input() -> None:
                    nonlocal early
                    early = await client.wait_for_input()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(until_input)
                result = await stage(
                    frontend.engine, frontend.watcher, handle, request_line, frontend.connect_timeout
                )
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught and result is None:
            return handle.withdraw()
    except Exception:  # guards the final answer: whatever broke, the client is told
        log.exception("rpc-error id=%s", request_line.id)
        result = Fail(handle.id)
        handle.report_ended(AttemptStatus.ERROR, closed=True)
    if result is None:
        if early:  # guards the server against commands that are no lines of a connection that stands
            frontend.malformed.count("a command before the answer to the first")
            result = Fail(handle.id)
        log.info("rpc-left id=%s request=%d attempts=%d", request_line.id, handle.id, handle.attempt + 1)
        handle.report_client_disconnected()
        handle.report_ended(AttemptStatus.CANCELLED, closed=True)
    return result
