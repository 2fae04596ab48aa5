"""Both drivers against scripted balancers: both must pass the same tests."""

from __future__ import annotations

import shutil
import subprocess
import sys
import textwrap
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

import pytest

from tests.client.scripted_balancer import (
    VIEW,
    Balancer,
    Body,
    LoopAdapter,
    run_asyncio,
    run_trio,
    serve_in_thread,
)
from walkloom.client import Failed, Interrupted, Rejected, TimedOut, blocking
from walkloom.client.errors import ClientError
from walkloom.client.settings import Limits

Run = Callable[..., None]
ECHO_SCRIPT = "> UP 7\necho"
on_both_loops = pytest.mark.parametrize("run", [run_trio, run_asyncio], ids=["trio", "asyncio"])


def open_raises(error: type[ClientError], within_ms: float, text: str = "") -> Body:
    """Return a test body that expects `open` to raise the error within the time."""

    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers) as client:
            start = adapter.now()
            with pytest.raises(error, match=text):
                await client.open("tile-view", tenant="acme")
            # 20 ms allow for the delay of the event loop on a busy machine
            assert (adapter.now() - start) * 1000 <= within_ms + 20
            assert client.figures().sessions == 0
        await adapter.sleep(0.5)
        assert not any(b.open_connections for b in balancers)

    return body


@on_both_loops
@pytest.mark.parametrize(
    ("scripts", "error", "within", "text"),
    [
        (["hold"], TimedOut, 1200, "no answer"),
        (["raw BUSY 10\nhold"], TimedOut, 1200, "no answer"),
        (["trickle 100"], TimedOut, 1200, "no answer"),
        (["wait 1190\n> BUSY 5"], Rejected, 1200, "rejected"),
        (["wait 1230\n> BUSY 5"], TimedOut, 1200, "no answer"),
        (["> BUSY 1300"], Rejected, 100, "retry after"),
        (["> ERR"], Failed, 1200, "ERR"),
        (["reset"], Failed, 1200, "broke"),
        (["> HTTP/1.1 400 Bad Request\n> x"], Failed, 1200, "HTTP/1.1 400"),
        ([r"raw \xff\xfe\r\n" + "\nhold"], Failed, 100, "not text"),
        (["flood"], Failed, 100, "over 4096 bytes"),
        (["> UP 1\nwait 50\nflood"], None, 0, ""),
    ],
)
def test_a_malformed_or_late_answer_raises_its_error_in_time(
    run: Run, scripts: list[str], error: type[ClientError] | None, within: float, text: str
) -> None:
    if error is not None:
        return run(open_raises(error, within, text), Balancer(scripts))

    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers) as client:
            session = await client.open("tile-view")
            with pytest.raises(Failed, match="over 4096 bytes"):
                await session.receive()
            with pytest.raises(Failed, match="over 4096 bytes"):
                await session.send("a")

    run(body, Balancer(scripts))
    return None


@on_both_loops
def test_lines_pass_both_ways_until_the_server_ends_the_session(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with (
            adapter.client(balancers) as client,
            await client.open("tile-view", tenant="t", key=5) as session,
        ):
            assert session.receipt == "7" and session.established
            await session.send("a é")
            await session.send("b")
            assert [line async for line in session] == ["A", "B"]
            assert not session.established and await session.receive() is None
            with pytest.raises(ClientError):
                await session.send("c")

    run(body, Balancer(["> UP 7\nexpect a é\nexpect b\n> A\n> B\n> LOAD 2\n> BYE\nwait 10"]))


@on_both_loops
def test_a_migrated_session_reconnects_with_its_key_and_group(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers) as client:
            session = await client.open("tile-view", tenant="t", key=5, group=6)
            with pytest.raises(Interrupted) as error:
                await session.send("a")
                await session.receive()
            assert error.value.unanswered == ("a",) and error.value.why == "moved"
            await session.send("b")
            assert await session.receive() == "b" and session.receipt == "8"
            first, second = balancers[0].opening_lines
            assert first.split()[2] == second.split()[2] == f"{5:016x}" and "again=1" in second
            assert f"g={6:016x}" in second and first.split()[1] != second.split()[1]

    run(body, Balancer(["> UP 7\nexpect a\nraw MO\nwait 20\nraw VE\\r\\n", "> UP 8\necho"]))


@on_both_loops
def test_a_healthy_balancer_serves_beside_a_dead_and_a_silent_one(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        dead, silent, healthy = balancers
        dead.port = 1  # no process listens on this port
        async with adapter.client(balancers, retry_reserve=30) as client:
            for _ in range(12):
                start = adapter.now()
                with suppress(TimedOut, Failed):
                    await client.open("tile-view")
                assert (adapter.now() - start) * 1000 <= 1200 + 20
            figures = client.figures()
            assert (
                figures.counters.established >= 9
                and len(healthy.opening_lines) == figures.counters.established
            )
            assert figures.counters.ejections >= 1 and len(silent.opening_lines) <= 4

    run(body, Balancer(["hold"]), Balancer(["hold"]), Balancer([ECHO_SCRIPT]))


@on_both_loops
def test_a_session_is_established_after_five_seconds_of_rejections(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers) as client:
            start = adapter.now()
            rejections = 0
            session = None
            while session is None:
                try:
                    session = await client.open("tile-view")
                except Rejected as error:
                    rejections += 1
                    assert error.retry_after > 0
                    await adapter.sleep(error.retry_after / 1000)
            assert adapter.now() - start >= 5 and len(balancers[0].opening_lines) <= 8 and rejections >= 1

    scripts = ["> BUSY 1000"] * 5 + [ECHO_SCRIPT]
    run(body, Balancer(scripts))


@on_both_loops
def test_a_caller_that_does_not_receive_stops_the_server_and_bounds_the_memory(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers, lines_in=8) as client:
            session = await client.open("tile-view")
            await adapter.sleep(1)
            inbox_size = len(session._core_session.inbox)
            await adapter.sleep(1)
            assert inbox_size == len(session._core_session.inbox) <= 8 + 16_384 // 102
            for _ in range(1000):
                assert len(await session.receive() or "") == 100

    run(body, Balancer(["> UP 1\n" + f"> {'x' * 100}\n" * 1000 + "hold"]))


@on_both_loops
def test_a_server_that_does_not_read_blocks_the_sender_and_no_line_is_lost(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers, lines_out=100_000, silence_ms=60_000) as client:
            session = await client.open("tile-view")
            sent = 0

            async def flood() -> None:
                nonlocal sent
                while sent < 20_000:
                    await session.send(f"{sent} {'x' * 1000}")
                    sent += 1

            assert await adapter.cancelled_after(30_000, flood)
            assert sent < 20_000
            for n in range(sent):
                line = await session.receive()
                assert line and line.split()[0] == str(n)

    run(body, Balancer(["> UP 1\nwait 5000\necho"]))


@on_both_loops
def test_cancelling_the_caller_at_every_await_leaves_nothing_behind(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        async with adapter.client(balancers) as client:

            async def use() -> None:
                async with await client.open("tile-view") as session:
                    for n in range(3):
                        await session.send(str(n))
                        assert await session.receive() == str(n)

            outcomes = [await adapter.cancelled_after(steps, use) for steps in range(120)]
            assert any(outcomes) and not all(outcomes)
            await adapter.sleep(0.1)
            figures, n = client.figures(), client.figures().counters
            assert figures.sessions == 0 and n.requests == n.established + n.abandoned and n.abandoned > 0
            assert not any(b.open_connections for b in balancers) and client.connections == {}

    run(body, Balancer([ECHO_SCRIPT]))


@on_both_loops
def test_an_exception_of_the_caller_propagates_unchanged_and_closes_all(run: Run) -> None:
    async def body(adapter: LoopAdapter, balancers: Sequence[Balancer]) -> None:
        with pytest.raises(KeyError):
            async with adapter.client(balancers) as client:
                await client.open("tile-view")
                raise KeyError("mine")
        await adapter.sleep(0.1)
        assert not any(b.open_connections for b in balancers)

    run(body, Balancer([ECHO_SCRIPT]))


def test_the_blocking_client_works_in_a_script() -> None:
    balancer = Balancer([ECHO_SCRIPT])
    with (
        serve_in_thread(balancer),
        blocking.Client([balancer.address], [VIEW], Limits(lines_out=4)) as client,
    ):
        with client.open("tile-view", tenant="t") as session:
            session.send("a")
            assert session.receive() == "a" and session.receipt == "7" and session.standing
            with pytest.raises(TimeoutError):
                session.receive(timeout=0.01)
            session.send("b")
            assert next(session) == "b"
        with pytest.raises(ValueError, match="no class"):
            client.open("none")
        assert client.figures().counters.established == 1


def test_the_package_imports_without_the_balancer(tmp_path: Path) -> None:
    """Imports a copy of the package in an empty folder: asyncio needs neither the balancer nor trio."""
    source = Path(__file__).parents[2] / "walkloom" / "client"
    shutil.copytree(source, tmp_path / "walkloom" / "client", ignore=shutil.ignore_patterns("__pycache__"))
    code = """
        import sys
        from walkloom.client import ClassPolicy, Rejected
        from walkloom.client import blocking, on_asyncio
        extra = {name for name in sys.modules if name == "trio" or name.startswith("walkloom.")}
        assert all(name.startswith("walkloom.client") for name in extra), extra
        print(on_asyncio.__file__)
    """
    completed = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(code)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0 and str(tmp_path) in completed.stdout, completed.stderr


def test_a_balancer_imports_nothing_of_the_client() -> None:
    code = "import sys, walkloom.__main__; print([m for m in sys.modules if 'client' in m or 'hdrh' in m])"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert completed.stdout.strip() == "[]", completed.stdout + completed.stderr
