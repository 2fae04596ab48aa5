"""The load tool: open-loop arrivals, delays without coordinated omission, and checks of its own lateness."""

from __future__ import annotations

import pickle
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio
from trio.testing import MockClock

from walkloom.client.metrics import Histogram
from walkloom.lab import Fault, Fleet
from walkloom.lab.load import LoadOptions, LoadReport, Phase, draw_arrivals, generate_load


def run_against_fleet(
    body: Callable[[Fleet], Awaitable[LoadReport]], server_count: int = 1, **server_settings: float
) -> LoadReport:
    async def main() -> LoadReport:
        async with trio.open_nursery() as nursery:
            report = await body(await Fleet(nursery).start(server_count, **server_settings))
            nursery.cancel_scope.cancel()
        return report

    return trio.run(main, clock=MockClock(autojump_threshold=0.002))


def load_options(fleet: Fleet, *phases: str, **changes: object) -> LoadOptions:
    addresses = tuple(server.address for server in fleet.servers.values())
    return LoadOptions(addresses, tuple(map(Phase.parse, phases)), **changes)  # type: ignore[arg-type]


def test_arrivals_follow_the_phases_and_the_seed() -> None:
    phases = (Phase.parse("100:10"), Phase.parse("0-200:10"), Phase.parse("0:5"), Phase.parse("50:2"))
    times = list(draw_arrivals(phases, 1.0, Random(1)))
    counts = [sum(a <= t < a + 5 for t in times) for a in range(0, 25, 5)]
    assert times == sorted(times) == list(draw_arrivals(phases, 1.0, Random(1)))
    assert 420 <= counts[0] <= 580
    assert 190 <= counts[2] <= 320
    assert 650 <= counts[3] <= 850
    assert counts[4] == 0
    assert 70 <= sum(t >= 25 for t in times) <= 130 and max(times) < 27
    half = list(draw_arrivals(phases, 0.5, Random(2)))
    assert 0.4 < len(half) / len(times) < 0.6


def test_a_server_without_faults_has_a_clean_report() -> None:
    async def body(fleet: Fleet) -> LoadReport:
        return await generate_load(load_options(fleet, "20:10", mean_lifetime_s=2.0, line_interval_s=0.5))

    report = run_against_fleet(body, setup_ms=5.0)
    assert report.established == report.arrivals
    assert 150 <= report.established <= 250
    assert report.within_objective == report.established
    assert 4.5 <= report.setup_times.value_at(50) <= 12
    assert report.lines_sent > 300
    assert report.lines_unanswered <= 30
    assert report.broken == report.migrated == report.failed == 0 and report.unreliability_reason() == ""
    assert any("within the aim" in text for _, text in report.rows())


def test_a_stall_is_counted_as_delay_of_all_arrivals_during_it() -> None:
    async def body(fleet: Fleet) -> LoadReport:
        server = fleet.servers["s-0"]
        async with trio.open_nursery() as nursery:

            async def stall() -> None:
                await trio.sleep(4)
                server.capacity.stall_until(trio.current_time() * 1000.0 + 1000.0)

            nursery.start_soon(stall)
            return await generate_load(load_options(fleet, "50:8", mean_lifetime_s=0.2, line_interval_s=0.0))

    report = run_against_fleet(body, setup_ms=1.0, max_queue_ms=5000.0)
    # The stall delays one eighth of all arrivals by half a second on average; a closed loop would record one
    # delayed arrival.
    assert report.setup_times.value_at(50) < 5
    assert report.setup_times.value_at(95) >= 300
    assert report.setup_times.value_at(99) >= 700


@pytest.mark.parametrize(
    ("fault", "name"),
    [(Fault.AT_CAPACITY, "rejected"), (Fault.FAILING, "failed"), (Fault.SILENT, "timed_out")],
)
def test_each_kind_of_answer_is_counted_separately(fault: Fault, name: str) -> None:
    async def body(fleet: Fleet) -> LoadReport:
        fleet.servers["s-0"].fault = fault
        return await generate_load(load_options(fleet, "10:3"))

    report = run_against_fleet(body)
    assert getattr(report, name) == report.arrivals > 10 and report.established == 0


def test_migrations_broken_connections_and_connect_failures_are_counted_separately() -> None:
    async def body(fleet: Fleet) -> LoadReport:
        async def play_faults() -> None:
            await trio.sleep(2)
            await fleet.drain("s-0")
            await trio.sleep(1)
            await fleet.crash("s-1")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(play_faults)
            return await generate_load(load_options(fleet, "20:5", mean_lifetime_s=100.0))

    report = run_against_fleet(body, server_count=2)
    assert report.migrated >= 10
    assert report.broken >= 10
    assert report.connect_failures >= 10
    assert report.rejected >= 10


def test_the_report_gives_the_reason_when_the_tool_was_too_slow() -> None:
    async def body(fleet: Fleet) -> LoadReport:
        return await generate_load(load_options(fleet, "20:5", mean_lifetime_s=100.0, max_connections=10))

    report = run_against_fleet(body)
    assert report.established == 10
    assert report.skipped == report.arrivals - 10
    assert "not sent" in report.unreliability_reason()
    late = LoadReport()
    late.lateness.add(50.0)
    assert "late" in late.unreliability_reason()
    assert "of a core" in LoadReport(cpu_share=0.95).unreliability_reason()


def test_reports_of_several_processes_add_up() -> None:
    parts = [
        LoadReport(arrivals=2, established=1, cpu_share=0.5),
        LoadReport(arrivals=3, established=2, cpu_share=0.2),
    ]
    for part, ms in zip(parts, (10.0, 30.0), strict=True):
        part.setup_times.add(ms)
    total = LoadReport()
    for part in parts:
        total.add(pickle.loads(pickle.dumps(part)))
    assert (total.arrivals, total.established, total.cpu_share, total.setup_times.count) == (5, 3, 0.5, 2)
    assert (
        total.setup_times.value_at(100) == pytest.approx(30.0, rel=0.02) and Histogram().value_at(99) == 0.0
    )
