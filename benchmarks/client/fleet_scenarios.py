"""The drain of a full server and the outage of all servers, with clients that retry in different ways.

A viewer (`benchmarks.client.viewers`) keeps one session established, with or without the client library.
"""

from __future__ import annotations

import logging
import math
import statistics
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from benchmarks.client.viewers import POLICIES, CountingClient, LibraryViewer, PlainViewer, Viewer, class_of
from walkloom.client import Limits
from walkloom.lab import Fleet

VIEWER_COUNT = 300
BALANCER_COUNT = 3
INITIAL_SERVER_COUNT = 2  # one of them becomes full
SERVER_COUNT = 6
SERVER_MAX_CONNECTIONS = 170
SERVER_SETUP_MS = 20.0  # 50 set-ups a second
SERVER_MAX_QUEUE_MS = 300.0  # 15 set-ups may wait
BIN_S = 0.1  # the period over which attempts are counted for their peak
SAMPLE_INTERVAL_S = 0.05  # of the viewers' state
FILL_TIMEOUT_S = 12.0  # until all viewers are established
SETTLE_S = 2.0  # before the event
OUTAGE_S = 5.0
OBSERVATION_S = 20.0  # after the start of an outage; half of it after a drain
RECONNECTED_SHARE = 0.99
LIBRARY_CLIENT_COUNT = 8
BEHAVIOURS = ("retry at once", "backoff", "library", f"library, {LIBRARY_CLIENT_COUNT} clients")
SCENARIOS = ("drain", "outage")
COLUMNS = (
    "clients",
    "disconnected",
    "peak attempts in 100 ms",
    "peak/mean",
    "attempts",
    "attempts per success",
    "99% reconnected, s",
    "weight served",
    "invariants violated",
)


class Sample(NamedTuple):
    """The state of all viewers at one time."""

    at_s: float  # after the event
    established: int
    weight: float  # sum of the priority weights of the established ones


@dataclass
class Record:
    """The record of one scenario with one behaviour; times are in s after the event."""

    attempt_times_s: list[float] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    successes: int = 0
    disconnected: int = 0  # by the event
    violations: list[str] = field(default_factory=list)  # of invariants, as the servers report them

    def reconnected_s(self) -> float:
        """When 99% of the viewers were established again; infinite if they never were."""
        lowest_index = min(range(len(self.samples)), key=lambda index: self.samples[index].established)
        later_samples = self.samples[lowest_index:]
        required_count = RECONNECTED_SHARE * VIEWER_COUNT
        return next(
            (sample.at_s for sample in later_samples if sample.established >= required_count), math.inf
        )

    def attempt_bins(self, window_s: float) -> list[int]:
        """Count the attempts of each BIN_S of the window."""
        bins = [0] * max(math.ceil(window_s / BIN_S), 1)
        for at_s in self.attempt_times_s:
            if 0 <= at_s < len(bins) * BIN_S:
                bins[int(at_s / BIN_S)] += 1
        return bins


def run_scenario(behaviour: str, scenario: str) -> Record:
    """Run one scenario with one behaviour."""
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_run_scenario, behaviour, scenario)


async def _run_scenario(behaviour: str, scenario: str) -> Record:
    record = Record()
    async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
        fleet = await Fleet(nursery).start(
            INITIAL_SERVER_COUNT,
            max_connections=SERVER_MAX_CONNECTIONS,
            setup_ms=SERVER_SETUP_MS,
            max_queue_ms=SERVER_MAX_QUEUE_MS,
        )
        for number in range(BALANCER_COUNT):
            await fleet.start_balancer_process(f"n{number}", balancer_count=BALANCER_COUNT)
        viewers = await _start_viewers(behaviour, fleet, record, nursery, stack)
        await _wait_until_established(viewers)
        for number in range(INITIAL_SERVER_COUNT, SERVER_COUNT):
            await fleet.add_server(
                f"s-{number}",
                max_connections=SERVER_MAX_CONNECTIONS,
                setup_ms=SERVER_SETUP_MS,
                max_queue_ms=SERVER_MAX_QUEUE_MS,
            )
        await trio.sleep(SETTLE_S)
        setups_before = _setup_count(fleet)
        event_at = trio.current_time()
        await _start_event(scenario, fleet, record, nursery)
        await _sample_viewers(
            viewers, record, event_at, OBSERVATION_S if scenario == "outage" else OBSERVATION_S / 2
        )
        record.successes = _setup_count(fleet) - setups_before
        record.attempt_times_s = [
            attempted_at - event_at for attempted_at in record.attempt_times_s if attempted_at >= event_at
        ]
        record.violations = fleet.invariants.violations
        nursery.cancel_scope.cancel()
    return record


def _setup_count(fleet: Fleet) -> int:
    return sum(server.setup_count for server in fleet.servers.values())


async def _start_viewers(
    behaviour: str, fleet: Fleet, record: Record, nursery: trio.Nursery, stack: AsyncExitStack
) -> Sequence[Viewer]:
    addresses = [balancer.address for balancer in fleet.balancers.values()]

    def on_attempt() -> None:
        record.attempt_times_s.append(trio.current_time())

    if not behaviour.startswith("library"):
        plain_viewers = [PlainViewer(number, on_attempt) for number in range(VIEWER_COUNT)]
        for viewer in plain_viewers:
            nursery.start_soon(viewer.run, addresses, behaviour == "backoff")
        return plain_viewers
    clients = list[CountingClient]()
    for number in range(1 if behaviour == "library" else LIBRARY_CLIENT_COUNT):
        client = CountingClient(addresses, POLICIES, Limits(), seed=number)
        client.on_attempt = on_attempt
        clients.append(await stack.enter_async_context(client))
    library_viewers = [LibraryViewer(number, on_attempt) for number in range(VIEWER_COUNT)]
    for library_viewer in library_viewers:
        nursery.start_soon(library_viewer.run, clients[library_viewer.number % len(clients)])
    return library_viewers


async def _wait_until_established(viewers: Sequence[Viewer]) -> None:
    with trio.move_on_after(FILL_TIMEOUT_S):
        while sum(viewer.established for viewer in viewers) < VIEWER_COUNT:
            await trio.sleep(SAMPLE_INTERVAL_S)


async def _start_event(scenario: str, fleet: Fleet, record: Record, nursery: trio.Nursery) -> None:
    if scenario == "drain":
        fullest = max(fleet.servers.values(), key=lambda server: len(server.connections))
        record.disconnected = len(fullest.connections)
        await fleet.drain(fullest.name)
        return
    record.disconnected = VIEWER_COUNT
    for name in list(fleet.servers):
        await fleet.crash(name)
    nursery.start_soon(_end_outage, fleet)


async def _end_outage(fleet: Fleet) -> None:
    await trio.sleep(OUTAGE_S)
    for name in list(fleet.servers):
        await fleet.restart(name)


async def _sample_viewers(
    viewers: Sequence[Viewer], record: Record, event_at: float, duration_s: float
) -> None:
    while (at_s := trio.current_time() - event_at) < duration_s:
        established = [viewer for viewer in viewers if viewer.established]
        weight = sum(viewer.request_class.priority_weight for viewer in established)
        record.samples.append(Sample(at_s, len(established), weight))
        await trio.sleep(SAMPLE_INTERVAL_S)


def format_table(scenario: str, records: dict[str, Record]) -> list[str]:
    """Return the records of a scenario as lines of Markdown.

    One window applies to all of them. It ends when the slowest behaviour has 99% of its viewers established
    again, at the latest after OBSERVATION_S.
    """
    window_s = min(max(record.reconnected_s() for record in records.values()), OBSERVATION_S)
    rows = [f"{scenario}: {VIEWER_COUNT} viewers, window {window_s:.1f} s", ""]
    rows.append("| " + " | ".join(COLUMNS) + " |")
    rows.append("|" + "---|" * len(COLUMNS))
    rows += [_row(behaviour, record, window_s) for behaviour, record in records.items()]
    return [*rows, ""]


def _row(behaviour: str, record: Record, window_s: float) -> str:
    bins = record.attempt_bins(window_s)
    peak = max(bins)
    total_weight = sum(class_of(number).priority_weight for number in range(VIEWER_COUNT))
    weights = [sample.weight for sample in record.samples if sample.at_s <= window_s]
    cells = (
        behaviour,
        str(record.disconnected),
        str(peak),
        f"{peak * len(bins) / max(sum(bins), 1):.1f}",
        str(len(record.attempt_times_s)),
        f"{len(record.attempt_times_s) / max(record.successes, 1):.2f}",
        f"{record.reconnected_s():.1f}",
        f"{statistics.mean(weights) / total_weight:.3f}",
        str(len(record.violations)),
    )
    return "| " + " | ".join(cells) + " |"
