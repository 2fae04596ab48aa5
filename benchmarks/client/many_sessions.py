"""Memory and CPU of many established sessions in one process."""

from __future__ import annotations

import multiprocessing
import multiprocessing.connection
import resource
from contextlib import suppress
from pathlib import Path

import trio

from walkloom.client import ClassPolicy, Limits
from walkloom.client.driver import Session
from walkloom.client.on_trio import Client

IDLE_DURATION_S = 5.0  # of the measurement of the idle CPU share
OPENER_COUNT = 50  # concurrent tasks that open sessions
RESERVED_DESCRIPTORS = 100  # for everything that is not a session


def measure_sessions(count: int) -> list[str]:
    """Measure that many sessions, or as many as the descriptor limit allows; return the report's lines."""
    descriptor_limit = _raise_descriptor_limit()
    if descriptor_limit < count + RESERVED_DESCRIPTORS:
        print(f"{descriptor_limit} descriptors available: reducing the {count} requested sessions")
        count = descriptor_limit - RESERVED_DESCRIPTORS
    receiver, sender = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=run_echo_balancer, args=(sender,), daemon=True)
    process.start()
    try:
        return trio.run(_measure, receiver.recv(), count)
    finally:
        process.kill()


def run_echo_balancer(pipe: multiprocessing.connection.Connection) -> None:
    """Run a balancer that accepts every request and echoes every line; send its port through the pipe."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            pipe.send(await nursery.start(_serve_echo))

    _raise_descriptor_limit()
    trio.run(main)


async def _serve_echo(task_status: trio.TaskStatus[int]) -> None:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=4096)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, _echo, [listener])
        task_status.started(listener.socket.getsockname()[1])


async def _echo(stream: trio.SocketStream) -> None:
    with suppress(trio.BrokenResourceError):
        await stream.receive_some(4096)
        await stream.send_all(b"UP 1\r\n")
        while data := await stream.receive_some(4096):
            await stream.send_all(data)


async def _measure(port: int, count: int) -> list[str]:
    policy = ClassPolicy("tile-view", 2000, 20_000)
    async with Client([f"127.0.0.1:{port}"], [policy], Limits(setups=200), seed=1) as client:
        rss_before_kib = _rss_kib()
        cpu_before_s = _cpu_s()
        sessions = await _open_all(client, count)
        setup_cpu_s = _cpu_s() - cpu_before_s
        memory_kib = _rss_kib() - rss_before_kib
        cpu_before_s = _cpu_s()
        await trio.sleep(IDLE_DURATION_S)
        idle_share = (_cpu_s() - cpu_before_s) / IDLE_DURATION_S
        line_cpu_s = await _exchange_lines(sessions)
        delay = client.figures().line_delays["tile-view"]
    session_count = len(sessions)
    return [
        f"{session_count} established sessions in one process: {memory_kib / session_count:.1f} KiB each, "
        f"{setup_cpu_s / session_count * 1000:.2f} ms of CPU a set-up, "
        f"{line_cpu_s / session_count * 1e6:.0f} us of CPU a line and its answer, "
        f"{idle_share * 100:.2f}% of a core when idle (delay p99 {delay.p99:.0f} ms, all lines sent at once)",
        "",
    ]


async def _open_all(client: Client, count: int) -> list[Session]:
    sessions: list[Session] = []

    async def open_sessions(number: int) -> None:
        for _ in range(number):
            sessions.append(await client.open("tile-view"))

    async with trio.open_nursery() as nursery:
        for _ in range(OPENER_COUNT):
            nursery.start_soon(open_sessions, count // OPENER_COUNT)
    return sessions


async def _exchange_lines(sessions: list[Session]) -> float:
    """Send a line on each session, as viewers do every two seconds, and read the answer.

    Returns the CPU time in s.
    """
    cpu_before_s = _cpu_s()
    for session in sessions:
        await session.send("sheet 17")
    for session in sessions:
        await session.receive()
    return _cpu_s() - cpu_before_s


def _raise_descriptor_limit() -> int:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit


def _rss_kib() -> int:
    text = Path("/proc/self/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
