"""The load tool: open-loop arrivals, delays without coordinated omission, and checks of the tool itself."""

from __future__ import annotations

import pickle
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio
from trio.testing import MockClock

from walkloom.client.metrics import Histogram
from walkloom.lab import Fault, Fleet
from walkloom.lab.load import Load, Phase, Report, arrivals, play


def against(body: Callable[[Fleet], Awaitable[Report]], servers: int = 1, **tile: float) -> Report:
    async def main() -> Report:
        async with trio.open_nursery() as nursery:
            report = await body(await Fleet(nursery).start(servers, **tile))
            nursery.cancel_scope.cancel()
        return report

    return trio.run(main, clock=MockClock(autojump_threshold=0.002))


def load(fleet: Fleet, *phases: str, **changes: object) -> Load:
    addresses = tuple(tile.address for tile in fleet.servers.values())
    return Load(addresses, tuple(map(Phase.parse, phases)), **changes)  # type: ignore[arg-type]


def test_arrivals_follow_the_phases_and_the_seed() -> None:
    phases = (Phase.parse("100:10"), Phase.parse("0-200:10"), Phase.parse("0:5"), Phase.parse("50:2"))
    times = list(arrivals(phases, 1.0, Random(1)))
    counts = [sum(a <= t < a + 5 for t in times) for a in range(0, 25, 5)]
    assert times == sorted(times) == list(arrivals(phases, 1.0, Random(1)))
    assert 420 <= counts[0] <= 580 and 190 <= counts[2] <= 320 and 650 <= counts[3] <= 850 and counts[4] == 0
    assert 70 <= sum(t >= 25 for t in times) <= 130 and max(times) < 27
    half = list(arrivals(phases, 0.5, Random(2)))
    assert 0.4 < len(half) / len(times) < 0.6


def test_a_sound_server_is_seen_as_it_is() -> None:
    async def body(fleet: Fleet) -> Report:
        return await play(load(fleet, "20:10", life_s=2.0, line_s=0.5))

    report = against(body, setup_ms=5.0)
    assert report.up == report.arrivals and 150 <= report.up <= 250 and report.in_aim == report.up
    assert 4.5 <= report.setup.at(50) <= 12 and report.lines > 300 and report.unanswered <= 30
    assert report.broken == report.moved == report.failed == 0 and report.too_slow() == ""
    assert any("within the aim" in text for _, text in report.rows())


def test_a_stall_is_charged_for_all_that_came_meanwhile() -> None:
    async def body(fleet: Fleet) -> Report:
        tile = fleet.servers["s-0"]
        async with trio.open_nursery() as nursery:

            async def stall() -> None:
                await trio.sleep(4)
                tile.capacity.stall_until(trio.current_time() * 1000.0 + 1000.0)

            nursery.start_soon(stall)
            return await play(load(fleet, "50:8", life_s=0.2, line_s=0.0))

    report = against(body, setup_ms=1.0, max_queue_ms=5000.0)
    # one eighth of all arrivals waited half a second in the mean; a closed loop would have seen one of them
    assert report.setup.at(50) < 5 and report.setup.at(95) >= 300 and report.setup.at(99) >= 700


@pytest.mark.parametrize(
    "fault, name", [(Fault.AT_CAPACITY, "refused"), (Fault.FAILING, "failed"), (Fault.SILENT, "timed_out")]
)
def test_each_kind_of_answer_has_its_count(fault: Fault, name: str) -> None:
    async def body(fleet: Fleet) -> Report:
        fleet.servers["s-0"].fault = fault
        return await play(load(fleet, "10:3"))

    report = against(body)
    assert getattr(report, name) == report.arrivals > 10 and report.up == 0


def test_moved_broken_and_unconnected_connections_are_told_apart() -> None:
    async def body(fleet: Fleet) -> Report:
        async def fault() -> None:
            await trio.sleep(2)
            await fleet.drain("s-0")
            await trio.sleep(1)
            await fleet.crash("s-1")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault)
            return await play(load(fleet, "20:5", life_s=100.0))

    report = against(body, servers=2)
    assert report.moved >= 10 and report.broken >= 10 and report.unconnected >= 10 and report.refused >= 10


def test_the_tool_says_when_it_was_the_one_that_was_late() -> None:
    async def body(fleet: Fleet) -> Report:
        return await play(load(fleet, "20:5", life_s=100.0, open_most=10))

    report = against(body)
    assert report.up == 10 and report.unsent == report.arrivals - 10 and "not sent" in report.too_slow()
    late = Report()
    late.late.add(50.0)
    assert "late" in late.too_slow() and "of a core" in Report(cpu_part=0.95).too_slow()


def test_reports_of_several_processes_are_one() -> None:
    parts = [Report(arrivals=2, up=1, cpu_part=0.5), Report(arrivals=3, up=2, cpu_part=0.2)]
    for part, ms in zip(parts, (10.0, 30.0), strict=True):
        part.setup.add(ms)
    total = Report()
    for part in parts:
        total.add(pickle.loads(pickle.dumps(part)))
    assert (total.arrivals, total.up, total.cpu_part, total.setup.count) == (5, 3, 0.5, 2)
    assert total.setup.at(100) == pytest.approx(30.0, rel=0.02) and Histogram().at(99) == 0.0
