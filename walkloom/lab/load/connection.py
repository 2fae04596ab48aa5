"""One connection of a load: its request, its lines and its end."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import trio

from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.report import LoadReport
from walkloom.lab.settings import LabClass
from walkloom.transport.line_stream import LineError, LineStream

LINE = b"SHEET 17\r\n"  # any content will do: servers and balancers do not parse it
MIN_TIMEOUT_MS = 1.0  # of a request line, which gives it as a whole number above 0


class LoadConnection:
    """Opens one connection, sends lines on schedule and closes it at the end of its lifetime."""

    def __init__(self, options: LoadOptions, report: LoadReport, seed: int, due_at_s: float) -> None:
        """Draw the client's parameters; `due_at_s` is the scheduled start, from which delays are measured."""
        self._options = options
        self._report = report
        self._seed = seed
        self._due_at_s = due_at_s
        self._random = Random(seed)
        weights = [each.share for each in options.classes]
        self._class: LabClass = self._random.choices(options.classes, weights)[0]
        self._lines: LineStream | None = None
        # scheduled times of the lines that are not answered yet, the oldest first
        self._unanswered_due_at_s: list[float] = []
        self._last_command = b""

    async def run(self) -> None:
        """Run the connection from its request to its end."""
        try:
            await self._send_request()
        except (trio.BrokenResourceError, LineError):
            self._report.failed += 1
        finally:
            if self._lines:
                with trio.CancelScope(shield=True):
                    await self._lines.close()

    # The request

    async def _send_request(self) -> None:
        answer = b""
        with trio.move_on_at(self._due_at_s + self._class.deadline_ms / 1000.0) as scope:
            host, _, port = self._random.choice(self._options.addresses).rpartition(":")
            try:
                self._lines = LineStream(await trio.open_tcp_stream(host, int(port)))
            except OSError:
                self._report.connect_failures += 1
                return
            await self._lines.send(self._request_line((scope.deadline - trio.current_time()) * 1000.0))
            answer = await self._lines.read_line()
        if scope.cancelled_caught:
            self._report.timed_out += 1
        elif answer.startswith(b"UP"):
            await self._run_established()
        elif answer.startswith(b"BUSY"):
            self._report.rejected += 1
        else:
            self._report.failed += 1

    def _request_line(self, timeout_ms: float) -> bytes:
        tenant = self._random.choice(self._options.tenants)
        group = self._random.randrange(self._options.group_count) + 1
        parameters = f"c={self._class.name},t={tenant},d={max(timeout_ms, MIN_TIMEOUT_MS):.0f},g={group:x}"
        return f"OPEN {self._seed:016x} {self._seed:016x} {parameters}\r\n".encode()

    async def _run_established(self) -> None:
        setup_ms = (trio.current_time() - self._due_at_s) * 1000.0
        self._report.established += 1
        self._report.within_objective += setup_ms <= self._class.latency_objective_ms
        self._report.setup_times.add(setup_ms)
        lifetime_s = self._random.expovariate(1.0 / self._options.mean_lifetime_s)
        await self._exchange_lines(trio.current_time() + lifetime_s)

    # The established connection

    async def _exchange_lines(self, end_at_s: float) -> None:
        with trio.move_on_at(end_at_s) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_lines)
                await self._receive_lines()
                nursery.cancel_scope.cancel()
        if not scope.cancelled_caught:
            self._report.migrated += self._last_command == b"MOVE"
            self._report.broken += self._last_command not in (b"MOVE", b"BYE")
        self._report.lines_unanswered += len(self._unanswered_due_at_s)

    async def _receive_lines(self) -> None:
        assert self._lines
        with suppress(trio.BrokenResourceError, LineError):
            while data := await self._lines.read_complete_lines():
                now_s = trio.current_time()
                for line in data.splitlines():
                    self._last_command = line.split(b" ", 1)[0]
                    if self._last_command in (b"MOVE", b"BYE"):
                        return
                    if self._last_command != b"LOAD" and self._unanswered_due_at_s:
                        self._report.line_times.add((now_s - self._unanswered_due_at_s.pop(0)) * 1000.0)

    async def _send_lines(self) -> None:
        assert self._lines
        interval_s = self._options.line_interval_s
        due_at_s = trio.current_time() + interval_s * self._random.random()
        with suppress(trio.BrokenResourceError):
            while interval_s:
                await trio.sleep_until(due_at_s)
                self._unanswered_due_at_s.append(due_at_s)
                self._report.lines_sent += 1
                await self._lines.send(LINE)
                due_at_s += interval_s
