"""What a drain and an outage do, by how the clients retry: python -m benchmarks.client

Real balancers as processes and stand-in servers on loopback; the same drain of a full server and the same
outage of all servers, with (a) viewers that retry at once, (b) viewers with plain exponential back-off,
(c) the
library as one client, (d) the library as eight clients. Seeded, bounded, about a minute and a half. Then the
library against balancers that never answer in order: no try may be begun or alive after its give-up time.
"""

from __future__ import annotations

import argparse
import logging
import math
import multiprocessing
import resource
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field, fields
from pathlib import Path
from random import Random

import trio

from walkloom.client import ClassPolicy, ClientError, Interrupted, Limits, Refused
from walkloom.client.driver import Session
from walkloom.client.on_trio import Client, _Connection
from walkloom.client.session import Session as Machine
from walkloom.lab import Fleet
from walkloom.lab.settings import CLASSES, LabClass
from walkloom.transport.line_stream import LineStream

VIEWERS, BALANCERS = 300, 3
SLOTS, SETUP_MS, QUEUE_MS = 170, 20.0, 300.0  # of a server: 50 set-ups a second, and 15 may wait
BIN_S, SAMPLE_S = 0.1, 0.05
FILL_S, OUTAGE_S, WATCH_S = 12.0, 5.0, 20.0
PROCESSES = 5  # for the tries against odd balancers
LATE_MS = 25.0  # the loop's own delay on a busy machine, beyond which a try counts as alive too long
POLICIES = tuple(ClassPolicy(c.name, c.aim_ms, c.give_up_ms, worth=c.worth) for c in CLASSES)
BEHAVIOURS = ("retry at once", "back-off", "library", "library, 8 clients")


@dataclass
class Record:
    """One behaviour through one scenario. Times: s after the event."""

    tries: list[float] = field(default_factory=list)
    samples: list[tuple[float, int, float]] = field(default_factory=list)  # time, standing, their worth
    ups: int = 0
    away: int = 0  # sent away by the event
    faults: list[str] = field(default_factory=list)  # rules broken, as the servers saw it

    def back_s(self) -> float:
        """When 99% stood again."""
        low = min(range(len(self.samples)), key=lambda i: self.samples[i][1])
        return next((t for t, n, _ in self.samples[low:] if n >= 0.99 * VIEWERS), math.inf)

    def peak_over_mean(self, window: float) -> tuple[int, float]:
        bins = [0] * max(math.ceil(window / BIN_S), 1)
        for at in self.tries:
            if 0 <= at < len(bins) * BIN_S:
                bins[int(at / BIN_S)] += 1
        return max(bins), max(bins) * len(bins) / max(sum(bins), 1)


class Viewer:
    """What is counted of each viewer; `standing` is sampled."""

    def __init__(self, number: int, tried: Callable[[], None]) -> None:
        self.number, self.tried = number, tried
        self.cls = _class_of(number)
        self.rng = Random(number)
        self.ups = 0

    @property
    def standing(self) -> bool:
        raise NotImplementedError


def _class_of(number: int) -> LabClass:
    return CLASSES[(0, 0, 0, 0, 0, 1, 1, 1, 2, 3)[number % 10]]


class Plain(Viewer):
    """Without the library: one try after another, each with the class's whole give-up time."""

    up = False

    @property
    def standing(self) -> bool:
        return self.up

    async def live(self, addresses: Sequence[str], backs_off: bool) -> None:
        failures, again = 0, False
        await trio.sleep(self.number * 0.01)
        while True:
            stood = await self._once(self.rng.choice(addresses), again, failures)
            failures, again = (0, True) if stood else (failures + 1, again)
            pause = min(0.1 * 2.0**failures, 5.0) * (0.5 + self.rng.random() / 2.0) if backs_off else 0.0
            await trio.sleep(max(pause, 0.002))  # none at all would only measure this process's speed

    async def _once(self, address: str, again: bool, failures: int) -> bool:
        host, _, port = address.rpartition(":")
        marks = (",again=1" if again else "") + (",r=1" if failures else "")
        about = f"c={self.cls.name},t=herb-serra,d={self.cls.give_up_ms:.0f},g={self.number % 60 + 1:x}"
        first = f"OPEN {self.rng.getrandbits(64):x} {self.number + 1:x} {about}{marks}\r\n"
        lines = None
        self.tried()
        try:
            with trio.move_on_after(self.cls.give_up_ms / 1000.0):
                lines = LineStream(await trio.open_tcp_stream(host, int(port)))
                await lines.send(first.encode())
                self.up = (await lines.read_line()).startswith(b"UP")
            self.ups += self.up
            if lines and self.up:
                while b"MOVE" not in await lines.read_complete_lines() and not lines.ended:
                    pass
                return True
        except (OSError, trio.BrokenResourceError):
            return self.up
        finally:
            self.up = False
            if lines:
                with trio.CancelScope(shield=True):
                    await lines.close()
        return False


class WithLibrary(Viewer):
    session: Session | None = None

    @property
    def standing(self) -> bool:
        return self.session is not None and self.session.standing

    async def live(self, client: Client) -> None:
        await trio.sleep(self.number * 0.01)
        while True:
            pause = 0.2
            try:
                self.session = await client.open(
                    self.cls.name, tenant="herb-serra", group=self.number % 60 + 1, key=self.number + 1
                )
                while True:
                    with suppress(Interrupted):
                        await self.session.receive()
            except Refused as error:
                pause = max(error.retry_after / 1000.0, pause)
            except ClientError:
                pass
            self.session = None
            await trio.sleep(pause)


class Counted(Client):
    """The library's client, each of its tries noted."""

    tried: Callable[[], None]

    def _dial(self, session: Machine, conn: int, to: tuple[str, int]) -> _Connection:
        self.tried()
        return super()._dial(session, conn, to)


def play(behaviour: str, scenario: str) -> Record:
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_play, behaviour, scenario)


async def _play(behaviour: str, scenario: str) -> Record:
    record = Record()
    event = math.inf

    def tried() -> None:
        record.tries.append(trio.current_time())

    async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
        fleet = await Fleet(nursery).start(2, slots=SLOTS, setup_ms=SETUP_MS, queue_ms=QUEUE_MS)
        for number in range(BALANCERS):
            await fleet.process(f"n{number}", balancers=BALANCERS)
        addresses = [b.address for b in fleet.balancers.values()]
        viewers: list[Viewer] = []
        clients = list[Counted]()
        for number in range(8 if behaviour.endswith("8 clients") else 1):
            client = Counted(addresses, POLICIES, Limits(), seed=number)
            client.tried = tried
            clients.append(await stack.enter_async_context(client))
        for number in range(VIEWERS):
            if behaviour.startswith("library"):
                viewer = WithLibrary(number, tried)
                nursery.start_soon(viewer.live, clients[number % len(clients)])
                viewers.append(viewer)
            else:
                plain = Plain(number, tried)
                nursery.start_soon(plain.live, addresses, behaviour == "back-off")
                viewers.append(plain)
        with trio.move_on_after(FILL_S):
            while sum(v.standing for v in viewers) < VIEWERS:
                await trio.sleep(SAMPLE_S)
        for number in range(2, 6):
            await fleet.add(f"s-{number}", slots=SLOTS, setup_ms=SETUP_MS, queue_ms=QUEUE_MS)
        await trio.sleep(2.0)
        setups = sum(t.setups for t in fleet.tiles.values())
        event = trio.current_time()
        if scenario == "drain":
            fullest = max(fleet.tiles.values(), key=lambda t: len(t.standing))
            record.away = len(fullest.standing)
            await fleet.drain(fullest.name)
        else:
            record.away = VIEWERS
            for name in list(fleet.tiles):
                await fleet.crash(name)

            async def recover() -> None:
                await trio.sleep(OUTAGE_S)
                for name in list(fleet.tiles):
                    await fleet.restart(name)

            nursery.start_soon(recover)
        while (at := trio.current_time() - event) < (WATCH_S if scenario == "outage" else WATCH_S / 2):
            standing = [v for v in viewers if v.standing]
            record.samples.append((at, len(standing), sum(v.cls.worth for v in standing)))
            await trio.sleep(SAMPLE_S)
        record.ups = sum(t.setups for t in fleet.tiles.values()) - setups
        record.tries = [t - event for t in record.tries if t >= event]
        record.faults = fleet.ledger.faults
        nursery.cancel_scope.cancel()
    return record


def table(scenario: str, records: dict[str, Record]) -> list[str]:
    """One window for all of a scenario: until the slowest behaviour has 99% back."""
    window = min(max(r.back_s() for r in records.values()), WATCH_S)
    worth = sum(_class_of(n).worth for n in range(VIEWERS))
    out = [f"{scenario}: {VIEWERS} viewers, window {window:.1f} s", ""]
    columns = ["clients", "sent away", "peak tries in 100 ms", "peak/mean", "tries", "tries per success"]
    columns += ["99% back, s", "worth served", "rules broken"]
    out.append("| " + " | ".join(columns) + " |")
    out.append("|---|---|---|---|---|---|---|---|---|")
    for name, r in records.items():
        peak, ratio = r.peak_over_mean(window)
        served = statistics.mean(w for t, _, w in r.samples if t <= window) / worth
        row = [name, r.away, peak, f"{ratio:.1f}", len(r.tries), f"{len(r.tries) / max(r.ups, 1):.2f}"]
        row += [f"{r.back_s():.1f}", f"{served:.3f}", len(r.faults)]
        out.append("| " + " | ".join(map(str, row)) + " |")
    return [*out, ""]


# No try after its time


@dataclass
class Deadlines:
    tries: int = 0
    begun_late: int = 0  # told that less than 1 ms was left
    alive_late: int = 0
    requests: int = 0
    answered_late: int = 0
    latest_ms: float = 0.0
    lag_ms: float = 0.0  # the loop's own: how late a plain sleep ended at worst


def deadlines(tries: int, seed: int) -> Deadlines:
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_deadlines, tries, seed)


async def _deadlines(tries: int, seed: int) -> Deadlines:
    """Balancers that never answer in order see when a try comes, what it says is left, and when it ends."""
    seen = Deadlines()
    rng = Random(seed)

    async def odd(stream: trio.SocketStream) -> None:
        lines = LineStream(stream)
        try:
            first = await lines.read_line()
            came = trio.current_time()
            if not first:
                return
            left = float(first.partition(b"d=")[2].split(b",")[0].split()[0])
            seen.tries += 1
            seen.begun_late += left < 1.0
            what = rng.randrange(6)
            if what == 0:
                await lines.send(b"ERR\r\n")
            elif what == 1:
                await lines.send(b"UP 1")
            elif what == 2:
                if await _stays(lines, rng.random() * left / 800.0):
                    await lines.send(b"ERR\r\n")
            elif what == 3:
                while await _stays(lines, 0.02):
                    await lines.send(b"B")
            with suppress(trio.BrokenResourceError):
                while await lines.read_complete_lines():
                    pass
            over = (trio.current_time() - came) * 1000.0 - left
            seen.latest_ms = max(seen.latest_ms, over)
            seen.alive_late += over > LATE_MS
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await lines.close()

    async def viewer(client: Client) -> None:
        while seen.tries < tries:
            start = trio.current_time()
            with suppress(ClientError):
                await client.open("fast")
            seen.requests += 1
            seen.answered_late += (trio.current_time() - start) * 1000.0 > 200.0 + LATE_MS
            await trio.sleep(0.001)

    async def lag() -> None:
        while True:
            due = trio.current_time() + 0.005
            await trio.sleep_until(due)
            seen.lag_ms = max(seen.lag_ms, (trio.current_time() - due) * 1000.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lag)
        addresses = []
        for _ in range(3):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
            nursery.start_soon(trio.serve_listeners, odd, [listener])
            addresses.append(f"127.0.0.1:{listener.socket.getsockname()[1]}")
        limits = Limits(setups=200, retry_share=1.0, retry_reserve=10**9)
        async with (
            Client(addresses, [ClassPolicy("fast", 60, 200)], limits, seed=seed) as client,
            trio.open_nursery() as viewers,
        ):
            for _ in range(60):  # so many that the loop is not what makes a try late
                viewers.start_soon(viewer, client)
        nursery.cancel_scope.cancel()
    return seen


async def _stays(lines: LineStream, seconds: float) -> bool:
    with trio.move_on_after(seconds):
        while await lines.wait_for_input():
            pass
        return False
    return True


# Many sessions in one process


async def _serve_all(task_status: trio.TaskStatus[int]) -> None:
    """A balancer that serves everybody at once and returns every line."""

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(4096)
            await stream.send_all(b"UP 1\r\n")
            while data := await stream.receive_some(4096):
                await stream.send_all(data)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        task_status.started(listener.socket.getsockname()[1])


def echo_balancer(port: multiprocessing.connection.Connection) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            port.send(await nursery.start(_serve_all))

    _raise_descriptors()
    trio.run(main)


def _raise_descriptors() -> int:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _rss_kib() -> int:
    text = Path("/proc/self/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


async def _hold(port: int, count: int) -> list[str]:
    classes = [ClassPolicy("tile-view", 2000, 20_000)]
    async with Client([f"127.0.0.1:{port}"], classes, Limits(setups=200), seed=1) as client:
        before, cpu = _rss_kib(), _cpu_s()
        sessions: list[Session] = []

        async def open_some(n: int) -> None:
            for _ in range(n):
                sessions.append(await client.open("tile-view"))

        async with trio.open_nursery() as nursery:
            for _ in range(50):
                nursery.start_soon(open_some, count // 50)
        setup = _cpu_s() - cpu
        after, cpu = _rss_kib(), _cpu_s()
        await trio.sleep(5.0)
        idle = (_cpu_s() - cpu) / 5.0
        cpu = _cpu_s()
        for session in sessions:  # a line each, as viewers send every two seconds
            await session.send("sheet 17")
        for session in sessions:
            await session.receive()
        lines = _cpu_s() - cpu
        delay = client.figures().delay["tile-view"]
    n = len(sessions)
    return [
        f"{n} standing sessions in one process: {(after - before) / n:.1f} KiB each, "
        f"{setup / n * 1000:.2f} ms of CPU a set-up, {lines / n * 1e6:.0f} us of CPU a line and its answer, "
        f"{idle * 100:.2f}% of a core when idle (delay p99 {delay.p99:.0f} ms, all lines sent at once)",
        "",
    ]


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def hold(count: int) -> list[str]:
    allowed = _raise_descriptors()
    if allowed < count + 100:
        print(f"{allowed} descriptors: scaled down from {count} sessions")
        count = allowed - 100
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=echo_balancer, args=(theirs,), daemon=True)
    process.start()
    try:
        return trio.run(_hold, ours.recv(), count)
    finally:
        process.kill()


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--tries", type=int, default=100_000, help="tries against odd balancers")
    options.add_argument("--sessions", type=int, default=5_000, help="standing sessions in one process")
    options.add_argument("--only", choices=["drain", "outage", "deadlines", "sessions"])
    chosen = options.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    for scenario in ("drain", "outage"):
        if chosen.only in (None, scenario):
            with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
                played = pool.map(play, BEHAVIOURS, [scenario] * len(BEHAVIOURS))
                print("\n".join(table(scenario, dict(zip(BEHAVIOURS, played, strict=True)))), flush=True)
    if chosen.only in (None, "deadlines"):
        with ProcessPoolExecutor(PROCESSES, multiprocessing.get_context("spawn")) as pool:
            parts = list(pool.map(deadlines, [chosen.tries // PROCESSES + 1] * PROCESSES, range(PROCESSES)))
        seen = Deadlines(*(sum(getattr(part, each.name) for part in parts) for each in fields(Deadlines)))
        seen.latest_ms = max(part.latest_ms for part in parts)
        seen.lag_ms = max(part.lag_ms for part in parts)
        told = f"deadlines: {seen.tries} tries of {seen.requests} requests; begun late {seen.begun_late}, "
        told += f"alive over {LATE_MS:.0f} ms too long {seen.alive_late}, latest end {seen.latest_ms:.1f} ms "
        told += f"after its time, results over {LATE_MS:.0f} ms late {seen.answered_late}; "
        told += f"the loop itself was up to {seen.lag_ms:.1f} ms late\n"
        print(told, flush=True)
    if chosen.only in (None, "sessions"):
        print("\n".join(hold(chosen.sessions)))


if __name__ == "__main__":
    main()
