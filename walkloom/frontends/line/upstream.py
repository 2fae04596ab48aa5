"""Stage 3: connects one attempt to an upstream connection, and maps what comes back to its outcome."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from walkloom.engine.engine import Engine, RequestHandle
from walkloom.frontends.line.request_line import RequestLine
from walkloom.messages import AttemptStatus
from walkloom.transport.line_stream import LineError, LineStream, first_word, open_line_stream

log = logging.getLogger("walkloom")
_OUTCOMES = {
    b"BYE": AttemptStatus.OK,
    b"MOVE": AttemptStatus.CANCELLED,
    b"ERR": AttemptStatus.ERROR,
    b"BUSY": AttemptStatus.AT_CAPACITY,
}


@dataclass(frozen=True, slots=True)
class EstablishedUpstream:
    stream: LineStream
    receipt: bytes


async def start_attempt(
    engine: Engine,
    handle: RequestHandle,
    request_line: RequestLine,
    address: tuple[str, int] | None,
    until: float,
    setup: float,
) -> EstablishedUpstream | AttemptStatus:
    """One attempt, from its connection to its first answer; whatever did not come up is closed on return."""
    if address is None:
        return AttemptStatus.CONNECT_FAILED
    upstream: LineStream | None = None
    up = False
    try:
        with trio.move_on_after(min(setup, max(until - engine.now(), 0.0)) / 1000.0):
            upstream = await open_line_stream(address)
        if upstream is None:
            return AttemptStatus.CONNECT_FAILED
        left = until - engine.now()
        # connecting took time in which the deadline may have passed
        if left <= 0 or not (handle.is_established or handle.may_start_sending()):
            return AttemptStatus.NOT_SENT
        try:
            await upstream.send(request_line.for_upstream(left))
        except trio.BrokenResourceError:
            return AttemptStatus.CONNECT_FAILED
        with trio.move_on_after(left / 1000.0):
            line = await upstream.read_line()
            if first_word(line) == b"UP":
                up = True
                return EstablishedUpstream(upstream, line)
            if line and first_word(line) not in _OUTCOMES:
                log.warning("subchannel-odd server=%s line=%r", handle.endpoint_id, line[:80])
            return (
                _OUTCOMES.get(first_word(line), AttemptStatus.ERROR)
                if line
                else AttemptStatus.CONNECTION_RESET
            )
        return AttemptStatus.TIMED_OUT
    except OSError as error:  # guards a sound server against blame for our lack of a descriptor
        log.error("attempt-unsent server=%s error=%r", handle.endpoint_id, str(error))
        return AttemptStatus.NOT_SENT
    except LineError:
        return AttemptStatus.ERROR
    except trio.BrokenResourceError:
        return AttemptStatus.CONNECTION_RESET
    finally:
        if upstream and not up:  # closed before the next attempt goes out: never two at once
            await upstream.close()
