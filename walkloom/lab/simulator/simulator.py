"""A simulator in virtual time: the true decision module at many balancers, model servers, one clock, one
heap.

It answers what a change does at sizes that no loopback can hold. Every balancer is a
`walkloom.policy.balancer.Balancer`
that gets the events which `Engine` would tell it; network, servers, registry and clients are models. All
that is
drawn comes from numpy generators made from the seed, so a run is the same to the byte. The rules are
checked on
every action, with each balancer's own knowledge: at most three attempts, never two at once, one final answer
before the deadline, nothing 500 ms after a drain was told.

What the model leaves out: sockets and their limits, the CPU of a balancer, lost packets, and the set-ups a
second in a load report (told as 0; the module reads load and connections). Zones, groups and restarts of
balancers are in `walkloom.lab.rollout`.
"""

from __future__ import annotations

import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from typing import Any

import numpy as np

from walkloom.balancer import Balancer
from walkloom.lab.settings import CLASSES, TENANTS
from walkloom.messages import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    Lifecycle,
    LoadReportReceived,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    RequestClass,
    Settings,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

WAY_MS = 0.5  # one way between any two
DRAIN_MS, ATTEMPTS, ANSWER_MS = 500.0, 3, 8.0
LOOK_MS = 250.0  # between two looks at what is served
TRIES = 3  # of a client that is refused or failed
FAULTS_MOST = 20


@dataclass(frozen=True, slots=True)
class Experiment:
    """rate: new connections a second for each server. life_s: mean. fill: connections of mean load that
    fill a
    server. drains, crashes, failing: shares of the servers, a third, a half and two thirds into the run;
    failing
    servers answer nine set-ups in ten with an error for a sixth of it. list_ms: the registry's delay."""

    servers: int
    balancers: int
    seconds: float = 20.0
    rate: float = 1.0
    life_s: float = 12.0
    fill: int = 20
    setup_ms: float = 5.0
    drains: float = 0.1
    crashes: float = 0.05
    failing: float = 0.1
    list_ms: float = 1000.0
    seed: int = 1


@dataclass
class Result:
    """served: worth of served over worth of wanted seconds. peak: the greatest load of a server that was
    up, over
    what it can do; spread: standard deviation of loads over their mean, in the mean of all looks."""

    served: float = 0.0
    worst_look: float = 1.0
    peak: float = 0.0
    spread: float = 0.0
    connections: int = 0
    moves: int = 0
    probes: int = 0
    events: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    faults: list[str] = field(default_factory=list)
    faults_in_all: int = 0
    # of the machine, not of the experiment
    placement_us: float = 0.0  # CPU of the module for each request, with all events that are not probes
    wall_s: float = 0.0

    def same(self) -> dict[str, Any]:
        """What two runs of one experiment must agree on."""
        return {k: v for k, v in vars(self).items() if k not in ("placement_us", "wall_s")}


@dataclass(eq=False, slots=True)
class Server:
    id: str
    slots: int
    up: bool = True
    draining: bool = False
    failing: bool = False
    busy_until: float = 0.0
    load: float = 0.0
    since: float = 0.0
    zone: int = 0
    held: dict[int, Client] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Client:
    """One connection that somebody wants, over all its requests."""

    cls: int
    tenant: int
    load: float
    until: float  # ms; wants it no longer
    zone: int = 0
    group: int = 0  # 0: none
    tries: int = 0
    returned: bool = False
    # the request that is open, if any
    rid: int = 0
    where: int = -1  # its balancer
    deadline: float = 0.0
    attempts: int = 0
    out: Server | None = None  # its attempt
    server: Server | None = None  # where it stands
    sent_at: float = 0.0
    over: bool = False


class Sim:
    def __init__(self, experiment: Experiment) -> None:
        self.e = experiment
        self.result = Result()
        self.rng = np.random.default_rng(experiment.seed)
        self.now = 1e12  # Unix ms: the module reads starts of servers in it
        self._begin = self.now
        self._end = self.now + experiment.seconds * 1000.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = self._rid = 0
        self._cpu = 0.0
        self.settings = Settings(
            request_classes=tuple(
                RequestClass(
                    latency_objective_ms=c.aim_ms,
                    priority_weight=c.worth,
                    message_latency_objective_ms=c.message_ms,
                )
                for c in CLASSES
            ),
            drain_grace_ms=DRAIN_MS,
            balancer_count=experiment.balancers,
            tenant_quotas=(1 / len(TENANTS),) * len(TENANTS),
            polls_endpoint_list=True,
            max_poll_interval_ms=10_000.0,
            answer_grace_ms=ANSWER_MS,
            slow_start_min_capacity=0.37,
            slow_start_ms=7700.0,
            cold_overload_factor=4.0,
            max_attempts=ATTEMPTS,
            load_reports_available=True,
            server_reports_latency=False,
            load_report_load_index=2,
            load_report_connections_index=1,
            connection_quota=float(experiment.servers * experiment.fill),
            tick_ms=2.0,
            max_retry_after_ms=1500.0,
        )
        self.servers: dict[str, Server] = {}
        for _ in range(experiment.servers):
            self.add_server()
        self.balancers = [self.balancer(n, n) for n in range(experiment.balancers)]
        self._watching = [False] * experiment.balancers
        self._told: list[dict[EndpointId, float]] = [{} for _ in range(experiment.balancers)]
        self._open: dict[int, Client] = {}  # by request
        self._clients = set[Client]()
        self._wanted = self._got = 0.0
        self._spreads: list[float] = []

    def add_server(self, zone: int = 0, since: float = 0.0) -> Server:
        server = Server(f"s-{len(self.servers)}", self.e.fill * 3, since=since, zone=zone)
        self.servers[server.id] = server
        return server

    def balancer(self, number: int, process: int) -> Balancer:
        """A new process of this balancer."""
        settings = replace(self.settings, local_zone=number % self.settings.zone_count)
        return Balancer(settings, seed=self.e.seed * 1000 + process)

    def front(self, client: Client) -> int:
        """The balancer that the client reaches."""
        return int(self.rng.integers(self.e.balancers))

    def line(self, server: Server) -> Endpoint:
        state = Lifecycle.DRAINING if server.draining else Lifecycle.READY if server.up else Lifecycle.REMOVED
        return Endpoint(server.id, server.zone, lifecycle=state, started_at=server.since)

    def asked(self, server: Server) -> float:
        """The load asked of a server, over what it can do now."""
        return server.load

    def report(self, server: Server) -> tuple[float, float, float] | None:
        """What it answers to a probe: set-ups, connections, load; None: nothing."""
        return (0.0, float(len(server.held)), server.load) if server.up else None

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self._number += 1
        heappush(self._heap, (when, self._number, what, args))

    def run(self) -> Result:
        wall = time.perf_counter()
        lines = tuple(self.line(server) for server in self.servers.values())
        for number in range(self.e.balancers):
            self._tell(number, EndpointListUpdate(UpdateKind.CACHED, lines))
            self._tell(number, EndpointListUpdate(UpdateKind.SNAPSHOT, lines))
        for when, client in self.arrivals():
            self.at(when, self._come, client)
        self.story()
        self.at(self.now + LOOK_MS, self.look)
        while self._heap and self._heap[0][0] <= self._end:
            self.now, _, what, args = heappop(self._heap)
            what(*args)
        r = self.result
        r.served = self._got / self._wanted if self._wanted else 1.0
        r.spread = float(np.mean(self._spreads)) if self._spreads else 0.0
        r.placement_us = self._cpu / max(self._rid, 1) * 1e6
        r.wall_s = time.perf_counter() - wall
        return r

    def arrivals(self) -> Iterator[tuple[float, Client]]:
        n = int(self.rng.poisson(self.e.rate * self.e.servers * self.e.seconds))
        times = np.sort(self.rng.uniform(self._begin, self._end, n))
        lives = self.rng.exponential(self.e.life_s * 1000.0, n)
        loads = self.rng.gamma(4.0, 0.25 / self.e.fill, n)
        kinds = self.rng.choice(len(CLASSES), n, p=[c.share for c in CLASSES])
        tenants = self.rng.integers(len(TENANTS), size=n)
        self.result.connections = n
        for i in range(n):
            when = float(times[i])
            yield when, Client(int(kinds[i]), int(tenants[i]), float(loads[i]), when + float(lives[i]))

    def story(self) -> None:
        names = list(self.servers)
        chosen = [names[i] for i in self.rng.permutation(len(names))]
        length = self._end - self._begin
        for share, part, what in (
            (self.e.drains, 1 / 3, self.drain),
            (self.e.crashes, 1 / 2, self._crash),
            (self.e.failing, 2 / 3, self._fail),
        ):
            for _ in range(round(share * len(names))):
                self.at(self._begin + length * part, what, self.servers[chosen.pop()])

    # Clients

    def _come(self, client: Client) -> None:
        """A request, at a random balancer."""
        if self.now >= client.until:
            self._clients.discard(client)
            return
        self._clients.add(client)
        self._rid += 1
        client.rid, client.where = self._rid, self.front(client)
        client.deadline = self.now + CLASSES[client.cls].give_up_ms
        client.attempts, client.out, client.server, client.over = 0, None, None, False
        self._open[client.rid] = client
        self.at(client.deadline + ANSWER_MS + 0.001, self._overdue, client, client.rid)
        self._tell(
            client.where,
            Request(
                id=client.rid,
                request_class=client.cls,
                deadline=client.deadline,
                tenant=client.tenant,
                load=client.load * 1000.0,
                is_retry=client.tries > 0,
                is_reconnect=client.returned,
                affinity_group=client.group or None,
            ),
        )

    def _overdue(self, client: Client, rid: int) -> None:
        if client.rid == rid and not client.over and client.server is None:
            self.fault(f"request {rid} has no final answer {ANSWER_MS:.0f} ms after its deadline")
            self.answered(client, "none", 0.0)

    def answered(self, client: Client, word: str, retry_after: float) -> None:
        """Refused or failed: the client comes again, or gives up for good."""
        if client.over:
            return self.fault(f"request {client.rid} was answered twice")
        client.over = True
        self.result.answers[word] += 1
        self._open.pop(client.rid, None)
        client.tries += 1
        if client.tries < TRIES:
            pause = retry_after or float(self.rng.uniform(200.0, 1000.0))
            self.at(self.now + pause, self._come, client)
        else:  # it still wants its connection, and gets nothing
            self.at(client.until, self._clients.discard, client)

    def come_back(self, client: Client) -> None:
        """Moved or broken: it comes again after a moment."""
        self._open.pop(client.rid, None)
        client.over, client.returned, client.tries, client.server = True, True, 0, None
        self.at(self.now + float(self.rng.uniform(61.0, 1700.0)), self._come, client)

    # Balancers

    def _tell(self, number: int, event: Event) -> None:
        self.result.events += 1
        start = time.perf_counter()
        actions = self.balancers[number].handle(event, self.now)
        if not isinstance(event, EndpointListUpdate | LoadReportReceived):
            self._cpu += time.perf_counter() - start
        if isinstance(event, EndpointListUpdate):
            for line in event.endpoints:
                if line.lifecycle is Lifecycle.READY:
                    self._told[number].pop(line.id, None)
                else:
                    self._told[number].setdefault(line.id, self.now)
        for action in actions:
            self._act(number, action)

    def _act(self, number: int, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(number, action)
            case Reject() if client := self._open.get(action.request_id):  # type: ignore[call-overload]
                self.answered(client, "refused", action.retry_after_ms)
            case Fail() if client := self._open.get(action.request_id):  # type: ignore[call-overload]
                self.answered(client, "failed", 0.0)
            case MigrateConnection() if client := self._open.get(  # type: ignore[call-overload]
                action.request_id
            ):
                if client.server is not None:
                    self.result.moves += 1
                    self.leave(client, AttemptStatus.CANCELLED)
                    self.come_back(client)
            case StartTimer():
                self.at(max(action.fires_at, self.now + 0.001), self._tell, number, TimerFired(action.token))
            case PollLoadReport():
                self.result.probes += 1
                self.at(self.now + 2 * WAY_MS, self._probed, number, self.servers[str(action.endpoint_id)])
            case WatchEndpointList():
                self._watching[number] = action.enabled

    def _probed(self, number: int, server: Server) -> None:
        if (report := self.report(server)) is not None:
            self._tell(
                number,
                LoadReportReceived(
                    endpoint_id=server.id, status=AttemptStatus.OK, elapsed_ms=2 * WAY_MS, load_report=report
                ),
            )

    def _send(self, number: int, action: StartAttempt) -> None:
        client = self._open.get(action.request_id)  # type: ignore[call-overload]
        self.result.attempts += 1
        if client is None or client.over or client.where != number:
            return self.fault(f"sent request {action.request_id}, which is not open there")
        if client.out is not None or client.server is not None:
            self.fault(f"two attempts at once: request {client.rid}")
        client.attempts += 1
        if client.attempts > ATTEMPTS:
            self.fault(f"attempt {client.attempts} of request {client.rid}")
        told = self._told[number].get(action.endpoint_id)
        if told is not None and self.now > told + DRAIN_MS:
            self.fault(f"sent to {action.endpoint_id} {self.now - told:.0f} ms after its drain was told")
        server = self.servers[str(action.endpoint_id)]
        client.out, client.sent_at = server, self.now
        attempt = client.attempts
        limit = min(self.now + action.timeout_ms if action.timeout_ms else client.deadline, client.deadline)
        self.at(limit, self._ended, client, client.rid, attempt, AttemptStatus.TIMED_OUT)
        self.at(self.now + 2 * WAY_MS, self._arrive, client, client.rid, attempt, server)

    # Servers

    def _arrive(self, client: Client, rid: int, attempt: int, server: Server) -> None:
        if not self._is_out(client, rid, attempt):
            return
        status = None
        if not self.takes(server):
            return
        if not server.up:
            status = AttemptStatus.CONNECT_FAILED
        elif server.draining or len(server.held) >= server.slots:
            status = AttemptStatus.AT_CAPACITY
        elif server.failing and self.rng.random() < 0.9:
            status = AttemptStatus.ERROR
        if status is not None:
            return self.at(self.now + WAY_MS, self._ended, client, rid, attempt, status)
        # an overloaded server works on set-ups as slowly as on all else
        server.busy_until = max(server.busy_until, self.now) + self.e.setup_ms * max(server.load, 1.0)
        self.at(server.busy_until + WAY_MS, self._up, client, rid, attempt, server)

    def takes(self, server: Server) -> bool:
        """An attempt came to a server; False: it hangs, and nothing comes back."""
        return True

    def _is_out(self, client: Client, rid: int, attempt: int) -> bool:
        return client.rid == rid and client.attempts == attempt and client.out is not None and not client.over

    def _up(self, client: Client, rid: int, attempt: int, server: Server) -> None:
        if not self._is_out(client, rid, attempt):
            return
        if not server.up or server.draining:
            return self._ended(client, rid, attempt, AttemptStatus.CONNECTION_RESET)
        client.out, client.server = None, server
        self.hold(server, client)
        self.result.answers["up"] += 1
        self._tell(
            client.where,
            AttemptEstablished(
                request_id=rid,
                attempt=attempt - 1,
                endpoint_id=server.id,
                elapsed_ms=self.now - client.sent_at,
            ),
        )
        if client.server is server:
            note = ConnectionSignal(
                request_id=rid,
                attempt=attempt - 1,
                endpoint_id=server.id,
                kind=SignalKind.LOAD,
                value=client.load * 1000.0,
            )
            self._tell(client.where, note)
            self.at(max(client.until, self.now), self._served, client, rid)

    def hold(self, server: Server, client: Client) -> None:
        server.held[client.rid] = client
        server.load += client.load

    def let_go(self, server: Server, client: Client) -> None:
        del server.held[client.rid]
        server.load = (
            sum(c.load for c in server.held.values()) if len(server.held) < 2 else server.load - client.load
        )

    def stands(self, client: Client, server: Server) -> None:
        """One that stood before the run."""
        self._rid += 1
        client.rid, client.where = self._rid, self.front(client)
        client.attempts, client.server, client.sent_at = 1, server, self.now
        self._open[client.rid] = client
        self._clients.add(client)
        self.hold(server, client)
        request = Request(
            id=client.rid,
            request_class=client.cls,
            deadline=client.until,
            tenant=client.tenant,
            affinity_group=client.group or None,
        )
        self._tell(client.where, ConnectionAdopted(request, server.id))
        self.at(max(client.until, self.now), self._served, client, client.rid)

    def _served(self, client: Client, rid: int) -> None:
        if client.rid == rid and client.server is not None:
            self.leave(client, AttemptStatus.OK)
            self._open.pop(rid, None)
            self._clients.discard(client)

    def leave(self, client: Client, status: AttemptStatus) -> None:
        """A connection that stood ends; the balancer is told."""
        server = client.server
        assert server
        self.let_go(server, client)
        client.server = None
        client.over = True
        outcome = AttemptEnded(
            request_id=client.rid,
            attempt=client.attempts - 1,
            endpoint_id=server.id,
            status=status,
            elapsed_ms=self.now - client.sent_at,
            request_closed=True,
        )
        self._tell(client.where, outcome)

    def _ended(self, client: Client, rid: int, attempt: int, status: AttemptStatus) -> None:
        if self._is_out(client, rid, attempt):
            assert client.out
            server, client.out = client.out, None
            elapsed = self.now - client.sent_at
            self._tell(
                client.where,
                AttemptEnded(
                    request_id=rid,
                    attempt=attempt - 1,
                    endpoint_id=server.id,
                    status=status,
                    elapsed_ms=elapsed,
                ),
            )

    def listed(self, server: Server, state: Lifecycle) -> None:
        """The registry tells all watchers, late."""
        line = self.line(server)._replace(lifecycle=state)
        for number in range(self.e.balancers):
            late = self.e.list_ms + float(self.rng.uniform(0.0, 50.0))
            self.at(self.now + late, self._tell, number, EndpointListUpdate(UpdateKind.INCREMENTAL, (line,)))

    def drain(self, server: Server) -> None:
        server.draining = True
        self.listed(server, Lifecycle.DRAINING)
        self._send_away(server, AttemptStatus.CANCELLED)

    def _crash(self, server: Server) -> None:
        server.up = False
        self.listed(server, Lifecycle.REMOVED)
        self._send_away(server, AttemptStatus.CONNECTION_RESET)

    def _send_away(self, server: Server, status: AttemptStatus) -> None:
        for client in list(server.held.values()):
            self.leave(client, status)
            self.come_back(client)

    def _fail(self, server: Server) -> None:
        server.failing = True
        self.at(self.now + (self._end - self._begin) / 6, self._sound, server)

    @staticmethod
    def _sound(server: Server) -> None:
        server.failing = False

    # What is seen

    def look(self) -> None:
        wanted = sum(CLASSES[c.cls].worth for c in self._clients)
        got, loads = 0.0, []
        for server in self.servers.values():
            if not server.up or server.draining:
                continue
            loads.append(self.asked(server))
            got += sum(CLASSES[c.cls].worth for c in server.held.values()) * self.in_time(server)
        self._wanted += wanted
        self._got += got
        r = self.result
        if wanted:
            r.worst_look = min(r.worst_look, got / wanted)
        r.peak = max(r.peak, max(loads, default=0.0))
        if loads and (mean := float(np.mean(loads))) > 0:
            self._spreads.append(float(np.std(loads)) / mean)
        self.at(self.now + LOOK_MS, self.look)

    def in_time(self, server: Server) -> float:
        """The share of messages that it answers in time."""
        return min(1.0, 1.0 / server.load) if server.load > 0 else 1.0

    def fault(self, text: str) -> None:
        self.result.faults_in_all += 1
        if len(self.result.faults) < FAULTS_MOST:
            self.result.faults.append(f"{self.now - self._begin:.0f} ms: {text}")


def run(experiment: Experiment) -> Result:
    return Sim(experiment).run()


def run_all(experiments: Sequence[Experiment], processes: int) -> list[Result]:
    """The results in the order of the experiments; a process for each of so many at a time."""
    if processes == 1:
        return [run(experiment) for experiment in experiments]
    with ProcessPoolExecutor(processes, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(run, experiments))
