"""A drain of a full server and an outage of all servers, by how the clients retry."""

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

VIEWERS = 300
BALANCERS = 3
FIRST_SERVERS = 2  # one of them is full
ALL_SERVERS = 6
SERVER_SLOTS = 170
SERVER_SETUP_MS = 20.0  # 50 set-ups a second
SERVER_QUEUE_MS = 300.0  # 15 may wait
BIN_S = 0.1  # of the peak of attempts
SAMPLE_S = 0.05  # between two looks at the viewers
FILL_S = 12.0  # at most, until all viewers are established
SETTLE_S = 2.0  # before the event
OUTAGE_S = 5.0
WATCH_S = 20.0  # after an outage; half of it after a drain
RECONNECTED_SHARE = 0.99
LIBRARY_CLIENTS = 8
BEHAVIOURS = ("retry at once", "backoff", "library", f"library, {LIBRARY_CLIENTS} clients")
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
    """One look at all viewers."""

    at_s: float  # after the event
    established: int
    weight: float  # the priority weight of those that are established


@dataclass
class Record:
    """One behaviour through one scenario; times in s after the event."""

    attempts: list[float] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    successes: int = 0
    disconnected: int = 0  # by the event
    violations: list[str] = field(default_factory=list)  # of invariants, as the servers saw it

    def reconnected_s(self) -> float:
        """When 99% were established again; infinite if they never were."""
        lowest = min(range(len(self.samples)), key=lambda index: self.samples[index].established)
        after_lowest = self.samples[lowest:]
        enough = RECONNECTED_SHARE * VIEWERS
        return next((sample.at_s for sample in after_lowest if sample.established >= enough), math.inf)

    def attempt_bins(self, window_s: float) -> list[int]:
        """Count the attempts of each BIN_S of the window."""
        bins = [0] * max(math.ceil(window_s / BIN_S), 1)
        for at_s in self.attempts:
            if 0 <= at_s < len(bins) * BIN_S:
                bins[int(at_s / BIN_S)] += 1
        return bins


def play(behaviour: str, scenario: str) -> Record:
    """Play one scenario with one behaviour."""
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    return trio.run(_play, behaviour, scenario)


async def _play(behaviour: str, scenario: str) -> Record:
    record = Record()
    async with trio.open_nursery() as nursery, AsyncExitStack() as stack:
        fleet = await Fleet(nursery).start(
            FIRST_SERVERS,
            max_connections=SERVER_SLOTS,
            setup_ms=SERVER_SETUP_MS,
            max_queue_ms=SERVER_QUEUE_MS,
        )
        for number in range(BALANCERS):
            await fleet.start_balancer_process(f"n{number}", balancer_count=BALANCERS)
        viewers = await _start_viewers(behaviour, fleet, record, nursery, stack)
        await _fill(viewers)
        for number in range(FIRST_SERVERS, ALL_SERVERS):
            await fleet.add_server(
                f"s-{number}",
                max_connections=SERVER_SLOTS,
                setup_ms=SERVER_SETUP_MS,
                max_queue_ms=SERVER_QUEUE_MS,
            )
        await trio.sleep(SETTLE_S)
        setups_before = _setups(fleet)
        event_at = trio.current_time()
        await _start_event(scenario, fleet, record, nursery)
        await _watch(viewers, record, event_at, WATCH_S if scenario == "outage" else WATCH_S / 2)
        record.successes = _setups(fleet) - setups_before
        record.attempts = [at - event_at for at in record.attempts if at >= event_at]
        record.violations = fleet.invariants.violations
        nursery.cancel_scope.cancel()
    return record


def _setups(fleet: Fleet) -> int:
    return sum(server.setup_count for server in fleet.servers.values())


async def _start_viewers(
    behaviour: str, fleet: Fleet, record: Record, nursery: trio.Nursery, stack: AsyncExitStack
) -> Sequence[Viewer]:
    addresses = [balancer.address for balancer in fleet.balancers.values()]

    def on_attempt() -> None:
        record.attempts.append(trio.current_time())

    if not behaviour.startswith("library"):
        plain = [PlainViewer(number, on_attempt) for number in range(VIEWERS)]
        for viewer in plain:
            nursery.start_soon(viewer.run, addresses, behaviour == "backoff")
        return plain
    clients = list[CountingClient]()
    for number in range(1 if behaviour == "library" else LIBRARY_CLIENTS):
        client = CountingClient(addresses, POLICIES, Limits(), seed=number)
        client.on_attempt = on_attempt
        clients.append(await stack.enter_async_context(client))
    with_library = [LibraryViewer(number, on_attempt) for number in range(VIEWERS)]
    for library_viewer in with_library:
        nursery.start_soon(library_viewer.run, clients[library_viewer.number % len(clients)])
    return with_library


async def _fill(viewers: Sequence[Viewer]) -> None:
    with trio.move_on_after(FILL_S):
        while sum(viewer.established for viewer in viewers) < VIEWERS:
            await trio.sleep(SAMPLE_S)


async def _start_event(scenario: str, fleet: Fleet, record: Record, nursery: trio.Nursery) -> None:
    if scenario == "drain":
        fullest = max(fleet.servers.values(), key=lambda server: len(server.connections))
        record.disconnected = len(fullest.connections)
        await fleet.drain(fullest.name)
        return
    record.disconnected = VIEWERS
    for name in list(fleet.servers):
        await fleet.crash(name)
    nursery.start_soon(_end_outage, fleet)


async def _end_outage(fleet: Fleet) -> None:
    await trio.sleep(OUTAGE_S)
    for name in list(fleet.servers):
        await fleet.restart(name)


async def _watch(viewers: Sequence[Viewer], record: Record, event_at: float, watch_s: float) -> None:
    while (at_s := trio.current_time() - event_at) < watch_s:
        established = [viewer for viewer in viewers if viewer.established]
        weight = sum(viewer.request_class.priority_weight for viewer in established)
        record.samples.append(Sample(at_s, len(established), weight))
        await trio.sleep(SAMPLE_S)


def table(scenario: str, records: dict[str, Record]) -> list[str]:
    """Format the records of a scenario, with one window for all.

    The window lasts until the slowest behaviour has 99% established again.
    """
    window_s = min(max(record.reconnected_s() for record in records.values()), WATCH_S)
    rows = [f"{scenario}: {VIEWERS} viewers, window {window_s:.1f} s", ""]
    rows.append("| " + " | ".join(COLUMNS) + " |")
    rows.append("|" + "---|" * len(COLUMNS))
    rows += [_row(behaviour, record, window_s) for behaviour, record in records.items()]
    return [*rows, ""]


def _row(behaviour: str, record: Record, window_s: float) -> str:
    bins = record.attempt_bins(window_s)
    peak = max(bins)
    total_weight = sum(class_of(number).priority_weight for number in range(VIEWERS))
    weights = [sample.weight for sample in record.samples if sample.at_s <= window_s]
    cells = (
        behaviour,
        str(record.disconnected),
        str(peak),
        f"{peak * len(bins) / max(sum(bins), 1):.1f}",
        str(len(record.attempts)),
        f"{len(record.attempts) / max(record.successes, 1):.2f}",
        f"{record.reconnected_s():.1f}",
        f"{statistics.mean(weights) / total_weight:.3f}",
        str(len(record.violations)),
    )
    return "| " + " | ".join(cells) + " |"
