"""One connection of a load: its request, its lines and its end."""

from __future__ import annotations

from contextlib import suppress
from random import Random

import trio

from walkloom.lab.load.options import LoadOptions
from walkloom.lab.load.report import LoadReport
from walkloom.lab.settings import LabClass
from walkloom.transport.line_stream import LineError, LineStream

LINE = b"SHEET 17\r\n"  # any line of the platform: servers and balancers do not look into it
MIN_TIMEOUT_MS = 1.0  # the least that a request line can say


class LoadConnection:
    """A client that opens one connection, sends lines at their times and closes it at the end of its life."""

    def __init__(self, options: LoadOptions, report: LoadReport, seed: int, due_s: float) -> None:
        """Draw the client; `due_s` is when its request was to begin, from which its delays count."""
        self._options = options
        self._report = report
        self._seed = seed
        self._due_s = due_s
        self._random = Random(seed)
        weights = [each.share for each in options.classes]
        self._class: LabClass = self._random.choices(options.classes, weights)[0]
        self._lines: LineStream | None = None
        # when each line without an answer was to be sent, the oldest first
        self._unanswered_due_s: list[float] = []
        self._last_word = b""

    async def run(self) -> None:
        """Live from the request to the end of the connection."""
        try:
            await self._request()
        except (trio.BrokenResourceError, LineError):
            self._report.failed += 1
        finally:
            if self._lines:
                with trio.CancelScope(shield=True):
                    await self._lines.close()

    # The request

    async def _request(self) -> None:
        answer = b""
        with trio.move_on_at(self._due_s + self._class.deadline_ms / 1000.0) as scope:
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
            await self._established()
        elif answer.startswith(b"BUSY"):
            self._report.rejected += 1
        else:
            self._report.failed += 1

    def _request_line(self, timeout_ms: float) -> bytes:
        tenant = self._random.choice(self._options.tenants)
        group = self._random.randrange(self._options.group_count) + 1
        parameters = f"c={self._class.name},t={tenant},d={max(timeout_ms, MIN_TIMEOUT_MS):.0f},g={group:x}"
        return f"OPEN {self._seed:016x} {self._seed:016x} {parameters}\r\n".encode()

    async def _established(self) -> None:
        setup_ms = (trio.current_time() - self._due_s) * 1000.0
        self._report.established += 1
        self._report.within_objective += setup_ms <= self._class.latency_objective_ms
        self._report.setup_times.add(setup_ms)
        lifetime_s = self._random.expovariate(1.0 / self._options.mean_lifetime_s)
        await self._exchange_lines(trio.current_time() + lifetime_s)

    # The established connection

    async def _exchange_lines(self, until_s: float) -> None:
        with trio.move_on_at(until_s) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_lines)
                await self._receive_lines()
                nursery.cancel_scope.cancel()
        if not scope.cancelled_caught:
            self._report.migrated += self._last_word == b"MOVE"
            self._report.broken += self._last_word not in (b"MOVE", b"BYE")
        self._report.lines_unanswered += len(self._unanswered_due_s)

    async def _receive_lines(self) -> None:
        assert self._lines
        with suppress(trio.BrokenResourceError, LineError):
            while data := await self._lines.read_complete_lines():
                now_s = trio.current_time()
                for line in data.splitlines():
                    self._last_word = line.split(b" ", 1)[0]
                    if self._last_word in (b"MOVE", b"BYE"):
                        return
                    if self._last_word != b"LOAD" and self._unanswered_due_s:
                        self._report.line_times.add((now_s - self._unanswered_due_s.pop(0)) * 1000.0)

    async def _send_lines(self) -> None:
        assert self._lines
        interval_s = self._options.line_interval_s
        due_s = trio.current_time() + interval_s * self._random.random()
        with suppress(trio.BrokenResourceError):
            while interval_s:
                await trio.sleep_until(due_s)
                self._unanswered_due_s.append(due_s)
                self._report.lines_sent += 1
                await self._lines.send(LINE)
                due_s += interval_s
