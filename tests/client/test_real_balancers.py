"""The library against real balancers and laboratory servers, on a clock that skips idle time."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
import trio
from trio.testing import MockClock

from walkloom.client import ClassPolicy, ClientError, Failed, Interrupted, Limits, Rejected, TimedOut
from walkloom.client.on_trio import Client
from walkloom.lab import Fault, Fleet

CLASSES = (ClassPolicy("tile-view", 300, 1200), ClassPolicy("label-edit", 300, 1200, worth=2.0))
Body = Callable[[Fleet, Client], Awaitable[None]]


@pytest.fixture(autouse=True)
def suppress_log_warnings() -> None:
    logging.getLogger("walkloom").setLevel(logging.ERROR)


def run_fleet(
    body: Body,
    servers: int = 3,
    balancers: int = 2,
    server_options: dict[str, float] | None = None,
    **limits: float,
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = await Fleet(nursery).start(servers, **(server_options or {}))
            for number in range(balancers):
                await fleet.start_balancer(f"n{number}", balancer_count=balancers)
            addresses = [b.address for b in fleet.balancers.values()]
            async with Client(addresses, CLASSES, Limits(**limits), seed=1) as client:  # type: ignore[arg-type]
                await body(fleet, client)
            assert fleet.invariants.violations == []
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.002))


async def wait_for_established(client: Client, count: int, within_s: float) -> None:
    with trio.fail_after(within_s):
        while client.figures().established < count:
            await trio.sleep(0.05)


SESSION_COUNT = 200


def test_hundreds_of_sessions_reconnect_after_a_drain_with_few_extra_attempts() -> None:
    async def body(fleet: Fleet, client: Client) -> None:
        sessions = []
        for number in range(SESSION_COUNT):
            cls = "label-edit" if number % 5 == 0 else "tile-view"
            sessions.append(await client.open(cls, tenant="herb-serra", group=number % 7 + 1, key=number))
        fullest = max(fleet.servers.values(), key=lambda s: len(s.connections))
        migrating = len(fullest.connections)
        attempts_before = client.figures().counters.attempts
        await fleet.drain(fullest.name)
        await wait_for_established(client, SESSION_COUNT, 20)
        await trio.sleep(1)
        n = client.figures().counters
        assert migrating > 30 and n.migrated >= migrating and n.reconnected == n.migrated and n.lost == 0
        assert n.attempts - attempts_before <= 1.2 * n.migrated and not fullest.connections
        for session in sessions:
            await session.send("still there")
            assert await session.receive() == "still there"

    run_fleet(body, server_options={"max_connections": 200})


def test_established_sessions_survive_a_balancer_restart() -> None:
    async def body(fleet: Fleet, client: Client) -> None:
        for number in range(40):
            await client.open("tile-view", group=number)
        first = fleet.balancers["n0"]
        await first.stop()
        await wait_for_established(client, 40, 10)
        n = client.figures().counters
        assert n.migrated >= 10 and n.broken == 0 and n.lost == 0
        listen = first.address
        await fleet.start_balancer("n0", listen)
        for number in range(40):
            await client.open("tile-view", group=number)
        assert client.figures().established == 80

    run_fleet(body)


def test_established_sessions_survive_a_balancer_crash() -> None:
    async def body(fleet: Fleet, client: Client) -> None:
        sessions = [await client.open("tile-view", group=n) for n in range(40)]
        for session in sessions:
            await session.send("a")
        fleet.balancers["n0"].kill()
        answered = 0
        reported = 0
        for session in sessions:  # each line is either answered or reported as unanswered
            try:
                assert await session.receive() == "a"
                answered += 1
            except Interrupted as error:
                assert error.unanswered == ("a",)
                reported += 1
        await wait_for_established(client, 40, 10)
        n = client.figures().counters
        assert answered + reported == 40 and reported >= 1 and n.broken >= 10 and n.lost == 0

    run_fleet(body)


@pytest.mark.parametrize("fault", [Fault.FAILING, Fault.RESETTING, Fault.AT_CAPACITY])
def test_a_faulty_fleet_is_not_overloaded_by_retries_and_recovers(fault: Fault) -> None:
    async def body(fleet: Fleet, client: Client) -> None:
        async def open_until_established(number: int) -> None:
            await trio.sleep(number * 0.05)
            for _ in range(60):
                with suppress(ClientError):
                    await client.open("tile-view", group=number)
                    return
                await trio.sleep(0.2)

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(open_until_established, number)
            await trio.sleep(1)
            for server in fleet.servers.values():
                server.fault = fault
            await trio.sleep(5)
            for server in fleet.servers.values():
                server.fault = Fault.NONE
        n = client.figures().counters
        assert n.established == 60 and n.requests > 100
        assert n.attempts <= 1.6 * n.established, "retries overloaded the fleet"

    run_fleet(body)


def test_no_attempt_outlives_its_deadline_whatever_the_servers_do() -> None:
    async def body(fleet: Fleet, client: Client) -> None:
        for server, fault in zip(
            fleet.servers.values(), (Fault.SILENT, Fault.TRICKLING, Fault.NONE), strict=True
        ):
            server.fault, server.fault_share = fault, 0.7

        async def open_once(number: int) -> None:
            start = trio.current_time()
            with suppress(Rejected, TimedOut, Failed):
                await client.open("tile-view", group=number)
            assert trio.current_time() - start <= 1.2 + 0.02

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(open_once, number)
        n = client.figures().counters
        assert n.requests == 60 == n.established + n.rejected + n.timed_out + n.failed and n.established >= 10
        await trio.sleep(2)
        assert all(len(server.connections) <= n.established for server in fleet.servers.values())

    run_fleet(body)
