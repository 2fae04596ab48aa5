"""Stage 2: read a client connection's first line, and decode it once.

This is the codec of the request line, from the platform's page "Protocol", section "Clients to balancers":

    OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59

An id, the client's key, and a list of parameters, `key=value`. Unknown parameters are allowed, and passed on.
Servers and the policy get a request line only if all of it is in this form: a server would answer `SYNTAX` to
a line that no client sends, and a number such as nan would spoil the policy's averages.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio

from walkloom.config import SettingNames
from walkloom.frontends.line.errors import RequestLineError
from walkloom.transport.line_stream import LineStream

# From the start of the client connection to the end of its request line, pings included; below the 3 s that
# are promised to clients.
REQUEST_LINE_TIMEOUT_S = 2.0

# Most pings before the request line; the platform's front needs one answered to take in a balancer.
MAX_PINGS = 16

# Upper bound for `h=`: far over any real load, and small enough to be averaged.
MAX_LOAD = 1e9

# How much of an offending value an error's text shows, characters.
MAX_SHOWN_CHARACTERS = 40

PING = b"PING"
PONG = b"PONG\r\n"

# The parameters' keys on the wire.
CLASS_KEY = "c"
TENANT_KEY = "t"
PATIENCE_KEY = "d"
GROUP_KEY = "g"
LOAD_KEY = "h"
RETRY_KEY = "r"
RECONNECT_KEY = "again"
ADOPTED_KEY = "at"

_REQUEST_LINE = re.compile(r"OPEN ([0-9a-f]{1,32}) ([0-9a-f]{1,16}) ([!-~]+)\r\n")
_PARAMETER_KEY = re.compile(r"[a-z][a-z0-9_-]*")
_GROUP = re.compile(r"[0-9a-f]{1,16}")

# Narrower than float(), which also takes nan, inf and 1_0.
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

_PATIENCE_PARAMETER = re.compile(rb"(?<=[ ,])d=[^,\s]*")


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A client's request, decoded from the first line of its connection."""

    # The line as it came, its CRLF included.
    raw_line: bytes

    # First word after OPEN: new for every connection.
    id: str

    # `c=`: index of the class's name in the settings.
    request_class: int

    # `t=`: index of the tenant's name in the settings; 0 if absent.
    tenant: int

    # `d=`: how long the client waits for its answer from the time it sent the line, ms; 0 for an adopted
    # connection, which does not tell it.
    patience_ms: float

    # Second word after OPEN: the client's key; None: 0 on the wire.
    client_key: int | None = None

    # `g=`: the group of connections that share work; None: absent, or 0 on the wire.
    affinity_group: int | None = None

    # `h=`: a guess at the connection's load, in the unit of `Request.load`; None: absent.
    load: float | None = None

    # `r=1`: the client tried the same before, and got a final answer.
    is_retry: bool = False

    # `again=1`: the client's connection was moved or broke.
    is_reconnect: bool = False

    # `at=`: the server at which this connection was open before the balancer started; None: a new request.
    adopted_endpoint_id: str | None = None

    def for_upstream(self, patience_ms: float) -> bytes:
        """Return the line as it came, but with `d=` telling how long the balancer will wait."""
        return _PATIENCE_PARAMETER.sub(b"d=%d" % max(patience_ms, 1), self.raw_line, count=1)


async def read_request_line(
    client: LineStream, names: SettingNames, max_patience_ms: float
) -> RequestLine | None:
    """Read the first line that is no ping, answering the pings before it.

    Returns None if the client ends its side or does not send the whole line in time. Raises RequestLineError,
    LineError for an over-long line, and trio.BrokenResourceError if the connection breaks.
    """
    # One deadline for all: with one a line, pings and trickled bytes could hold the descriptor for good.
    with trio.move_on_after(REQUEST_LINE_TIMEOUT_S):
        for _ in range(MAX_PINGS):
            line = await client.read_line()
            if not line:
                return None
            if line.rstrip() != PING:
                return decode(line, names, max_patience_ms)
            await client.send(PONG)
        raise RequestLineError(f"over {MAX_PINGS} pings")
    return None


def decode(line: bytes, names: SettingNames, max_patience_ms: float) -> RequestLine:
    """Decode a request line with its CRLF; `names` are those of the settings, in the policy's order.

    Raises RequestLineError for all that no client sends.
    """
    match = _REQUEST_LINE.fullmatch(line.decode("ascii", "replace"))
    if not match:
        raise RequestLineError("not in the form of OPEN")
    request_id, client_key, parameter_list = match.groups()
    parameters = _decode_parameters(parameter_list)
    adopted_endpoint_id = parameters.get(ADOPTED_KEY)
    return RequestLine(
        raw_line=line,
        id=request_id,
        request_class=_decode_name(CLASS_KEY, parameters.get(CLASS_KEY, ""), names.classes, "class"),
        tenant=_decode_tenant(parameters, names),
        patience_ms=0.0 if adopted_endpoint_id else _decode_patience(parameters, max_patience_ms),
        client_key=int(client_key, 16) or None,
        affinity_group=_decode_group(parameters),
        load=_decode_load(parameters),
        is_retry=_decode_flag(parameters, RETRY_KEY),
        is_reconnect=_decode_flag(parameters, RECONNECT_KEY),
        adopted_endpoint_id=adopted_endpoint_id,
    )


def _decode_parameters(parameter_list: str) -> dict[str, str]:
    parameters: dict[str, str] = {}
    for parameter in parameter_list.split(","):
        key, _, value = parameter.partition("=")
        is_well_formed = _PARAMETER_KEY.fullmatch(key) and value and "=" not in value
        if not is_well_formed or key in parameters:
            reason = f"not a name and its one value: {parameter[:MAX_SHOWN_CHARACTERS]}"
            raise RequestLineError(reason, field=key, value=value)
        parameters[key] = value
    return parameters


def _decode_tenant(parameters: dict[str, str], names: SettingNames) -> int:
    if TENANT_KEY not in parameters:
        return 0
    return _decode_name(TENANT_KEY, parameters[TENANT_KEY], names.tenants, "tenant")


def _decode_patience(parameters: dict[str, str], max_patience_ms: float) -> float:
    return _decode_number(PATIENCE_KEY, parameters.get(PATIENCE_KEY, ""), 1.0, max_patience_ms)


def _decode_group(parameters: dict[str, str]) -> int | None:
    value = parameters.get(GROUP_KEY, "0")
    if not _GROUP.fullmatch(value):
        raise _invalid_value(GROUP_KEY, value)
    return int(value, 16) or None


def _decode_load(parameters: dict[str, str]) -> float | None:
    if LOAD_KEY not in parameters:
        return None
    return _decode_number(LOAD_KEY, parameters[LOAD_KEY], 0.0, MAX_LOAD)


def _decode_flag(parameters: dict[str, str], key: str) -> bool:
    value = parameters.get(key, "0")
    if value not in ("0", "1"):
        raise _invalid_value(key, value)
    return value == "1"


def _decode_name(key: str, name: str, known_names: tuple[str, ...], kind: str) -> int:
    if name not in known_names:
        reason = f"unknown {kind} {name[:MAX_SHOWN_CHARACTERS]}"
        raise RequestLineError(reason, field=key, value=name)
    return known_names.index(name)


def _decode_number(key: str, value: str, minimum: float, maximum: float) -> float:
    if not _NUMBER.fullmatch(value) or not minimum <= float(value) <= maximum:
        raise _invalid_value(key, value)
    return float(value)


def _invalid_value(key: str, value: str) -> RequestLineError:
    return RequestLineError(f"{key}={value[:MAX_SHOWN_CHARACTERS]}", field=key, value=value)
