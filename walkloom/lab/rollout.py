"""A release before the true modules: servers replaced in steps while the balancers restart by tenths.

Built on `walkloom.lab.simulator`, with what such a day needs beside it: zones, groups whose every holder pays, load
reports that come late, cold servers and the count that makes one fall (rule 4), servers that hang. What it is
for: the pairs of server and group, which a fleet pays for and no single balancer sees.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import numpy as np

from walkloom.lab.settings import CLASSES
from walkloom.lab.simulator.simulator import LOOK_MS, Client, Experiment, Result, Server, Sim
from walkloom.messages import AttemptStatus, EndpointListUpdate, Lifecycle, UpdateKind

NEW_MS = 2500.0  # from the drain of a server to the start of the one that replaces it
SILENT_MS = 4000.0  # after which a balancer gives up the connections of a server that hangs
PILE_S, PILE_MOST_S = 0.06, 1.5  # of work: nothing is in time beyond, and some are dropped beyond
SHED_TO = 0.9  # the load to which an overloaded server drops its heaviest


@dataclass(frozen=True, slots=True)
class Rollout(Experiment):
    """groups: so many, by Zipf's law; a server pays group_cost mean connections for each that it holds any
    of. standing: connections at the start, packed by group. replaced: the share of the servers, in ten steps;
    restarts: of the balancers, by tenths; hung: of the servers, from a tenth of the run on. report_ms: how
    late a load report comes."""

    drains: float = 0.0
    crashes: float = 0.0
    failing: float = 0.0
    life_s: float = 30.0
    zones: int = 3
    groups: int = 32
    group_cost: float = 3.0
    standing: int = 600
    replaced: float = 0.5
    restarts: bool = True
    hung: float = 0.05
    report_ms: float = 200.0


@dataclass
class RolloutResult(Result):
    """pairs: of a server and a group that it holds, at each look. cold_peak: the most that a cold server got
    within a window, over what makes it fall. resets: connections that overloaded servers dropped."""

    pairs: list[int] = field(default_factory=list)
    cold_peak: float = 0.0
    resets: int = 0


@dataclass(eq=False, slots=True)
class _Beside:
    """What a server of such a day has beside its connections."""

    groups: Counter[int] = field(default_factory=Counter)
    reports: list[tuple[float, float, float]] = field(default_factory=list)  # when, connections, load
    came: list[float] = field(default_factory=list)  # attempts within the last window
    pile: float = 0.0  # seconds of work that wait
    hung: bool = False


class Release(Sim):
    e: Rollout
    result: RolloutResult

    def __init__(self, experiment: Rollout) -> None:
        self._beside: dict[str, _Beside] = {}
        self._stopping = set[int]()
        self._processes = experiment.balancers
        super().__init__(experiment)
        self.result = RolloutResult()
        self.settings = replace(
            self.settings, zone_count=experiment.zones, affinity_groups=experiment.groups > 0
        )
        self.balancers = [self.balancer(n, n) for n in range(experiment.balancers)]
        for n, server in enumerate(self.servers.values()):
            server.zone = n % experiment.zones
        parts = 1.0 / np.arange(1, experiment.groups + 1)
        self._parts = parts / parts.sum()

    def add_server(self, zone: int = 0, since: float = 0.0) -> Server:
        server = super().add_server(zone, since)
        self._beside[server.id] = _Beside()
        return server

    # Clients

    def arrivals(self) -> Iterator[tuple[float, Client]]:
        """All that come, after those that stand already."""
        lives = self.rng.exponential(self.e.life_s * 1000.0, self.e.standing)
        loads = self.rng.gamma(4.0, 0.25 / self.e.fill, self.e.standing)
        standing = [
            self._belonging(Client(n % len(CLASSES), 0, float(loads[n]), self.now + float(lives[n])))
            for n in range(self.e.standing)
        ]
        standing.sort(key=lambda c: c.group)
        servers = list(self.servers.values())
        for n, client in enumerate(standing):
            self.stands(client, servers[n * len(servers) // len(standing)])
        for when, client in super().arrivals():
            yield when, self._belonging(client)

    def _belonging(self, client: Client) -> Client:
        client.zone = int(self.rng.integers(self.e.zones))
        if self.e.groups:
            client.group = 1 + int(self.rng.choice(self.e.groups, p=self._parts))
        return client

    def front(self, client: Client) -> int:
        """One of its zone that does not stop; where all there do, any that does not, and at last any."""
        up = [n for n in range(self.e.balancers) if n not in self._stopping]
        up = [n for n in up if n % self.e.zones == client.zone] or up or list(range(self.e.balancers))
        return up[int(self.rng.integers(len(up)))]

    # Servers

    def hold(self, server: Server, client: Client) -> None:
        super().hold(server, client)
        if client.group:
            self._beside[server.id].groups[client.group] += 1

    def let_go(self, server: Server, client: Client) -> None:
        super().let_go(server, client)
        groups = self._beside[server.id].groups
        if client.group:
            groups[client.group] -= 1
            groups += Counter()  # drops those that are none

    def asked(self, server: Server) -> float:
        groups = len(self._beside[server.id].groups)
        return (server.load + self.e.group_cost * groups / self.e.fill) / self._warmth(server)

    def _warmth(self, server: Server) -> float:
        cold, least = self.settings.slow_start_ms, self.settings.slow_start_min_capacity
        return min(least + (1.0 - least) * (self.now - server.since) / cold, 1.0) if server.since else 1.0

    def report(self, server: Server) -> tuple[float, float, float] | None:
        beside = self._beside[server.id]
        if not server.up or beside.hung:
            return None
        told = [r for r in beside.reports if r[0] <= self.now - self.e.report_ms]
        return (0.0, told[-1][1], told[-1][2]) if told else (0.0, 0.0, 0.0)

    def takes(self, server: Server) -> bool:
        """Rule 4: so many attempts within one window make a cold server fall."""
        beside = self._beside[server.id]
        if server.since and self.now - server.since < self.settings.slow_start_ms:
            window = self.settings.cold_overload_window_ms
            beside.came = [at for at in beside.came if at > self.now - window] + [self.now]
            most = (
                self.settings.cold_overload_factor
                * self.e.fill
                / self.settings.slow_start_ms
                * window
                * self._warmth(server)
            )
            part = len(beside.came) / (most + 3 * most**0.5 + 3)
            self.result.cold_peak = max(self.result.cold_peak, part)
            if part > 1.0:
                self.fault(f"{server.id} falls: {len(beside.came)} came within {window:.0f} ms")
        return not beside.hung

    # The day

    def story(self) -> None:
        servers = list(self.servers.values())
        chosen = [servers[i] for i in self.rng.permutation(len(servers))]
        length, replaced = self._end - self._begin, round(self.e.replaced * len(servers))
        for n in range(replaced):
            self.at(self._begin + length * (0.2 + 0.04 * (10 * n // replaced)), self._replace, chosen.pop())
        for _ in range(round(self.e.hung * len(servers))):
            self.at(self._begin + length * 0.1, self._hang, chosen.pop())
        if self.e.restarts:
            for n, number in enumerate(self.rng.permutation(self.e.balancers)):
                when = self._begin + length * (0.1 + 0.06 * (10 * n // self.e.balancers))
                self.at(when, self._stop, int(number))

    def _replace(self, server: Server) -> None:
        self.drain(server)
        self.at(self.now + NEW_MS, self._start, server.zone)

    def _start(self, zone: int) -> None:
        self.listed(self.add_server(zone, self.now), Lifecycle.READY)

    def _hang(self, server: Server) -> None:
        self._beside[server.id].hung = True
        for client in list(server.held.values()):
            self.at(self.now + SILENT_MS, self._drop, client, client.rid, AttemptStatus.CONNECTION_RESET)

    def _stop(self, number: int) -> None:
        """New ones stop coming; after 2 s all move evenly within 0.9 s; after 4 s a new process is there."""
        self._stopping.add(number)
        for client in [c for c in self._open.values() if c.where == number and c.server is not None]:
            wait = 2000.0 + float(self.rng.uniform(0.0, 900.0))
            self.at(self.now + wait, self._drop, client, client.rid, AttemptStatus.CANCELLED)
        self.at(self.now + 4000.0, self._back, number)

    def _drop(self, client: Client, rid: int, status: AttemptStatus) -> None:
        if client.rid == rid and client.server is not None:
            self.leave(client, status)
            self.come_back(client)

    def _back(self, number: int) -> None:
        for client in [c for c in self._open.values() if c.where == number]:
            if client.server is not None:
                self._drop(client, client.rid, AttemptStatus.CANCELLED)
            elif not client.over:
                self.answered(client, "stopped", 0.0)
        self.balancers[number] = self.balancer(number, self._processes)
        self._processes += 1
        self._told[number] = {}
        self._stopping.discard(number)
        lines = tuple(self.line(server) for server in self.servers.values() if server.up)
        for kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            self._tell(number, EndpointListUpdate(kind, lines))

    # What is seen

    def in_time(self, server: Server) -> float:
        beside, load = self._beside[server.id], self.asked(server)
        beside.reports = [*beside.reports[-4:], (self.now, float(len(server.held)), load)]
        beside.pile = max(beside.pile + (load - 1.0) * LOOK_MS / 1000.0, 0.0)
        if beside.pile > PILE_MOST_S:
            beside.pile = 0.0
            for client in sorted(server.held.values(), key=lambda c: c.load, reverse=True):
                if self.asked(server) < SHED_TO:
                    break
                self.result.resets += 1
                self._drop(client, client.rid, AttemptStatus.CONNECTION_RESET)
        return float(beside.pile <= PILE_S and not beside.hung)

    def look(self) -> None:
        super().look()
        self.result.pairs.append(sum(len(b.groups) for b in self._beside.values()))


def run(experiment: Rollout) -> RolloutResult:
    sim = Release(experiment)
    sim.run()
    return sim.result
