"""Stage 1: reads a client connection's first line and decodes it once."""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio

from walkloom.config import SettingNames
from walkloom.transport.line_stream import LineStream

FIRST_LINE_S = 2.0  # from the client connection's start to the end of its request line; 3 s are promised
PINGS = 16  # most pings before it
LOAD_MOST = 1e9
_LINE = re.compile(r"OPEN ([0-9a-f]{1,32}) ([0-9a-f]{1,16}) ([!-~]+)\r\n")
_NAME = re.compile(r"[a-z][a-z0-9_-]*")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")  # guards against what float() also takes: nan, inf, 1_0
_PATIENCE = re.compile(rb"(?<=[ ,])d=[^,\s]*")


class RequestLineError(ValueError):
    """A first line that no client sends; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class RequestLine:
    line: bytes
    id: str
    request_class: int
    tenant: int
    patience_ms: float  # ms that the client waits, from its sending
    client_key: int | None = None
    affinity_group: int | None = None
    load: float | None = None
    is_retry: bool = False
    is_reconnect: bool = False
    stands_at: str | None = None

    def for_upstream(self, patience: float) -> bytes:
        """The same line, but for how long the balancer will wait."""
        return _PATIENCE.sub(b"d=%d" % max(patience, 1), self.line, count=1)


async def read_request_line(client: LineStream, names: SettingNames, longest: float) -> RequestLine | None:
    """The first line that opens an RPC; pings before it are answered. None if the client brings none."""
    with trio.move_on_after(FIRST_LINE_S):  # one time for all: guards against pings and trickled bytes
        for _ in range(PINGS):
            line = await client.read_line()
            if line.rstrip() != b"PING":
                return decode(line, names, longest) if line else None
            await client.send(b"PONG\r\n")
        raise RequestLineError(f"over {PINGS} pings")
    return None


def decode(line: bytes, names: SettingNames, longest: float) -> RequestLine:
    """Guards servers and module against all that no client sends: they see a sound request or none."""
    match = _LINE.fullmatch(line.decode("ascii", "replace"))
    if not match:
        raise RequestLineError("not in the form of OPEN")
    rid, key, rest = match.groups()
    values: dict[str, str] = {}
    for item in rest.split(","):
        name, _, value = item.partition("=")
        if not _NAME.fullmatch(name) or not value or "=" in value or name in values:
            raise RequestLineError(f"not a name and its one value: {item[:40]}")
        values[name] = value
    stands_at = values.get("at")
    return RequestLine(
        line,
        rid,
        _index(names.classes, values.get("c", ""), "class"),
        _index(names.tenants, values["t"], "tenant") if "t" in values else 0,
        0.0 if stands_at else _number("d", values.get("d", ""), 1.0, longest),
        int(key, 16) or None,
        _group(values.get("g", "0")),
        _number("h", values["h"], 0.0, LOAD_MOST) if "h" in values else None,
        _mark(values, "r"),
        _mark(values, "again"),
        stands_at,
    )


def _index(names: tuple[str, ...], name: str, what: str) -> int:
    if name not in names:
        raise RequestLineError(f"unknown {what} {name[:40]}")
    return names.index(name)


def _number(name: str, text: str, least: float, most: float) -> float:
    if not _NUMBER.fullmatch(text) or not least <= float(text) <= most:
        raise RequestLineError(f"{name}={text[:40]}")
    return float(text)


def _group(text: str) -> int | None:
    if not re.fullmatch("[0-9a-f]{1,16}", text):
        raise RequestLineError(f"g={text[:40]}")
    return int(text, 16) or None


def _mark(values: dict[str, str], name: str) -> bool:
    if (mark := values.get(name, "0")) not in ("0", "1"):
        raise RequestLineError(f"{name}={mark[:40]}")
    return mark == "1"
