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

IDLE_S = 5.0  # over which the idle CPU is measured
OPENERS = 50  # tasks that open sessions side by side
SPARE_DESCRIPTORS = 100  # for all that is no session


def play(count: int) -> list[str]:
    """Hold that many sessions, or as many as the descriptors allow, and describe what they cost."""
    allowed = _raise_descriptor_limit()
    if allowed < count + SPARE_DESCRIPTORS:
        print(f"{allowed} descriptors: scaled down from {count} sessions")
        count = allowed - SPARE_DESCRIPTORS
    receiver, sender = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=run_echo_balancer, args=(sender,), daemon=True)
    process.start()
    try:
        return trio.run(_hold, receiver.recv(), count)
    finally:
        process.kill()


def run_echo_balancer(port: multiprocessing.connection.Connection) -> None:
    """Run a balancer that accepts everybody and returns every line; send its port first."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            port.send(await nursery.start(_serve_all))

    _raise_descriptor_limit()
    trio.run(main)


async def _serve_all(task_status: trio.TaskStatus[int]) -> None:
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


async def _hold(port: int, count: int) -> list[str]:
    policy = ClassPolicy("tile-view", 2000, 20_000)
    async with Client([f"127.0.0.1:{port}"], [policy], Limits(setups=200), seed=1) as client:
        rss_before_kib = _rss_kib()
        cpu_before_s = _cpu_s()
        sessions = await _open_all(client, count)
        setup_cpu_s = _cpu_s() - cpu_before_s
        memory_kib = _rss_kib() - rss_before_kib
        cpu_before_s = _cpu_s()
        await trio.sleep(IDLE_S)
        idle_share = (_cpu_s() - cpu_before_s) / IDLE_S
        line_cpu_s = await _exchange_lines(sessions)
        delay = client.figures().line_delays["tile-view"]
    number = len(sessions)
    return [
        f"{number} established sessions in one process: {memory_kib / number:.1f} KiB each, "
        f"{setup_cpu_s / number * 1000:.2f} ms of CPU a set-up, "
        f"{line_cpu_s / number * 1e6:.0f} us of CPU a line and its answer, "
        f"{idle_share * 100:.2f}% of a core when idle (delay p99 {delay.p99:.0f} ms, all lines sent at once)",
        "",
    ]


async def _open_all(client: Client, count: int) -> list[Session]:
    sessions: list[Session] = []

    async def open_some(number: int) -> None:
        for _ in range(number):
            sessions.append(await client.open("tile-view"))

    async with trio.open_nursery() as nursery:
        for _ in range(OPENERS):
            nursery.start_soon(open_some, count // OPENERS)
    return sessions


async def _exchange_lines(sessions: list[Session]) -> float:
    """Send a line on each session, as viewers do every two seconds; return the CPU time in s."""
    cpu_before_s = _cpu_s()
    for session in sessions:
        await session.send("sheet 17")
    for session in sessions:
        await session.receive()
    return _cpu_s() - cpu_before_s


def _raise_descriptor_limit() -> int:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def _rss_kib() -> int:
    text = Path("/proc/self/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
