"""Beside the RPCs: asks servers for their load when the policy wants it, over one connection each."""

from __future__ import annotations

import logging
from contextlib import suppress

import trio

from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine
from walkloom.messages import EndpointId
from walkloom.transport.line_stream import LineStream, first_word, open_line_stream
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")
ANSWER_S = 0.5
FIGURE_MOST = 1e6
IDLE_S = 10.0  # a connection that no probe has used for so long is closed


class LoadReportPoller:
    def __init__(self, engine: Engine, watcher: EndpointWatcher, fields: tuple[str, ...], most: int) -> None:
        self._engine, self._watcher, self._fields, self._most = engine, watcher, fields, most
        self._skipped = RateLimitedLog("probe-skipped")
        self._open: dict[EndpointId, trio.MemorySendChannel[None]] = {}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            async for server in self._engine.load_report_requests:
                if server not in self._open:
                    if len(self._open) >= self._most:  # guards the descriptors in a large fleet
                        self._skipped.count(f"{server}: {self._most} probed")
                        continue
                    self._open[server], asked = trio.open_memory_channel[None](1)
                    nursery.start_soon(self._stand, server, asked)
                try:
                    self._open[server].send_nowait(None)
                except trio.WouldBlock:
                    self._skipped.count(f"{server}: the one before is out")

    async def _stand(self, server: EndpointId, asked: trio.MemoryReceiveChannel[None]) -> None:
        """One server's probes, one at a time, until they fail or stop coming."""
        line: LineStream | None = None
        dialed: tuple[str, int] | None = None
        try:
            while await _question(asked):
                with trio.fail_after(ANSWER_S):
                    address = self._watcher.address(server)
                    if line and address == dialed:
                        with suppress(trio.BrokenResourceError):
                            await self._ask(server, line)
                            continue
                    # guards against a server that closes what rests, in this moment too, or has moved
                    if line:
                        await line.close()
                    line, dialed = await open_line_stream(address) if address else None, address
                    if line is None:
                        return
                    await self._ask(server, line)
        except Exception as error:  # guards the program: a probe that breaks ends itself only
            log.info("probe-failed server=%s error=%r", server, error)
        finally:
            del self._open[server]
            if line:
                with trio.CancelScope(shield=True):
                    await line.close()

    async def _ask(self, server: EndpointId, line: LineStream) -> None:
        start = self._engine.now()
        await line.send(b"STATS\r\n")
        answer = await line.read_line()
        if not answer:
            raise trio.BrokenResourceError("ended")
        # not now: guards the server against a new connection for each such answer
        if first_word(answer) == b"ERR":
            return
        if first_word(answer) != b"PONG":
            raise ValueError(answer)
        self._engine.load_report_received(server, self._engine.now() - start, decode(answer, self._fields))


async def _question(asked: trio.MemoryReceiveChannel[None]) -> bool:
    """The next question; False if none comes for long."""
    with trio.move_on_after(IDLE_S):
        await asked.receive()
        return True
    with suppress(trio.WouldBlock):  # guards one that came in the tick in which the time was over
        asked.receive_nowait()
        return True
    return False


def decode(answer: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The load report of a PONG, in the settings' order; empty where it has none or lacks a field. ValueError
    where a figure is none: one nan would spoil the means that the module keeps."""
    parts = answer.decode("ascii").split()
    if len(parts) < 2:  # guards the program's start: a server that was never asked has no report yet
        return ()
    values = dict(item.split("=", 1) for item in parts[1].split(","))
    report = tuple(float(values[name]) for name in fields) if values.keys() >= set(fields) else ()
    if not all(0.0 <= x <= FIGURE_MOST for x in report):
        raise ValueError(f"no load report: {parts[1][:80]}")
    return report
