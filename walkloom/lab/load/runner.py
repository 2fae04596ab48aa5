"""The load tool: open-loop arrivals against any balancer (or tile server) by address, from several processes.

Arrivals and lines have times that are drawn ahead and do not wait for answers; every delay is counted from
that
time, so a balancer that stalls is charged for all that came meanwhile (no coordinated omission). The tool
watches
itself: where it was late, the report says so instead of blaming the balancer.
"""

from __future__ import annotations

import multiprocessing
import re
import resource
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field, fields, replace
from random import Random

import trio

from walkloom.client.metrics import Histogram
from walkloom.lab.settings import CLASSES, TENANTS, LabClass
from walkloom.transport.line_stream import LineError, LineStream

LATE_MS = 10.0  # a tool that begins one arrival in a hundred later than this is too slow for its load
BUSY_PART = 0.9  # of a core, by one of its processes: the same
_PHASE = re.compile(r"([0-9.]+)(?:-([0-9.]+))?:([0-9.]+)")


class LoadError(ValueError):
    """A load that makes no sense; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Phase:
    """So many new connections a second, from the first figure evenly to the last, for so many seconds."""

    first: float
    last: float
    seconds: float

    @classmethod
    def parse(cls, text: str) -> Phase:
        """`RATE:SECONDS`, or `RATE-RATE:SECONDS` for a ramp."""
        match = _PHASE.fullmatch(text)
        try:
            if not match:
                raise ValueError
            first = float(match[1])
            phase = cls(first, float(match[2] or first), float(match[3]))
        except ValueError:
            raise LoadError(f"not RATE:SECONDS or RATE-RATE:SECONDS: {text!r}") from None
        if phase.seconds <= 0 or phase.seconds > 3600 or max(phase.first, phase.last) > 100_000:
            raise LoadError(f"a phase is up to an hour of up to 100,000 a second: {text!r}")
        return phase


@dataclass(frozen=True, slots=True)
class Load:
    """What is sent. Histogram in s; open_most: connections at a time in all processes, beyond which
    arrivals are
    counted as unsent."""

    addresses: tuple[str, ...]
    phases: tuple[Phase, ...]
    life_s: float = 10.0  # mean; drawn from an exponential
    line_s: float = 2.0  # between two lines of a connection; 0: none
    processes: int = 1
    open_most: int = 10_000
    seed: int = 1
    classes: tuple[LabClass, ...] = CLASSES
    tenants: tuple[str, ...] = TENANTS
    groups: int = 100

    def __post_init__(self) -> None:
        if not self.addresses or not self.phases:
            raise LoadError("a load needs an address and a phase")
        if not 1 <= self.processes <= 64 or self.open_most < self.processes:
            raise LoadError("processes: 1 to 64, and each may hold a connection")

    @property
    def seconds(self) -> float:
        return sum(phase.seconds for phase in self.phases)


@dataclass
class Report:
    """What came of a load; of one process, or of all."""

    arrivals: int = 0
    up: int = 0
    in_aim: int = 0  # up within the class's aim
    refused: int = 0
    failed: int = 0  # answered otherwise, or the connection broke before an answer
    timed_out: int = 0
    unconnected: int = 0
    unsent: int = 0  # the tool's own limit of open connections
    moved: int = 0
    broken: int = 0  # ended without MOVE or BYE
    lines: int = 0
    unanswered: int = 0
    setup: Histogram = field(default_factory=Histogram)
    line: Histogram = field(default_factory=Histogram)
    late: Histogram = field(default_factory=Histogram)  # how late the tool began its arrivals
    cpu_part: float = 0.0  # of a core; the busiest process

    def add(self, other: Report) -> None:
        for each in fields(self):
            mine, theirs = getattr(self, each.name), getattr(other, each.name)
            if isinstance(mine, Histogram):
                mine.merge(theirs)
            elif each.name == "cpu_part":
                self.cpu_part = max(mine, theirs)
            else:
                setattr(self, each.name, mine + theirs)

    def too_slow(self) -> str:
        """Why the figures are not to be trusted; empty where they are."""
        if self.late.at(99.0) > LATE_MS:
            return f"the tool began one arrival in a hundred over {self.late.at(99.0):.0f} ms late"
        if self.cpu_part > BUSY_PART:
            return f"a process of the tool used {self.cpu_part:.0%} of a core"
        if self.unsent:
            return f"{self.unsent} arrivals were not sent: too many connections open for the tool's limit"
        return ""

    def rows(self) -> Iterator[tuple[str, str]]:
        """For a person, a line each."""
        yield "arrivals", f"{self.arrivals}"
        share = self.up / self.arrivals if self.arrivals else 0.0
        yield "up", f"{self.up} ({share:.1%}), {self.in_aim} within the aim"
        yield "refused, failed, timed out", f"{self.refused}, {self.failed}, {self.timed_out}"
        yield "not connected, not sent", f"{self.unconnected}, {self.unsent}"
        yield "moved, broken", f"{self.moved}, {self.broken}"
        yield "lines, without an answer", f"{self.lines}, {self.unanswered}"
        for name, times in (("set-up", self.setup), ("line", self.line), ("tool's lateness", self.late)):
            figures = (f"{times.at(p):.1f}" for p in (50.0, 90.0, 99.0, 100.0))
            yield f"{name}, ms (p50 p90 p99 most)", " ".join(figures)
        yield "tool's busiest process", f"{self.cpu_part:.0%} of a core"


def arrivals(phases: Sequence[Phase], part: float, rng: Random) -> Iterator[float]:
    """Histogram in s, drawn ahead: a Poisson process whose rate follows the phases, by thinning."""
    begin = 0.0
    for phase in phases:
        most = max(phase.first, phase.last) * part
        at = 0.0
        while most > 0:
            at += rng.expovariate(most)
            if at >= phase.seconds:
                break
            rate = (phase.first + (phase.last - phase.first) * at / phase.seconds) * part
            if rng.random() * most < rate:
                yield begin + at
        begin += phase.seconds


def run(load: Load) -> Report:
    """Plays the load; blocks until its last connection has ended."""
    total = Report()
    if load.processes == 1:
        total.add(_process(load, 0))
        return total
    with ProcessPoolExecutor(load.processes, multiprocessing.get_context("spawn")) as pool:
        for part in pool.map(_process, [load] * load.processes, range(load.processes)):
            total.add(part)
    return total


def _process(load: Load, number: int) -> Report:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    most = min(load.open_most // load.processes, hard - 64)
    return trio.run(play, replace(load, open_most=most), number)


async def play(load: Load, number: int = 0) -> Report:
    """One process's part of the load, on the caller's loop."""
    report, rng = Report(), Random(f"{load.seed}/{number}")
    limit = trio.CapacityLimiter(load.open_most)
    begin, cpu = trio.current_time(), _cpu_s()
    async with trio.open_nursery() as nursery:
        for at in arrivals(load.phases, 1.0 / load.processes, rng):
            await trio.sleep_until(begin + at)
            report.arrivals += 1
            report.late.add((trio.current_time() - begin - at) * 1000.0)
            try:
                limit.acquire_on_behalf_of_nowait(token := object())
            except trio.WouldBlock:
                report.unsent += 1
                continue
            nursery.start_soon(_viewer, load, report, rng.getrandbits(64), begin + at, limit, token)
        await trio.sleep_until(begin + load.seconds)
        report.cpu_part = (_cpu_s() - cpu) / max(trio.current_time() - begin, 1e-9)
    return report


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def _viewer(
    load: Load, report: Report, seed: int, due: float, limit: trio.CapacityLimiter, token: object
) -> None:
    """One connection; `due` is when it was to begin, from which its time runs."""
    rng = Random(seed)
    cls = rng.choices(load.classes, [c.share for c in load.classes])[0]
    lines: LineStream | None = None
    try:
        answer = b""
        with trio.move_on_at(due + cls.deadline_ms / 1000.0) as scope:
            host, _, port = rng.choice(load.addresses).rpartition(":")
            try:
                lines = LineStream(await trio.open_tcp_stream(host, int(port)))
            except OSError:
                report.unconnected += 1
                return
            left = (scope.deadline - trio.current_time()) * 1000.0
            about = f"c={cls.name},t={rng.choice(load.tenants)},d={max(left, 1.0):.0f}"
            group = rng.randrange(load.groups) + 1
            await lines.send(f"OPEN {seed:016x} {seed:016x} {about},g={group:x}\r\n".encode())
            answer = await lines.read_line()
        if scope.cancelled_caught:
            report.timed_out += 1
        elif answer.startswith(b"UP"):
            ms = (trio.current_time() - due) * 1000.0
            report.up += 1
            report.in_aim += ms <= cls.latency_objective_ms
            report.setup.add(ms)
            assert lines
            await _stand(load, report, lines, trio.current_time() + rng.expovariate(1.0 / load.life_s), rng)
        elif answer.startswith(b"BUSY"):
            report.refused += 1
        else:
            report.failed += 1
    except (trio.BrokenResourceError, LineError):
        report.failed += 1
    finally:
        if lines:
            with trio.CancelScope(shield=True):
                await lines.close()
        limit.release_on_behalf_of(token)


async def _stand(load: Load, report: Report, lines: LineStream, until: float, rng: Random) -> None:
    """Sends its lines at their times until its life is over or the other side ends it."""
    waiting: list[float] = []
    word = b""

    async def read() -> None:
        nonlocal word
        with suppress(trio.BrokenResourceError, LineError):
            while data := await lines.read_complete_lines():
                now = trio.current_time()
                for line in data.splitlines():
                    word = line.split(b" ", 1)[0]
                    if word in (b"MOVE", b"BYE"):
                        return
                    if word != b"LOAD" and waiting:
                        report.line.add((now - waiting.pop(0)) * 1000.0)

    async def write() -> None:
        due = trio.current_time() + load.line_s * rng.random()
        with suppress(trio.BrokenResourceError):
            while load.line_s:
                await trio.sleep_until(due)
                waiting.append(due)
                report.lines += 1
                await lines.send(b"SHEET 17\r\n")
                due += load.line_s

    with trio.move_on_at(until) as life:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            await read()
            nursery.cancel_scope.cancel()
    if not life.cancelled_caught:
        report.moved += word == b"MOVE"
        report.broken += word not in (b"MOVE", b"BYE")
    report.unanswered += len(waiting)
