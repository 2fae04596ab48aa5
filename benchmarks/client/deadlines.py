"""The library against balancers that never answer regularly: no attempt may outlive its deadline."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, fields
from random import Random

import trio

from walkloom.client import ClassPolicy, ClientError, Limits
from walkloom.client.on_trio import Client
from walkloom.transport.line_stream import LineStream

PROCESSES = 5
LATE_MS = 25.0  # the loop's own delay on a busy machine, beyond which an attempt counts as alive too long
MIN_TIME_LEFT_MS = 1.0  # an attempt that says less is left started too late
OBJECTIVE_MS = 60.0
TIMEOUT_MS = 200.0
BALANCERS = 3
CALLERS = 60  # so many that the loop is not what makes an attempt late
PROBE_INTERVAL_S = 0.005  # of the sleeps that measure the loop's own delay


@dataclass
class DeadlineReport:
    """Counts of one or more runs."""

    attempts: int = 0
    started_late: int = 0
    alive_late: int = 0
    requests: int = 0
    results_late: int = 0
    max_late_ms: float = 0.0  # the latest end of an attempt after its deadline
    max_loop_delay_ms: float = 0.0  # how late a plain sleep ended at worst


def merge(parts: Sequence[DeadlineReport]) -> DeadlineReport:
    """Add up the counts, and take the worst delays."""
    merged = DeadlineReport(
        *(sum(getattr(part, each.name) for part in parts) for each in fields(DeadlineReport))
    )
    merged.max_late_ms = max(part.max_late_ms for part in parts)
    merged.max_loop_delay_ms = max(part.max_loop_delay_ms for part in parts)
    return merged


def describe(report: DeadlineReport) -> str:
    """Return the report as one sentence."""
    return (
        f"deadlines: {report.attempts} attempts of {report.requests} requests; "
        f"started late {report.started_late}, alive over {LATE_MS:.0f} ms too long {report.alive_late}, "
        f"latest end {report.max_late_ms:.1f} ms after its deadline, "
        f"results over {LATE_MS:.0f} ms late {report.results_late}; "
        f"the loop itself was up to {report.max_loop_delay_ms:.1f} ms late\n"
    )


def play(attempts: int, seed: int) -> DeadlineReport:
    """Make that many attempts against balancers that never answer regularly."""
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_Run(attempts, seed).play)


class _Run:
    """One process's run: its balancers, its callers, and what they see."""

    def __init__(self, attempts: int, seed: int) -> None:
        self._attempts = attempts
        self._seed = seed
        self._random = Random(seed)
        self._report = DeadlineReport()

    async def play(self) -> DeadlineReport:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_loop)
            addresses = [await self._start_balancer(nursery) for _ in range(BALANCERS)]
            limits = Limits(setups=200, retry_share=1.0, retry_reserve=10**9)
            policy = ClassPolicy("fast", OBJECTIVE_MS, TIMEOUT_MS)
            async with (
                Client(addresses, [policy], limits, seed=self._seed) as client,
                trio.open_nursery() as callers,
            ):
                for _ in range(CALLERS):
                    callers.start_soon(self._call, client)
            nursery.cancel_scope.cancel()
        return self._report

    async def _start_balancer(self, nursery: trio.Nursery) -> str:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"

    async def _serve(self, stream: trio.SocketStream) -> None:
        """See when an attempt comes, what it says is left, and when it ends."""
        lines = LineStream(stream)
        try:
            opening_line = await lines.read_line()
            accepted_at = trio.current_time()
            if not opening_line:
                return
            time_left_ms = float(opening_line.partition(b"d=")[2].split(b",")[0].split()[0])
            self._report.attempts += 1
            self._report.started_late += time_left_ms < MIN_TIME_LEFT_MS
            await self._misbehave(lines, time_left_ms)
            with suppress(trio.BrokenResourceError):
                while await lines.read_complete_lines():
                    pass
            late_ms = (trio.current_time() - accepted_at) * 1000.0 - time_left_ms
            self._report.max_late_ms = max(self._report.max_late_ms, late_ms)
            self._report.alive_late += late_ms > LATE_MS
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await lines.close()

    async def _misbehave(self, lines: LineStream, time_left_ms: float) -> None:
        """Answer an error, half a line, a late error, or a trickle; or nothing, as often as two of those."""
        match self._random.randrange(6):
            case 0:
                await lines.send(b"ERR\r\n")
            case 1:
                await lines.send(b"UP 1")
            case 2:
                if await _stays(lines, self._random.random() * time_left_ms / 800.0):
                    await lines.send(b"ERR\r\n")
            case 3:
                while await _stays(lines, 0.02):
                    await lines.send(b"B")

    async def _call(self, client: Client) -> None:
        while self._report.attempts < self._attempts:
            started_at = trio.current_time()
            with suppress(ClientError):
                await client.open("fast")
            self._report.requests += 1
            duration_ms = (trio.current_time() - started_at) * 1000.0
            self._report.results_late += duration_ms > TIMEOUT_MS + LATE_MS
            await trio.sleep(0.001)

    async def _measure_loop(self) -> None:
        while True:
            due_at = trio.current_time() + PROBE_INTERVAL_S
            await trio.sleep_until(due_at)
            delay_ms = (trio.current_time() - due_at) * 1000.0
            self._report.max_loop_delay_ms = max(self._report.max_loop_delay_ms, delay_ms)


async def _stays(lines: LineStream, seconds: float) -> bool:
    """Whether the client is still connected after that time."""
    with trio.move_on_after(seconds):
        while await lines.wait_for_input():
            pass
        return False
    return True
