"""The stubs follow the platform's protocol, and the invariant checker detects each rule that is broken."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from walkloom.config import SettingNames
from walkloom.discovery.watcher import decode
from walkloom.lab import Fault, Fleet, InvariantChecker, StubServer
from walkloom.messages import Lifecycle
from walkloom.transport.line_stream import LineStream

OPEN = b"OPEN %x 7f3a c=tile-view,d=1200\r\n"


def run_with_fleet(
    body: Callable[[Fleet], Awaitable[None]],
    servers: int = 1,
    delay_ms: float = 0.0,
    **server_settings: float,
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await body(await Fleet(nursery).start(servers, delay_ms, **server_settings))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.01))


async def connect(server: StubServer, *lines: bytes) -> LineStream:
    stream = LineStream(await trio.open_tcp_stream("127.0.0.1", server.port))
    for line in lines:
        await stream.send(line)
    return stream


def test_a_server_establishes_connections_echoes_lines_and_reports_its_load() -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.servers["s-0"]
        client = await connect(server, b"PING\r\n")
        assert await client.read_line() == b"PONG\r\n"
        await client.send(OPEN % 1)
        assert await client.read_line() == b"UP 1\r\n"
        await client.send(b"a\r\n")
        assert await client.read_line() == b"a\r\n"
        probe = await connect(server, b"STATS\r\n")
        assert await probe.read_line() == b"PONG served_ps=1.00,busy_reqs=1,x0=0.5000\r\n"
        await server.complete("1")
        assert await client.read_line() == b"BYE\r\n" and await client.read_line() == b"" and server.load == 0

    run_with_fleet(body, max_connections=2)


def test_a_server_whose_setup_queue_is_full_rejects() -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.servers["s-0"]
        answers = []

        async def send_request(number: int) -> None:
            answers.append((await (await connect(server, OPEN % (number + 1))).read_line()).split()[0])

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(send_request, number)
        assert answers.count(b"UP") == 3 and answers.count(b"BUSY") == 7

    run_with_fleet(body, setup_ms=100, max_queue_ms=250)


@pytest.mark.parametrize(
    ("fault", "answer"),
    [(Fault.AT_CAPACITY, b"BUSY\r\n"), (Fault.FAILING, b"ERR\r\n"), (Fault.RESETTING, None)],
)
def test_a_fault_shows_in_its_share_of_the_answers(fault: Fault, answer: bytes | None) -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.servers["s-0"]
        server.fault, server.fault_share = fault, 0.5
        fault_count = 0
        for number in range(40):
            client = await connect(server, OPEN % (number + 1))
            try:
                line: bytes | None = await client.read_line()
            except trio.BrokenResourceError:
                line = None
            fault_count += line == answer
            await client.close()
        assert 10 <= fault_count <= 30

    run_with_fleet(body)


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.TRICKLING])
def test_silent_and_trickling_servers_never_end_a_line(fault: Fault) -> None:
    async def body(fleet: Fleet) -> None:
        server = fleet.servers["s-0"]
        server.fault = fault
        client = await connect(server, OPEN % 1)
        with trio.move_on_after(3) as scope:
            await client.read_line()
        assert scope.cancelled_caught and client.has_buffered_input == (fault is Fault.TRICKLING)

    run_with_fleet(body)


def test_a_paced_drain_migrates_clients_one_after_another() -> None:
    async def body(fleet: Fleet) -> None:
        server, migrated_at = fleet.servers["s-0"], []
        clients = [await connect(server, OPEN % (n + 1)) for n in range(5)]
        for client in clients:
            await client.read_line()

        async def listen(client: LineStream) -> None:
            assert await client.read_line() == b"MOVE\r\n"
            migrated_at.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for client in clients:
                nursery.start_soon(listen, client)
            await fleet.drain("s-0", duration_ms=1000)
        assert [round(t - migrated_at[0], 1) for t in migrated_at] == [0.0, 0.2, 0.4, 0.6, 0.8]
        late = await connect(server, OPEN % 99)
        assert await late.read_line() == b"BUSY\r\n"

    run_with_fleet(body)


def test_a_crash_resets_and_a_restart_is_cold_at_the_old_address() -> None:
    async def body(fleet: Fleet) -> None:
        server, port = fleet.servers["s-0"], fleet.servers["s-0"].port
        client = await connect(server, OPEN % 1)
        await client.read_line()
        await fleet.crash("s-0")
        with pytest.raises(trio.BrokenResourceError):
            await client.read_line()
        with pytest.raises(OSError, match="all attempts to connect"):
            await connect(server)
        await fleet.restart("s-0")
        assert server.port == port and server.capacity_share == pytest.approx(0.4, abs=0.01)
        await trio.sleep(5)
        assert server.capacity_share == pytest.approx(0.7, abs=0.01)
        (row,) = fleet.discovery.endpoint_list()
        assert (
            row["lifecycle"] == "up" and isinstance(row["startedAtMs"], float) and row["startedAtMs"] > 1e12
        )

    run_with_fleet(body, slow_start_min_capacity=0.4, slow_start_ms=10_000)


def test_discovery_answers_with_snapshots_watches_delays_and_outages() -> None:
    async def get(fleet: Fleet, query: str) -> tuple[bytes, bytes]:
        async with await trio.open_tcp_stream(*fleet.discovery.address) as stream:
            await stream.send_all(f"GET /registry/instances{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data or (b" 200" in data[:20] and not data.endswith(b"]}")):
                data += await stream.receive_some(65_536)
            headers, _, rest = data.partition(b"\r\n\r\n")
            return headers.split(b"\r\n")[0], rest

    async def body(fleet: Fleet) -> None:
        await trio.sleep(1)
        names = SettingNames((), (), ("here",), ("std-node",))
        result = decode((await get(fleet, ""))[1], names)
        assert result.whole and [s.id for s in result.servers] == ["s-0", "s-1"] and result.generation == 2
        fleet.discovery.update("s-1", lifecycle="draining")
        start = trio.current_time()
        result = decode((await get(fleet, "?index=2&wait=5000"))[1], names)
        assert trio.current_time() - start == pytest.approx(0.7, abs=0.05) and not result.whole
        assert [(s.id, s.lifecycle) for s in result.servers] == [("s-1", Lifecycle.DRAINING)]
        result = decode((await get(fleet, "?index=3&wait=1000"))[1], names)
        assert result.servers == () and trio.current_time() - start == pytest.approx(1.7, abs=0.1)
        assert decode((await get(fleet, "?index=77"))[1], names).whole
        fleet.discovery.set_outage(True)
        assert b"503" in (await get(fleet, "?index=3&wait=9000"))[0]
        assert b"404" in (await get(fleet, "x"))[0] and b"400" in (await get(fleet, "?index=x"))[0]

    run_with_fleet(body, servers=2, delay_ms=700)


def test_the_invariant_checker_records_each_broken_rule() -> None:
    checker = InvariantChecker()
    first_attempt = checker.attempt_started("a", "1", 0)
    checker.attempt_started("b", "1", 10)
    assert "two attempts at once" in checker.violations[-1]
    for attempt in checker.attempts["1"]:
        checker.attempt_ended(attempt, "ERR", 20)
    checker.attempt_ended(first_attempt, "UP", 30)
    assert checker.outcomes == {"ERR": 2}
    checker.attempt_ended(checker.attempt_started("a", "1", 40), "ERR", 50)
    assert len(checker.violations) == 1
    checker.attempt_started("a", "1", 60)
    assert "attempt 4" in checker.violations[-1]
    checker.watcher_notified("c", False, 1000)
    checker.watcher_notified("c", False, 1200)  # a second watcher
    checker.attempt_started("c", "2", 1700)
    assert len(checker.violations) == 2
    checker.attempt_started("c", "3", 1760)
    assert "560 ms after notice of its drain" in checker.violations[-1]
    checker.watcher_notified("c", True, 1800)
    checker.attempt_started("c", "4", 9000)
    assert checker.violation_count == 3
    for _ in range(500):
        checker.record_violation("x")
    assert len(checker.violations) == 100 and checker.violation_count == 503


def test_a_malformed_request_line_is_recorded_as_a_violation() -> None:
    async def body(fleet: Fleet) -> None:
        client = await connect(fleet.servers["s-0"], b"GET / HTTP/1.1\r\n")
        assert await client.read_line() == b"SYNTAX\r\n" and fleet.invariants.violation_count == 1

    run_with_fleet(body)


def test_a_balancer_does_not_import_the_laboratory() -> None:
    code = "import sys, walkloom.__main__; print([m for m in sys.modules if '.lab' in m])"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert process.stdout.strip() == "[]", process.stdout + process.stderr
