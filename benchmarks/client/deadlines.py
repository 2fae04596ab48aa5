"""Deadlines of the client library with irregular balancers: no attempt may outlive its deadline."""

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

PROCESS_COUNT = 5
LATE_TOLERANCE_MS = 25.0  # of attempts and results, for the event loop's own delay on a busy machine
MIN_TIME_LEFT_MS = 1.0  # an attempt that states less counts as started too late
OBJECTIVE_MS = 60.0
TIMEOUT_MS = 200.0
BALANCER_COUNT = 3
CALLER_COUNT = 60  # few enough that the event loop makes no attempt late
PROBE_INTERVAL_S = 0.005  # of the sleeps that measure the event loop's delay


@dataclass
class DeadlineReport:
    """Counts and largest delays of one or more runs."""

    attempts: int = 0
    started_late: int = 0
    ended_late: int = 0
    requests: int = 0
    results_late: int = 0
    max_late_ms: float = 0.0  # the largest delay of an attempt's end after its deadline
    max_loop_delay_ms: float = 0.0  # the largest delay of a sleep's end


def merge_reports(reports: Sequence[DeadlineReport]) -> DeadlineReport:
    """Add up the counts and take the largest delays."""
    merged = DeadlineReport(
        *(sum(getattr(report, each.name) for report in reports) for each in fields(DeadlineReport))
    )
    merged.max_late_ms = max(report.max_late_ms for report in reports)
    merged.max_loop_delay_ms = max(report.max_loop_delay_ms for report in reports)
    return merged


def format_report(report: DeadlineReport) -> str:
    """Return the report as one line of text."""
    return (
        f"deadlines: {report.attempts} attempts of {report.requests} requests; "
        f"started late {report.started_late}, "
        f"alive over {LATE_TOLERANCE_MS:.0f} ms too long {report.ended_late}, "
        f"latest end {report.max_late_ms:.1f} ms after its deadline, "
        f"results over {LATE_TOLERANCE_MS:.0f} ms late {report.results_late}; "
        f"the loop itself was up to {report.max_loop_delay_ms:.1f} ms late\n"
    )


def run_attempts(attempts: int, seed: int) -> DeadlineReport:
    """Make that many attempts on balancers that answer irregularly."""
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_Run(attempts, seed).collect_report)


class _Run:
    """The run of one process: its balancers, its callers and its report."""

    def __init__(self, attempts: int, seed: int) -> None:
        self._attempt_target = attempts
        self._seed = seed
        self._random = Random(seed)
        self._report = DeadlineReport()

    async def collect_report(self) -> DeadlineReport:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure_loop_delay)
            addresses = [await self._start_balancer(nursery) for _ in range(BALANCER_COUNT)]
            limits = Limits(setups=200, retry_share=1.0, retry_reserve=10**9)
            policy = ClassPolicy("fast", OBJECTIVE_MS, TIMEOUT_MS)
            async with (
                Client(addresses, [policy], limits, seed=self._seed) as client,
                trio.open_nursery() as callers,
            ):
                for _ in range(CALLER_COUNT):
                    callers.start_soon(self._run_caller, client)
            nursery.cancel_scope.cancel()
        return self._report

    async def _start_balancer(self, nursery: trio.Nursery) -> str:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])
        return f"127.0.0.1:{listener.socket.getsockname()[1]}"

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Record when an attempt arrives, the time left that it states, and when it ends."""
        line_stream = LineStream(stream)
        try:
            opening_line = await line_stream.read_line()
            accepted_at = trio.current_time()
            if not opening_line:
                return
            time_left_ms = float(opening_line.partition(b"d=")[2].split(b",")[0].split()[0])
            self._report.attempts += 1
            self._report.started_late += time_left_ms < MIN_TIME_LEFT_MS
            await self._answer_irregularly(line_stream, time_left_ms)
            with suppress(trio.BrokenResourceError):
                while await line_stream.read_complete_lines():
                    pass
            late_ms = (trio.current_time() - accepted_at) * 1000.0 - time_left_ms
            self._report.max_late_ms = max(self._report.max_late_ms, late_ms)
            self._report.ended_late += late_ms > LATE_TOLERANCE_MS
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await line_stream.close()

    async def _answer_irregularly(self, line_stream: LineStream, time_left_ms: float) -> None:
        """Answer an error, half a line, a late error or single bytes, or in a third of the cases nothing."""
        match self._random.randrange(6):
            case 0:
                await line_stream.send(b"ERR\r\n")
            case 1:
                await line_stream.send(b"UP 1")
            case 2:
                if await _is_connected_after(line_stream, self._random.random() * time_left_ms / 800.0):
                    await line_stream.send(b"ERR\r\n")
            case 3:
                while await _is_connected_after(line_stream, 0.02):
                    await line_stream.send(b"B")

    async def _run_caller(self, client: Client) -> None:
        while self._report.attempts < self._attempt_target:
            started_at = trio.current_time()
            with suppress(ClientError):
                await client.open("fast")
            self._report.requests += 1
            duration_ms = (trio.current_time() - started_at) * 1000.0
            self._report.results_late += duration_ms > TIMEOUT_MS + LATE_TOLERANCE_MS
            await trio.sleep(0.001)

    async def _measure_loop_delay(self) -> None:
        while True:
            due_at = trio.current_time() + PROBE_INTERVAL_S
            await trio.sleep_until(due_at)
            delay_ms = (trio.current_time() - due_at) * 1000.0
            self._report.max_loop_delay_ms = max(self._report.max_loop_delay_ms, delay_ms)


async def _is_connected_after(line_stream: LineStream, seconds: float) -> bool:
    """Whether the client is still connected after that time; returns earlier if it disconnects."""
    with trio.move_on_after(seconds):
        while await line_stream.wait_for_input():
            pass
        return False
    return True
