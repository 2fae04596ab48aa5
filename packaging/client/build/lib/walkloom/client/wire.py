"""The platform's lines as a client speaks them: its opening line, the answer to it, and lines cut from
bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from walkloom.client.errors import ProtocolError

LONGEST = 4096  # bytes of a line, its CRLF included
CHUNK = 16_384  # most bytes that a driver hands over at once
_BUSY = re.compile(r"BUSY(?: ([0-9]{1,9}))?")


@dataclass(frozen=True, slots=True)
class About:
    """What every opening line of one session tells, whatever the try.

    key, group: 64 bits, 0 for none. load: a guess at the connection's load, in ms of work a second.
    """

    cls: str
    tenant: str
    key: int
    group: int
    load: float | None


def opening(about: About, rid: int, patience_ms: int, repeat: bool, returned: bool) -> bytes:
    """The first line of a connection. rid: 64 bits, new for every connection."""
    values = [f"c={about.cls}"]
    if about.tenant:
        values.append(f"t={about.tenant}")
    values.append(f"d={patience_ms}")
    if about.group:
        values.append(f"g={about.group:016x}")
    if repeat:
        values.append("r=1")
    if returned:
        values.append("again=1")
    if about.load is not None:
        values.append(f"h={about.load:.3f}")
    return f"OPEN {rid:016x} {about.key:016x} {','.join(values)}\r\n".encode("ascii")


@dataclass(frozen=True, slots=True)
class Up:
    receipt: str


@dataclass(frozen=True, slots=True)
class Busy:
    retry_after: float | None  # ms; None where the balancer told none


@dataclass(frozen=True, slots=True)
class Bad:
    line: str


def answer(line: str) -> Up | Busy | Bad:
    """A balancer's answer to an opening line; any line but UP and BUSY is a failure."""
    if line == "UP" or line.startswith("UP "):
        return Up(line[3:])
    if match := _BUSY.fullmatch(line):
        return Busy(float(match[1]) if match[1] else None)
    return Bad(line[:80])


class LineBuffer:
    """Cuts lines from bytes. Keeps at most one line that is not whole: LONGEST bytes."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[str]:
        """The lines that became whole, without their ends; ProtocolError for what is no line of text."""
        *lines, rest = (self._rest + data).split(b"\n")
        if len(rest) > LONGEST or any(len(line) >= LONGEST for line in lines):
            self._rest = b""
            raise ProtocolError(f"the balancer sent a line of over {LONGEST} bytes")
        self._rest = rest
        try:
            out = [line.removesuffix(b"\r").decode() for line in lines]
        except UnicodeDecodeError:
            raise ProtocolError("the balancer sent a line that is not text") from None
        if any("\0" in line for line in out):  # guards callers against binary data that happens to decode
            raise ProtocolError("the balancer sent a line that is not text")
        return out


def encoded(line: str) -> bytes:
    """A caller's line as it goes out; ValueError where it is none."""
    if "\n" in line or "\r" in line or "\0" in line:
        raise ValueError("a line holds no line end and no NUL")
    data = line.encode() + b"\r\n"
    if len(data) > LONGEST:
        raise ValueError(f"a line of {len(data)} bytes; {LONGEST} are allowed with its end")
    return data
