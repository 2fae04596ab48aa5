"""A client that follows the page "Protocol": one request, then a line every 2 s until it leaves."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import suppress
from dataclasses import dataclass

from stand_ins.record import Record

LINE_INTERVAL_S = 2.0


@dataclass
class Outcome:
    """What a client saw; times are s of the record, inf: never."""

    request: str
    sent_at: float = float("inf")
    deadline_ms: int = 0
    answered_at: float = float("inf")
    answer: str = ""
    ended_at: float = float("inf")
    last_line: str = ""
    lines_sent: int = 0
    lines_back: int = 0
    left: bool = False


async def run_client(
    port: int, request_class: str, deadline_ms: int, record: Record, life_s: float = 30.0
) -> Outcome:
    """Send one request to the balancer at a loopback port, and use its connection for `life_s`.

    Returns what was seen; a connection that the balancer does not accept is an outcome without `sent_at`.
    """
    outcome = Outcome(secrets.token_hex(8), deadline_ms=deadline_ms)
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        record.write(f"client {outcome.request} was not accepted")
        return outcome
    try:
        await _use(reader, writer, outcome, request_class, record, life_s)
    except OSError as error:
        outcome.ended_at = record.write(f"client {outcome.request} connection broke: {error!r}")
    finally:
        with suppress(OSError):
            writer.close()
    return outcome


async def _use(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    outcome: Outcome,
    request_class: str,
    record: Record,
    life_s: float,
) -> None:
    fields = f"c={request_class},t=herb-ufsul,d={outcome.deadline_ms}"
    line = f"OPEN {outcome.request} {secrets.token_hex(8)} {fields}\r\n"
    writer.write(line.encode())
    outcome.sent_at = record.write(f"client {outcome.request} sent {line.strip()!r}")
    with suppress(TimeoutError):
        async with asyncio.timeout(outcome.deadline_ms / 1000 + 2.0):
            answer = (await reader.readline()).decode(errors="replace").strip()
            outcome.answer = answer
            outcome.answered_at = record.write(f"client {outcome.request} got {answer!r}")
    if not outcome.answer.startswith("UP"):
        return

    async def send_lines() -> None:
        with suppress(OSError):
            while True:
                outcome.lines_sent += 1
                writer.write(f"line {outcome.lines_sent}\r\n".encode())
                await asyncio.sleep(LINE_INTERVAL_S)

    sender = asyncio.create_task(send_lines())
    try:
        async with asyncio.timeout(life_s):
            while data := await reader.readline():
                outcome.last_line = data.decode(errors="replace").strip()
                if outcome.last_line.startswith("line"):
                    outcome.lines_back += 1
            outcome.ended_at = record.write(f"client {outcome.request} ended, last {outcome.last_line!r}")
    except TimeoutError:
        outcome.left = True
        record.write(f"client {outcome.request} leaves")
    finally:
        sender.cancel()
