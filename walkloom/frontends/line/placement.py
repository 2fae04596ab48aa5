"""Stage 4: place a request by carrying out the engine's commands, one attempt at a time."""

from __future__ import annotations

import logging
import math

import trio

from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.request_line import RequestLine
from walkloom.frontends.line.upstream import EstablishedUpstream, start_attempt
from walkloom.messages import AnswerReason, AttemptStatus, Fail, Reject, StartAttempt

log = logging.getLogger("walkloom")

# An adopted connection that is not established within 40 s is lost (page "Protocol", "Clients to balancers").
# Three attempts of 10 s, each followed by a delay of 1 s, end after 33 s.
MAX_ADOPTION_ATTEMPTS = 3
ADOPTION_ATTEMPT_TIMEOUT_MS = 10_000.0
ADOPTION_RETRY_DELAY_S = 1.0


async def place(
    engine: Engine,
    watcher: EndpointWatcher,
    handle: RequestHandle,
    request_line: RequestLine,
    connect_timeout_ms: float,
) -> EstablishedUpstream | Reject | Fail:
    """Return the upstream connection established for a new request, or the policy's final answer."""
    while True:
        command = await handle.next_command()
        if isinstance(command, Reject | Fail):
            return command
        if isinstance(command, StartAttempt):
            attempt_timeout_ms = command.timeout_ms or math.inf
            give_up_at_ms = min(handle.attempt_started_at + attempt_timeout_ms, handle.deadline)
            address = watcher.address(command.endpoint_id)
            outcome = await start_attempt(
                engine, handle, request_line, address, give_up_at_ms, connect_timeout_ms
            )
            if isinstance(outcome, EstablishedUpstream):
                handle.report_established()
                return outcome
            log.info(
                "attempt_ended id=%s request=%d attempt=%d endpoint=%s status=%s elapsed_ms=%.0f",
                request_line.id,
                handle.id,
                handle.attempt + 1,
                handle.endpoint_id,
                outcome.name,
                engine.now() - handle.attempt_started_at,
            )
            handle.report_ended(outcome)


async def reconnect_adopted(
    engine: Engine,
    watcher: EndpointWatcher,
    handle: RequestHandle,
    request_line: RequestLine,
    connect_timeout_ms: float,
) -> EstablishedUpstream | Fail:
    """Return the upstream connection for an adopted connection, to the server that had it before.

    The policy treats an adopted connection as established from the start. Only a failure is reported to it,
    as the end of the connection.
    """
    for _ in range(MAX_ADOPTION_ATTEMPTS):
        give_up_at_ms = engine.now() + ADOPTION_ATTEMPT_TIMEOUT_MS
        address = watcher.address(handle.endpoint_id)
        outcome = await start_attempt(
            engine, handle, request_line, address, give_up_at_ms, connect_timeout_ms
        )
        if isinstance(outcome, EstablishedUpstream):
            return outcome
        await trio.sleep(ADOPTION_RETRY_DELAY_S)
    handle.report_ended(AttemptStatus.CONNECTION_RESET, ends_request=True)
    return Fail(handle.id, AnswerReason.ATTEMPTS_USED)
