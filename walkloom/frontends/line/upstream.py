"""Stage 3: connects one attempt to a subchannel, and maps what comes back to its outcome."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from walkloom.engine.engine import Core, Ticket
from walkloom.frontends.line.request_line import Opening
from walkloom.messages import AttemptStatus
from walkloom.transport.line_stream import LineError, Lines

log = logging.getLogger("walkloom")
_OUTCOMES = {
    b"BYE": AttemptStatus.OK,
    b"MOVE": AttemptStatus.CANCELLED,
    b"ERR": AttemptStatus.ERROR,
    b"BUSY": AttemptStatus.AT_CAPACITY,
}


@dataclass(frozen=True, slots=True)
class Up:
    subchannel: Lines
    receipt: bytes


def verb(line: bytes) -> bytes:
    return line.split(None, 1)[0] if line.strip() else b""


async def attempt(
    core: Core, ticket: Ticket, opening: Opening, address: tuple[str, int] | None, until: float, setup: float
) -> Up | AttemptStatus:
    """One attempt, from its connection to its first answer; whatever did not come up is closed on return."""
    if address is None:
        return AttemptStatus.CONNECT_FAILED
    subchannel: Lines | None = None
    up = False
    try:
        with trio.move_on_after(min(setup, max(until - core.now(), 0.0)) / 1000.0):
            subchannel = await dial(address)
        if subchannel is None:
            return AttemptStatus.CONNECT_FAILED
        left = until - core.now()
        # connecting took time in which the deadline may have passed
        if left <= 0 or not (ticket.up or ticket.may_begin()):
            return AttemptStatus.NOT_SENT
        try:
            await subchannel.send(opening.for_subchannel(left))
        except trio.BrokenResourceError:
            return AttemptStatus.CONNECT_FAILED
        with trio.move_on_after(left / 1000.0):
            line = await subchannel.line()
            if verb(line) == b"UP":
                up = True
                return Up(subchannel, line)
            if line and verb(line) not in _OUTCOMES:
                log.warning("subchannel-odd server=%s line=%r", ticket.server, line[:80])
            return _OUTCOMES.get(verb(line), AttemptStatus.ERROR) if line else AttemptStatus.CONNECTION_RESET
        return AttemptStatus.TIMED_OUT
    except OSError as error:  # guards a sound server against blame for our lack of a descriptor
        log.error("attempt-unsent server=%s error=%r", ticket.server, str(error))
        return AttemptStatus.NOT_SENT
    except LineError:
        return AttemptStatus.ERROR
    except trio.BrokenResourceError:
        return AttemptStatus.CONNECTION_RESET
    finally:
        if subchannel and not up:  # closed before the next attempt goes out: never two at once
            await subchannel.close()


async def dial(address: tuple[str, int]) -> Lines | None:
    """None if nothing accepts there; OSError if we have no descriptor left."""
    sock = trio.socket.socket()
    try:
        await sock.connect(address)
    except OSError:
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return Lines(trio.SocketStream(sock))
