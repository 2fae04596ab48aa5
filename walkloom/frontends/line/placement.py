"""Stage 2: places an RPC: commands come from the engine, attempts go out one after another."""

from __future__ import annotations

import math

import trio

from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.request_line import RequestLine
from walkloom.frontends.line.upstream import EstablishedUpstream, start_attempt
from walkloom.messages import AttemptStatus, Fail, Reject, StartAttempt

STOOD_TRIES, STOOD_PAUSE_S, STOOD_WAIT_MS = 3, 1.0, 10_000.0


async def place(
    engine: Engine, watcher: EndpointWatcher, handle: RequestHandle, request_line: RequestLine, setup: float
) -> EstablishedUpstream | Reject | Fail:
    """The upstream connection that took the RPC, or the module's final answer."""
    while True:
        command = await handle.next_command()
        if isinstance(command, Reject | Fail):
            return command
        if isinstance(command, StartAttempt):
            until = min(handle.attempt_started_at + (command.timeout_ms or math.inf), handle.deadline)
            address = watcher.address(command.endpoint_id)
            result = await start_attempt(engine, handle, request_line, address, until, setup)
            if isinstance(result, EstablishedUpstream):
                handle.report_established()
                return result
            handle.report_ended(result)


async def rejoin(
    engine: Engine, watcher: EndpointWatcher, handle: RequestHandle, request_line: RequestLine, setup: float
) -> EstablishedUpstream | Fail:
    """A connection that stood before this balancer started goes back to its own upstream connection."""
    for _ in range(STOOD_TRIES):
        until = engine.now() + STOOD_WAIT_MS
        address = watcher.address(handle.endpoint_id)
        result = await start_attempt(engine, handle, request_line, address, until, setup)
        if isinstance(result, EstablishedUpstream):
            return result
        await trio.sleep(STOOD_PAUSE_S)
    handle.report_ended(AttemptStatus.CONNECTION_RESET, closed=True)
    return Fail(handle.id)
