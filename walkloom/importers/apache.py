"""Reads the server lists of Apache's mod_proxy_balancer and of mod_jk.

The command is python -m walkloom.importers.parser FILE...

Prints a list in discovery's form, for a balancer's known list. What the files say and the list cannot
hold is told on standard error, a line each; a line that cannot be read ends the import.
"""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import urlsplit

import orjson

_PORTS = {"http": 80, "https": 443, "ajp": 8009, "ws": 80, "wss": 443, "h2": 443, "h2c": 80}
_BLOCK = re.compile(r"<Proxy\s+\"?balancer://([^\s\">]+)\"?\s*>", re.IGNORECASE)
_WORD = re.compile(r'"([^"]*)"|(\S+)')


class ImportFailed(ValueError):
    """A line that cannot be read; the text names file, line and cause."""


@dataclass(frozen=True, slots=True)
class Member:
    name: str
    host: str
    port: int
    weight: float = 1.0
    zone: str = ""
    draining: bool = False
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class Imported:
    members: tuple[Member, ...]
    notes: tuple[str, ...]  # what was read and is not carried over


def read(path: Path) -> Imported:
    text = path.read_text(encoding="utf-8", errors="replace")
    parse = workers if path.suffix == ".properties" else balancer_members
    try:
        return parse(text)
    except ImportFailed as error:
        raise ImportFailed(f"{path}: {error}") from None


def _joined(text: str) -> list[tuple[int, str]]:
    """Lines with their numbers; one that ends in a backslash goes on in the next."""
    lines: list[tuple[int, str]] = []
    start, held = 0, ""
    for number, line in enumerate(text.splitlines(), 1):
        start = start if held else number
        if line.endswith("\\"):
            held += line[:-1]
            continue
        lines.append((start, (held + line).strip()))
        held = ""
    return [*lines, (start, held.strip())] if held else lines


def balancer_members(text: str) -> Imported:
    """BalancerMember lines, within <Proxy balancer://...> or with the balancer named first."""
    members: list[Member] = []
    notes: list[str] = []
    block = ""
    for number, line in _joined(text):
        if found := _BLOCK.match(line):
            block = found[1]
        elif line.lower().startswith("</proxy"):
            block = ""
        words = [a or b for a, b in _WORD.findall(line)]
        if not words or words[0].lower() != "balancermember":
            continue
        named = words[1:2] if len(words) > 1 and words[1].startswith("balancer://") else []
        if not block and not named:
            raise ImportFailed(f"line {number}: BalancerMember outside a balancer")
        member, said = _member(number, words[1 + len(named) :])
        members.append(member)
        notes += said
    return Imported(tuple(members), tuple(notes))


def _member(number: int, words: list[str]) -> tuple[Member, list[str]]:
    if not words:
        raise ImportFailed(f"line {number}: BalancerMember without a URL")
    url = urlsplit(words[0])
    values = {k.lower(): v for k, _, v in (w.partition("=") for w in words[1:])}
    try:
        port = url.port or _PORTS[url.scheme]
        weight = float(values.pop("loadfactor", "1"))
    except (KeyError, ValueError):
        raise ImportFailed(f"line {number}: cannot read {words[0]!r}") from None
    if not url.hostname:
        raise ImportFailed(f"line {number}: no host in {words[0]!r}")
    status = values.pop("status", "")
    off = _flags(status)
    name = values.pop("route", "") or f"{url.hostname}:{port}"
    notes = [f"line {number}: {key} is not carried over" for key in sorted(values)]
    return Member(name, url.hostname, port, weight, "", "N" in off, bool(off & {"D", "S"})), notes


def _flags(status: str) -> set[str]:
    """The status letters that are set: D disabled, S stopped, N draining, H spare, ...; -X clears X."""
    on: set[str] = set()
    for sign, letter in re.findall(r"([+-]?)([A-Za-z])", status):
        (on.discard if sign == "-" else on.add)(letter.upper())
    return on


def workers(text: str) -> Imported:
    """worker.NAME.key=value lines of mod_jk; templates by `reference`, and the members of load balancers."""
    values: dict[str, str] = {}
    where: dict[str, int] = {}
    macros: dict[str, str] = {}
    for number, line in _joined(text):
        if not line or line[0] in "#!":
            continue
        key, sign, value = (x.strip() for x in line.partition("="))
        if not sign:
            raise ImportFailed(f"line {number}: not key=value")
        value = re.sub(r"\$\(([^)]+)\)", lambda m: macros.get(m[1], m[0]), value)
        if not key.startswith("worker."):
            macros[key] = value
        elif key in values and key.endswith((".balance_workers", "worker.list")):
            values[key] += "," + value  # these may be given in several lines
        else:
            values[key], where[key] = value, number
    lists = [v for k, v in values.items() if k.endswith((".balance_workers", ".balanced_workers"))]
    names = _split(",".join(lists)) or _split(values.get("worker.list", ""))
    members, notes = [], []
    for name in dict.fromkeys(names):
        own = _inherited(values, name, ())
        if own.get("type", "ajp13") not in ("ajp13", "ajp14"):
            notes.append(f"worker {name}: type {own['type']} is no server")
            continue
        members.append(_worker(name, own, where))
        known = {"type", "host", "port", "lbfactor", "route", "activation", "domain", "reference"}
        notes += [f"worker {name}: {key} is not carried over" for key in sorted(own.keys() - known)]
    return Imported(tuple(members), tuple(notes))


def _split(text: str) -> list[str]:
    return [x for x in re.split(r"[,\s]+", text) if x]


def _inherited(values: dict[str, str], name: str, seen: tuple[str, ...]) -> dict[str, str]:
    """A worker's own values over those of the worker that it refers to."""
    if name in seen:
        raise ImportFailed(f"worker {name}: refers to itself")
    prefix = f"worker.{name}."
    own = {k.removeprefix(prefix): v for k, v in values.items() if k.startswith(prefix)}
    if "reference" in own:
        other = own["reference"].removeprefix("worker.")
        own = _inherited(values, other, (*seen, name)) | own
    return own


def _worker(name: str, own: dict[str, str], where: dict[str, int]) -> Member:
    try:
        activation = own.get("activation", "A").upper()[:1]
        return Member(
            own.get("route", name),
            own.get("host", "localhost"),
            int(own.get("port", "8009")),
            float(own.get("lbfactor", "1")),
            own.get("domain", ""),
            activation == "D",
            activation == "S",
        )
    except ValueError as error:
        line = min((n for k, n in where.items() if k.startswith(f"worker.{name}.")), default=0)
        raise ImportFailed(f"line {line}: worker {name}: {error}") from None


def listed(members: tuple[Member, ...]) -> dict[str, object]:
    """The members as a whole list in discovery's form; stopped ones are left out."""
    if len({m.name for m in members}) < len(members):
        raise ImportFailed("two members have one name")
    lines = [
        {
            "instanceId": m.name,
            "hostPort": f"{m.host}:{m.port}",
            "zone": m.zone,
            "lifecycle": "draining" if m.draining else "up",
            "weight": m.weight,
            "startedAtMs": 0,
        }
        for m in members
        if not m.stopped
    ]
    return {"generation": 0, "reset": True, "instances": lines}


def main(paths: list[str]) -> int:
    try:
        if not paths:
            raise ImportFailed("usage: python -m walkloom.importers.parser FILE...")
        got = [read(Path(path)) for path in paths]
        for note in (n for one in got for n in one.notes):
            print(note, file=sys.stderr)
        print(orjson.dumps(listed(tuple(m for one in got for m in one.members))).decode())
    except (ImportFailed, OSError) as error:
        print(f"walkloom: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
