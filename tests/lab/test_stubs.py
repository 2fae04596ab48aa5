"""The laboratory's stand-ins follow the protocol, and its ledger sees each rule that is broken on purpose."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from walkloom.config import SettingNames
from walkloom.discovery.watcher import decode
from walkloom.lab import Fleet, Ledger, TileServer, Trouble
from walkloom.messages import Lifecycle
from walkloom.transport.line_stream import LineStream

OPEN = b"OPEN %x 7f3a c=tile-view,d=1200\r\n"


def play(
    body: Callable[[Fleet], Awaitable[None]], servers: int = 1, delay_ms: float = 0.0, **tile: float
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await body(await Fleet(nursery).start(servers, delay_ms, **tile))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.01))


async def dial(server: TileServer, *lines: bytes) -> LineStream:
    made = LineStream(await trio.open_tcp_stream("127.0.0.1", server.port))
    for line in lines:
        await made.send(line)
    return made


def test_a_sound_server_comes_up_returns_lines_and_tells_its_load() -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.tiles["s-0"]
        client = await dial(server, b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"
        await client.send(OPEN % 1)
        assert await client.read_line() == b"UP 1\r\n"
        await client.send(b"a\r\n")
        assert await client.read_line() == b"a\r\n"
        probe = await dial(server, b"STATS\r\n")
        assert await probe.read_line() == b"PONG served_ps=1.00,busy_reqs=1,x0=0.5000\r\n"
        await server.bye("1")
        assert await client.read_line() == b"BYE\r\n" and await client.read_line() == b"" and server.load == 0

    play(body, slots=2)


def test_a_full_server_and_one_with_too_much_work_turn_away() -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.tiles["s-0"]
        answers = []

        async def ask(number: int) -> None:
            answers.append((await (await dial(server, OPEN % (number + 1))).read_line()).split()[0])

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(ask, number)
        assert answers.count(b"UP") == 3 and answers.count(b"BUSY") == 7

    play(body, setup_ms=100, queue_ms=250)


@pytest.mark.parametrize(
    "trouble, answer", [(Trouble.FULL, b"BUSY\r\n"), (Trouble.FAILING, b"ERR\r\n"), (Trouble.RESETTING, None)]
)
def test_a_trouble_shows_in_its_share_of_the_answers(trouble: Trouble, answer: bytes | None) -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.tiles["s-0"]
        server.trouble, server.share = trouble, 0.5
        bad = 0
        for number in range(40):
            client = await dial(server, OPEN % (number + 1))
            try:
                line: bytes | None = await client.read_line()
            except trio.BrokenResourceError:
                line = None
            bad += line == answer
            await client.close()
        assert 10 <= bad <= 30

    play(body)


@pytest.mark.parametrize("trouble", [Trouble.SILENT, Trouble.TRICKLING])
def test_silent_and_trickling_servers_never_end_a_line(trouble: Trouble) -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.tiles["s-0"]
        server.trouble = trouble
        client = await dial(server, OPEN % 1)
        with trio.move_on_after(3) as scope:
            await client.read_line()
        assert scope.cancelled_caught and client.has_buffered_input == (trouble is Trouble.TRICKLING)

    play(body)


def test_a_paced_drain_sends_clients_away_one_after_another() -> None:
    async def body(fleet: Fleet) -> None:
        server, at = fleet.tiles["s-0"], []
        clients = [await dial(server, OPEN % (n + 1)) for n in range(5)]
        for client in clients:
            await client.read_line()

        async def listen(client: LineStream) -> None:
            assert await client.read_line() == b"MOVE\r\n"
            at.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(listen, client)
            await fleet.drain("s-0", over_ms=1000)
        assert [round(t - at[0], 1) for t in at] == [0.0, 0.2, 0.4, 0.6, 0.8]
        late = await dial(server, OPEN % 99)
        assert await late.read_line() == b"BUSY\r\n"

    play(body)


def test_a_crash_resets_and_a_restart_is_cold_under_the_old_address() -> None:
    async def body(fleet: Fleet) -> None:
        server, port = fleet.tiles["s-0"], fleet.tiles["s-0"].port
        client = await dial(server, OPEN % 1)
        await client.read_line()
        await fleet.crash("s-0")
        with pytest.raises(trio.BrokenResourceError):
            await client.read_line()
        with pytest.raises(OSError):
            await dial(server)
        await fleet.restart("s-0")
        assert server.port == port and server.capacity() == pytest.approx(0.4, abs=0.01)
        await trio.sleep(5)
        assert server.capacity() == pytest.approx(0.7, abs=0.01)
        (row,) = fleet.discovery.listed()
        assert (
            row["lifecycle"] == "up" and isinstance(row["startedAtMs"], float) and row["startedAtMs"] > 1e12
        )

    play(body, cold_from=0.4, cold_ms=10_000)


def test_discovery_answers_whole_late_as_a_watch_and_not_at_all() -> None:
    async def get(fleet: Fleet, query: str) -> tuple[bytes, bytes]:
        async with await trio.open_tcp_stream(*fleet.discovery.address) as stream:
            await stream.send_all(f"GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data or (b" 200" in data[:20] and not data.endswith(b"]}")):
                data += await stream.receive_some(65_536)
            head, _, rest = data.partition(b"\r\n\r\n")
            return head.split(b"\r\n")[0], rest

    async def body(fleet: Fleet) -> None:
        await trio.sleep(1)
        names = SettingNames((), (), ("here",), ("std-node",))
        result = decode((await get(fleet, ""))[1], names)
        assert result.whole and [s.id for s in result.servers] == ["s-0", "s-1"] and result.generation == 2
        fleet.discovery.change("s-1", state="draining")
        start = trio.current_time()
        result = decode((await get(fleet, "?index=2&wait=5000"))[1], names)
        assert trio.current_time() - start == pytest.approx(0.7, abs=0.05) and not result.whole
        assert [(s.id, s.lifecycle) for s in result.servers] == [("s-1", Lifecycle.DRAINING)]
        result = decode((await get(fleet, "?index=3&wait=1000"))[1], names)
        assert result.servers == () and trio.current_time() - start == pytest.approx(1.7, abs=0.1)
        assert decode((await get(fleet, "?index=77"))[1], names).whole
        fleet.discovery.outage(True)
        assert b"503" in (await get(fleet, "?index=3&wait=9000"))[0]
        assert b"404" in (await get(fleet, "x"))[0] and b"400" in (await get(fleet, "?index=x"))[0]

    play(body, servers=2, delay_ms=700)


def test_the_ledger_sees_each_rule_that_is_broken() -> None:
    ledger = Ledger()
    first = ledger.began("a", "1", 0)
    ledger.began("b", "1", 10)
    assert "two attempts at once" in ledger.faults[-1]
    for attempt in ledger.attempts["1"]:
        ledger.ended(attempt, "ERR", 20)
    ledger.ended(first, "UP", 30)
    assert ledger.outcomes == {"ERR": 2}
    ledger.ended(ledger.began("a", "1", 40), "ERR", 50)
    assert len(ledger.faults) == 1
    ledger.began("a", "1", 60)
    assert "attempt 4" in ledger.faults[-1]
    ledger.told("c", True, 1000)
    ledger.told("c", True, 1200)  # another watcher
    ledger.began("c", "2", 1700)
    assert len(ledger.faults) == 2
    ledger.began("c", "3", 1760)
    assert "560 ms after its drain" in ledger.faults[-1]
    ledger.told("c", False, 1800)
    ledger.began("c", "4", 9000)
    assert ledger.faults_in_all == 3
    for _ in range(500):
        ledger.fault("x")
    assert len(ledger.faults) == 100 and ledger.faults_in_all == 503


def test_a_server_that_is_sent_rubbish_says_so_to_the_ledger() -> None:
    async def body(fleet: Fleet) -> None:
        client = await dial(fleet.tiles["s-0"], b"GET / HTTP/1.1\r\n")
        assert await client.read_line() == b"SYNTAX\r\n" and fleet.ledger.faults_in_all == 1

    play(body)


def test_nothing_of_the_laboratory_loads_in_a_balancer() -> None:
    code = "import sys, walkloom.__main__; print([m for m in sys.modules if '.lab' in m])"
    got = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert got.stdout.strip() == "[]", got.stdout + got.stderr
