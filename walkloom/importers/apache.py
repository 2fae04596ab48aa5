"""Reads the BalancerMember lines of Apache's mod_proxy_balancer."""

from __future__ import annotations

import re
from urllib.parse import SplitResult, urlsplit

from walkloom.importers.logical_lines import logical_lines
from walkloom.importers.model import ImportedList, ImportedServer, UnreadableLineError, parse_weight

# Default ports of members, by the scheme of their URL.
DEFAULT_PORTS = {"http": 80, "https": 443, "ajp": 8009, "ws": 80, "wss": 443, "h2": 443, "h2c": 80}

BALANCER_SCHEME = "balancer://"

# Letters of the parameter `status`.
DISABLED = "D"
STOPPED = "S"
DRAINING = "N"

_PROXY_BLOCK_START = re.compile(r"<Proxy\s+\"?balancer://([^\s\">]+)\"?\s*>", re.IGNORECASE)
_PROXY_BLOCK_END = "</proxy"
_WORD = re.compile(r'"([^"]*)"|(\S+)')
_STATUS_FLAG = re.compile(r"([+-]?)([A-Za-z])")


def parse_balancer_members(text: str) -> ImportedList:
    """Read BalancerMember lines, inside <Proxy balancer://...> or with the balancer as first argument.

    Raises UnreadableLineError.
    """
    servers: list[ImportedServer] = []
    warnings: list[str] = []
    in_balancer = False
    for line_number, line in logical_lines(text):
        if _PROXY_BLOCK_START.match(line):
            in_balancer = True
        elif line.lower().startswith(_PROXY_BLOCK_END):
            in_balancer = False
        words = [quoted or plain for quoted, plain in _WORD.findall(line)]
        if not words or words[0].lower() != "balancermember":
            continue
        arguments = words[1:]
        if arguments and arguments[0].startswith(BALANCER_SCHEME):
            arguments = arguments[1:]
        elif not in_balancer:
            raise UnreadableLineError(line_number, "BalancerMember outside a balancer")
        server, server_warnings = _parse_member(line_number, arguments)
        servers.append(server)
        warnings += server_warnings
    return ImportedList(tuple(servers), tuple(warnings))


def _parse_member(line_number: int, arguments: list[str]) -> tuple[ImportedServer, list[str]]:
    """Return a member from its URL and parameters, and a warning for each parameter that is not carried over.

    Raises UnreadableLineError.
    """
    if not arguments:
        raise UnreadableLineError(line_number, "BalancerMember without a URL")
    address = arguments[0]
    parameters = _parse_parameters(arguments[1:])
    try:
        url = urlsplit(address)
        port = _port(url)
        weight = parse_weight(parameters.pop("loadfactor", "1"))
    except (KeyError, ValueError) as error:
        raise UnreadableLineError(line_number, f"cannot read {address!r}") from error
    if not url.hostname:
        raise UnreadableLineError(line_number, f"no host in {address!r}")
    flags = _parse_status(parameters.pop("status", ""))
    server = ImportedServer(
        name=parameters.pop("route", "") or f"{url.hostname}:{port}",
        host=url.hostname,
        port=port,
        weight=weight,
        draining=DRAINING in flags,
        stopped=bool(flags & {DISABLED, STOPPED}),
    )
    warnings = [f"line {line_number}: {name} is not carried over" for name in sorted(parameters)]
    return server, warnings


def _port(url: SplitResult) -> int:
    """Return a URL's port, or the default port of its scheme.

    Raises ValueError if the port is not a number, KeyError if the scheme has no default port.
    """
    return url.port or DEFAULT_PORTS[url.scheme]


def _parse_parameters(words: list[str]) -> dict[str, str]:
    """Return the values of name=value words by their names in lower case."""
    parameters: dict[str, str] = {}
    for word in words:
        name, _, value = word.partition("=")
        parameters[name.lower()] = value
    return parameters


def _parse_status(status: str) -> set[str]:
    """Return the letters that a status sets: D disabled, S stopped, N draining and others; -X clears X."""
    flags: set[str] = set()
    for sign, letter in _STATUS_FLAG.findall(status):
        if sign == "-":
            flags.discard(letter.upper())
        else:
            flags.add(letter.upper())
    return flags
