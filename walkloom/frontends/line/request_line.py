"""Stage 2: read and decode the first line of a client connection.

The format is defined by the platform's page "Protocol", section "Clients to balancers":

    OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59

The words are an id, the client's key, and a list of parameters, `key=value`. Unknown parameters are allowed,
and forwarded. A request line that is not entirely in this form reaches neither a server nor the policy: a
server would answer `SYNTAX`, and a number such as nan would corrupt the policy's averages.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import trio

from walkloom.config import SettingNames
from walkloom.frontends.line.errors import RequestLineError
from walkloom.transport.line_stream import LineStream

# From the start of the client connection to the end of its request line, pings included; below the 3 s that
# the platform guarantees to clients.
REQUEST_LINE_TIMEOUT_S = 2.0

# Before the request line. The platform's front needs one answered ping before it uses a balancer.
MAX_PINGS = 16

# Upper bound of `h=`: far above any real load, and small enough to be averaged.
MAX_LOAD = 1e9

# Longest part of an invalid value that an error message shows.
MAX_SHOWN_CHARACTERS = 40

PING = b"PING"
PONG = b"PONG\r\n"

# The parameters' keys on the wire.
CLASS_KEY = "c"
TENANT_KEY = "t"
TIMEOUT_KEY = "d"
GROUP_KEY = "g"
LOAD_KEY = "h"
RETRY_KEY = "r"
RECONNECT_KEY = "again"
ADOPTED_KEY = "at"

_REQUEST_LINE = re.compile(r"OPEN ([0-9a-f]{1,32}) ([0-9a-f]{1,16}) ([!-~]+)\r\n")
_PARAMETER_KEY = re.compile(r"[a-z][a-z0-9_-]*")
_GROUP = re.compile(r"[0-9a-f]{1,16}")

# Stricter than float(), which also accepts nan, inf and 1_0.
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

_TIMEOUT_PARAMETER = re.compile(rb"(?<=[ ,])d=[^,\s]*")


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A client's request, decoded from the first line of its connection."""

    # The line as received, with its CRLF.
    raw_line: bytes

    # First word after OPEN: new for every connection.
    id: str

    # `c=`: index of the class's name in the settings.
    request_class: int

    # `t=`: index of the tenant's name in the settings; 0 if absent.
    tenant: int

    # `d=`: how long the client waits for its answer after sending the line; 0 for an adopted connection,
    # which needs none.
    request_timeout_ms: float

    # Second word after OPEN: the client's key; None: 0 on the wire.
    client_key: int | None = None

    # `g=`: the group of connections that share work; None: absent, or 0 on the wire.
    affinity_group: int | None = None

    # `h=`: the expected load of the connection, in the unit of `Request.load`; None: absent.
    load: float | None = None

    # `r=1`: the client sent the same request before, and got a final answer.
    is_retry: bool = False

    # `again=1`: the client's connection was migrated or broke.
    is_reconnect: bool = False

    # `at=`: the server that had this connection before the balancer started; None: a new request.
    adopted_endpoint_id: str | None = None

    def for_upstream(self, request_timeout_ms: float) -> bytes:
        """Return the line as received, with `d=` set to the time that the balancer will wait."""
        return _TIMEOUT_PARAMETER.sub(b"d=%d" % max(request_timeout_ms, 1), self.raw_line, count=1)


async def read_request_line(
    client: LineStream, names: SettingNames, max_timeout_ms: float
) -> RequestLine | None:
    """Read and decode the first line that is not a ping, and answer the pings before it.

    Returns None if the client ends its side or does not send the whole line in time. Raises RequestLineError
    for an invalid line or too many pings, LineError for a line over the length limit, and
    trio.BrokenResourceError if the connection breaks.
    """
    # One deadline for all lines: with one per line, pings and slowly sent bytes could hold the descriptor
    # forever.
    with trio.move_on_after(REQUEST_LINE_TIMEOUT_S):
        for _ in range(MAX_PINGS):
            line = await client.read_line()
            if not line:
                return None
            if line.rstrip() != PING:
                return decode(line, names, max_timeout_ms)
            await client.send(PONG)
        raise RequestLineError(f"more than {MAX_PINGS} pings before the request line")
    return None


def decode(line: bytes, names: SettingNames, max_timeout_ms: float) -> RequestLine:
    """Decode a request line with its CRLF; `names` are those of the settings, in the policy's order.

    Raises RequestLineError for a line that no client of the platform sends.
    """
    match = _REQUEST_LINE.fullmatch(line.decode("ascii", "replace"))
    if not match:
        raise RequestLineError("not in the form OPEN ID KEY PARAMETERS")
    request_id, client_key, parameter_list = match.groups()
    parameters = _decode_parameters(parameter_list)
    adopted_endpoint_id = parameters.get(ADOPTED_KEY)
    return RequestLine(
        raw_line=line,
        id=request_id,
        request_class=_decode_name(CLASS_KEY, parameters.get(CLASS_KEY, ""), names.classes, "class"),
        tenant=_decode_tenant(parameters, names),
        request_timeout_ms=0.0 if adopted_endpoint_id else _decode_timeout(parameters, max_timeout_ms),
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
            reason = f"parameter repeated or not in the form key=value: {parameter[:MAX_SHOWN_CHARACTERS]}"
            raise RequestLineError(reason, field=key, value=value)
        parameters[key] = value
    return parameters


def _decode_tenant(parameters: dict[str, str], names: SettingNames) -> int:
    if TENANT_KEY not in parameters:
        return 0
    return _decode_name(TENANT_KEY, parameters[TENANT_KEY], names.tenants, "tenant")


def _decode_timeout(parameters: dict[str, str], max_timeout_ms: float) -> float:
    return _decode_number(TIMEOUT_KEY, parameters.get(TIMEOUT_KEY, ""), 1.0, max_timeout_ms)


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
