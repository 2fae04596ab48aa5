"""Stage 5: make one attempt on one server, and map the server's answer to the outcome."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.request_line import RequestLine
from walkloom.messages import AttemptStatus
from walkloom.transport.line_stream import LineError, LineStream, first_word, open_line_stream

log = logging.getLogger("walkloom")

# First word of the line by which a server accepts a connection.
UP = b"UP"

# Other first words of a server's answer (page "Protocol", "Balancers to tile servers").
STATUS_BY_WORD = {
    b"BYE": AttemptStatus.OK,
    b"MOVE": AttemptStatus.CANCELLED,
    b"ERR": AttemptStatus.ERROR,
    b"BUSY": AttemptStatus.AT_CAPACITY,
}

# Longest part of an unknown line that is logged.
MAX_LOGGED_BYTES = 80


@dataclass(frozen=True, slots=True)
class EstablishedUpstream:
    """A connection that a server has accepted."""

    # The connection to the server; the receipt line is already read from it.
    stream: LineStream

    # The server's whole `UP RECEIPT` line, which must be forwarded unchanged.
    receipt_line: bytes


async def start_attempt(
    engine: Engine,
    handle: RequestHandle,
    request_line: RequestLine,
    address: tuple[str, int] | None,
    give_up_at_ms: float,
    connect_timeout_ms: float,
) -> EstablishedUpstream | AttemptStatus:
    """Connect to a server, send it the request line, and wait for its answer.

    A connection that was not established is closed on return. `address` is None for a server that is no
    longer listed. `give_up_at_ms`, a time on the engine's clock, is the deadline of the whole attempt.
    """
    if address is None:
        return AttemptStatus.CONNECT_FAILED
    timeout_ms = min(connect_timeout_ms, max(give_up_at_ms - engine.now(), 0.0))
    try:
        upstream = await _connect(address, timeout_ms)
    except OSError as error:
        # This process has no free descriptor: CONNECT_FAILED would count against a healthy server.
        log.error("attempt_not_sent endpoint=%s error=%r", handle.endpoint_id, str(error))
        return AttemptStatus.NOT_SENT
    if upstream is None:
        return AttemptStatus.CONNECT_FAILED
    is_established = False
    try:
        outcome = await _send_request(engine, handle, request_line, upstream, give_up_at_ms)
        is_established = isinstance(outcome, EstablishedUpstream)
        return outcome
    finally:
        # Also when cancelled, and before the next attempt: two attempts must never be in flight at once.
        if not is_established:
            await upstream.close()


async def _connect(address: tuple[str, int], timeout_ms: float) -> LineStream | None:
    with trio.move_on_after(timeout_ms / 1000.0):
        return await open_line_stream(address)
    return None


async def _send_request(
    engine: Engine,
    handle: RequestHandle,
    request_line: RequestLine,
    upstream: LineStream,
    give_up_at_ms: float,
) -> EstablishedUpstream | AttemptStatus:
    # While connecting, the deadline may have passed, a drain may have begun, or the deduplication window
    # may have ended. Therefore the policy is asked once more, as late as possible.
    remaining_ms = give_up_at_ms - engine.now()
    if remaining_ms <= 0:
        return AttemptStatus.NOT_SENT
    if not handle.is_established and not handle.may_start_sending():
        return AttemptStatus.NOT_SENT
    log.info(
        "attempt_sent id=%s request=%d attempt=%d endpoint=%s",
        request_line.id,
        handle.id,
        handle.attempt + 1,
        handle.endpoint_id,
    )
    try:
        await upstream.send(request_line.for_upstream(remaining_ms))
    except trio.BrokenResourceError:
        # The line's last byte was not written, so the server cannot have run the request.
        return AttemptStatus.CONNECT_FAILED
    return await _read_answer(handle, upstream, remaining_ms)


async def _read_answer(
    handle: RequestHandle, upstream: LineStream, timeout_ms: float
) -> EstablishedUpstream | AttemptStatus:
    try:
        with trio.move_on_after(timeout_ms / 1000.0):
            line = await upstream.read_line()
            return _decode_answer(handle, upstream, line)
    except LineError:
        return AttemptStatus.ERROR
    except trio.BrokenResourceError:
        return AttemptStatus.CONNECTION_RESET
    return AttemptStatus.TIMED_OUT


def _decode_answer(
    handle: RequestHandle, upstream: LineStream, line: bytes
) -> EstablishedUpstream | AttemptStatus:
    if not line:
        return AttemptStatus.CONNECTION_RESET
    word = first_word(line)
    if word == UP:
        return EstablishedUpstream(stream=upstream, receipt_line=line)
    if word not in STATUS_BY_WORD:
        log.warning("upstream_line_unknown endpoint=%s line=%r", handle.endpoint_id, line[:MAX_LOGGED_BYTES])
        return AttemptStatus.ERROR
    return STATUS_BY_WORD[word]
