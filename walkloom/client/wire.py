"""The client side of the line protocol: the opening line, its answer, and the lines of a byte stream.

The keys of the opening line appear only in this module; SessionAttributes has the field for each key.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from walkloom.client.errors import InvalidArgumentError, ProtocolError

MAX_LINE_BYTES = 4096  # of one line, including CRLF
READ_CHUNK_BYTES = 16_384  # largest read of a driver
MAX_QUOTED_CHARACTERS = 80  # of a malformed answer, quoted in an error message
MIGRATE_LINE = "MOVE"  # the server asks the session to reconnect to another endpoint
_BUSY = re.compile(r"BUSY(?: ([0-9]{1,9}))?")
_GOODBYE = "BYE"
_LOAD_PREFIX = "LOAD "


@dataclass(frozen=True, slots=True)
class SessionAttributes:
    """The fields of the opening line that are the same for all attempts of a session."""

    request_class: str  # key c=
    tenant: str  # key t=, omitted if empty
    client_key: int  # the second id of the line: 64 bits, 0 for none
    affinity_group: int  # key g=: 64 bits, 0 for none
    expected_load: float | None  # key h=: expected load of the connection, in ms of work per second


def encode_opening_line(
    attributes: SessionAttributes, request_id: int, timeout_ms: int, *, is_retry: bool, is_reconnect: bool
) -> bytes:
    """Encode the first line of a connection.

    request_id: 64 bits, new for every connection. timeout_ms: time that the client waits for the answer.
    """
    fields = [f"c={attributes.request_class}"]
    if attributes.tenant:
        fields.append(f"t={attributes.tenant}")
    fields.append(f"d={timeout_ms}")
    if attributes.affinity_group:
        fields.append(f"g={attributes.affinity_group:016x}")
    if is_retry:
        fields.append("r=1")
    if is_reconnect:
        fields.append("again=1")
    if attributes.expected_load is not None:
        fields.append(f"h={attributes.expected_load:.3f}")
    return f"OPEN {request_id:016x} {attributes.client_key:016x} {','.join(fields)}\r\n".encode("ascii")


@dataclass(frozen=True, slots=True)
class EstablishedAnswer:
    """`UP`: the session is established."""

    receipt: str


@dataclass(frozen=True, slots=True)
class BusyAnswer:
    """`BUSY`: the request is rejected."""

    retry_after_ms: float | None  # None if the balancer gave no time


@dataclass(frozen=True, slots=True)
class MalformedAnswer:
    """Any other line: an error of the balancer, or a peer that is not a balancer."""

    line: str


Answer = EstablishedAnswer | BusyAnswer | MalformedAnswer


def parse_answer(line: str) -> Answer:
    """Parse a balancer's answer to an opening line."""
    if line == "UP" or line.startswith("UP "):
        return EstablishedAnswer(line[3:])
    if match := _BUSY.fullmatch(line):
        return BusyAnswer(float(match[1]) if match[1] else None)
    return MalformedAnswer(line[:MAX_QUOTED_CHARACTERS])


def is_goodbye(line: str) -> bool:
    """Whether the line announces the regular end of the session."""
    return line == _GOODBYE or line.startswith(_GOODBYE + " ")


def parse_load_report(line: str) -> str | None:
    """Return the text of a load report; None if the line is not a load report."""
    return line.removeprefix(_LOAD_PREFIX) if line.startswith(_LOAD_PREFIX) else None


class LineBuffer:
    """Splits a byte stream into lines; keeps at most one incomplete line of MAX_LINE_BYTES."""

    __slots__ = ("_incomplete",)

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[str]:
        """Add bytes; return the lines that are now complete, without their line ends.

        Raises ProtocolError for a line that is too long or not text.
        """
        *lines, incomplete = (self._incomplete + data).split(b"\n")
        if len(incomplete) > MAX_LINE_BYTES or any(len(line) >= MAX_LINE_BYTES for line in lines):
            self._incomplete = b""
            raise ProtocolError(f"the balancer sent a line of over {MAX_LINE_BYTES} bytes")
        self._incomplete = incomplete
        try:
            decoded = [line.removesuffix(b"\r").decode() for line in lines]
        except UnicodeDecodeError as error:
            raise ProtocolError("the balancer sent a line that is not text") from error
        if any("\0" in line for line in decoded):  # binary data may happen to be valid UTF-8
            raise ProtocolError("the balancer sent a line that is not text")
        return decoded


def encode_line(line: str) -> bytes:
    """Encode a line of the caller.

    Raises InvalidArgumentError if it contains a line end or NUL, or is too long.
    """
    if "\n" in line or "\r" in line or "\0" in line:
        raise InvalidArgumentError("line", line, "a line must not contain a line end or NUL")
    data = line.encode() + b"\r\n"
    if len(data) > MAX_LINE_BYTES:
        message = f"line of {len(data)} bytes exceeds the limit of {MAX_LINE_BYTES} bytes, line end included"
        raise InvalidArgumentError("line", line, message)
    return data
