"""A closed loop around one balancer's policy: servers, clients, discovery and load reports in virtual time.

The world hands neutral event records to the policy and answers its actions as an engine and a network would.
All that is drawn comes from one seeded generator, so a run is the same to the byte. Times are milliseconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Protocol

Record = tuple[Any, ...]

START_MS = 1_000_000.0
SIGNAL_PERIOD_MS = 1000.0
TIMER_LATENESS_MS = 0.5


class Policy(Protocol):
    """What the world needs of the adapter."""

    def handle(self, event: Record, now: float) -> list[Record]: ...
    def may_send(self, request: int, server: str, now: float) -> bool: ...


@dataclass
class Server:
    """A model server; `report_mode` says how it answers a poll for its load."""

    id: str
    zone: int = 0
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    started: float = 0.0
    is_up: bool = True
    error_share: float = 0.0
    full_share: float = 0.0
    hang_share: float = 0.0
    failed_status: str = "error"
    setup_ms: float = 20.0
    message_ms: float = 0.0  # 0: messages are not timed
    report_mode: str = "on_time"
    capacity: int = 40
    foreign: float = 0.0  # connections that other balancers hold here
    connections: dict[int, Client] = field(default_factory=dict)


@dataclass
class Client:
    """One connection that somebody wants, over all its requests."""

    request_class: int
    life_ms: float
    patience_ms: float
    key: int | None = None
    group: int | None = None
    load: float | None = None
    tenant: int = 0
    tries: int = 0
    is_reconnect: bool = False
    request: int = 0
    attempt: int = -1
    server: str = ""
    is_established: bool = False
    is_over: bool = False
    deadline: float = 0.0


@dataclass(frozen=True)
class Traffic:
    """How clients arrive and what they ask for; shares are probabilities."""

    rate_per_s: float = 20.0
    life_ms: float = 4000.0
    patience_ms: tuple[float, float] = (1500.0, 4000.0)
    class_weights: tuple[float, ...] = (1.0,)
    groups: int = 0
    grouped_share: float = 0.0
    keys: int = 0
    are_keys_cycled: bool = False
    hint_share: float = 0.0
    told_load_share: float = 0.0
    load_spread: float = 1.0
    left_share: float = 0.0
    retries: int = 3
    is_cut_short_share: float = 0.0


@dataclass(frozen=True)
class Script:
    """One run: settings, servers, traffic and what happens when (`steps`: second, verb, arguments)."""

    name: str
    seconds: float
    settings: Mapping[str, Any]
    servers: int = 6
    zones: int = 1
    traffic: Traffic = Traffic()
    steps: Sequence[tuple[Any, ...]] = ()
    cached: bool = False
    connect_ms: float = 3.0
    foreign_connections: float = 0.0
    setup_ms: float = 20.0
    adopted: int = 0
    seed: int = 1


class World:
    """Plays one script; `digest` is the sha256 over all that the policy answered, once it is played."""

    def __init__(self, script: Script, policy: Policy) -> None:
        self.script = script
        self.policy = policy
        self.random = Random(script.seed)
        self.now = START_MS
        self.end = START_MS + script.seconds * 1000.0
        self.servers: dict[str, Server] = {}
        self.clients: dict[int, Client] = {}
        self.digest = ""
        self.tally: dict[str, int] = {}
        self.is_discovery_up = True
        self.is_watched = not script.settings["polls_list"]
        self.is_list_due = False
        self.is_stopping = False
        self._hash = hashlib.sha256()
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()
        self._request_ids = count(1)
        self._client_keys = count()

    # Clockwork

    def at(self, when: float, what: Callable[..., None], *arguments: Any) -> None:
        """Call `what` at the time `when`."""
        heappush(self._queue, (when, next(self._order), what, arguments))

    def after(self, delay: float, what: Callable[..., None], *arguments: Any) -> None:
        """Call `what` after `delay`."""
        self.at(self.now + delay, what, *arguments)

    def play(self) -> str:
        """Run the script to its end; sets and returns the digest."""
        self._add_servers(self.script.servers)
        self._give_first_list()
        self._adopt()
        for seconds, verb, *details in self.script.steps:
            self.at(START_MS + seconds * 1000.0, getattr(self, f"do_{verb}"), *details)
        self._schedule_arrival()
        self.after(SIGNAL_PERIOD_MS, self._signal_delays)
        while self._queue and self._queue[0][0] <= self.end:
            self.now, _, what, arguments = heappop(self._queue)
            what(*arguments)
        self.digest = self._hash.hexdigest()
        return self.digest

    def give(self, *event: Any) -> None:
        """Hand one event to the policy, record its actions and carry them out."""
        actions = self.policy.handle(event, self.now)
        self._hash.update(f"{self.now!r} {event[0]} {actions!r}\n".encode())
        for action in actions:
            self.tally[action[0]] = self.tally.get(action[0], 0) + 1
            getattr(self, f"_act_{action[0]}")(*action[1:])

    # Servers and their list

    def _add_servers(self, number: int, started: float = 0.0) -> list[Server]:
        first = len(self.servers)
        added = []
        for index in range(first, first + number):
            server = Server(
                id=f"s{index}",
                zone=index % self.script.zones,
                cell=index % 3,
                started=started,
                foreign=self.script.foreign_connections,
                setup_ms=self.script.setup_ms,
            )
            self.servers[server.id] = server
            added.append(server)
        return added

    def _line(self, server: Server) -> Record:
        return (server.id, server.zone, 0, server.cell, server.lifecycle, server.weight, server.started)

    def _lines(self, servers: Sequence[Server] | None = None) -> tuple[Record, ...]:
        chosen = self.servers.values() if servers is None else servers
        return tuple(self._line(server) for server in chosen)

    def _give_first_list(self) -> None:
        if self.script.cached:
            self.give("list", "cached", self._lines())
        if self.is_watched:
            self.give("list", "snapshot", self._lines())
        elif not self.script.cached:
            self.give("list", "cached", ())

    def _change(self, servers: Sequence[Server]) -> None:
        """Discovery learns of a change; whoever watches is told soon after."""
        if self.is_watched and self.is_discovery_up:
            self.after(1.0, self.give, "list", "incremental", self._lines(servers))
        else:
            self.is_list_due = True

    def _chosen(self, first: int, last: int) -> list[Server]:
        return list(self.servers.values())[first:last]

    def do_add(self, number: int) -> None:
        """New servers start cold."""
        self._change(self._add_servers(number, started=self.now))

    def do_drain(self, first: int, last: int) -> None:
        """These servers start a graceful shutdown."""
        self._set_lifecycle(first, last, "draining")

    def do_remove(self, first: int, last: int) -> None:
        """These servers are gone, with all that they hold."""
        for server in self._chosen(first, last):
            server.is_up = False
            self._break_connections(server)
        self._set_lifecycle(first, last, "removed")

    def do_return(self, first: int, last: int) -> None:
        """These servers are listed as ready again, by the same process as before."""
        for server in self._chosen(first, last):
            server.is_up = True
        self._set_lifecycle(first, last, "ready")

    def do_restart(self, first: int, last: int) -> None:
        """These servers start anew under their old ids."""
        for server in self._chosen(first, last):
            self._break_connections(server)
            server.is_up = True
            server.started = self.now
        self._set_lifecycle(first, last, "ready")

    def do_snapshot(self, first: int, last: int) -> None:
        """A whole list that names only these servers."""
        self.give("list", "snapshot", self._lines(self._chosen(first, last)))

    def _set_lifecycle(self, first: int, last: int, lifecycle: str) -> None:
        chosen = self._chosen(first, last)
        for server in chosen:
            server.lifecycle = lifecycle
        self._change(chosen)

    def _break_connections(self, server: Server) -> None:
        for client in list(server.connections.values()):
            self._end_attempt(client, "reset", closed=True)
            self.after(self.random.uniform(50.0, 900.0), self._reconnect, client)

    def do_set(self, first: int, last: int, name: str, value: Any) -> None:
        """Change an attribute of these servers; `weight` is announced as well."""
        chosen = self._chosen(first, last)
        for server in chosen:
            setattr(server, name, value)
        if name == "weight":
            self._change(chosen)

    def do_discovery(self, is_up: bool) -> None:
        """Discovery fails, or comes back."""
        self.is_discovery_up = is_up
        if not is_up and self.is_watched:
            self.is_watched = False
            self.give("list", "failed", ())

    def _act_watch(self, _on: bool) -> None:
        self.after(5.0, self._answer_watch)

    def _answer_watch(self) -> None:
        if not self.is_discovery_up:
            self.give("list", "failed", ())
            return
        self.is_watched = True
        self.give("list", "snapshot", self._lines())

    # Clients

    def _adopt(self) -> None:
        """Connections that stood before this balancer started."""
        for number in range(self.script.adopted):
            client = self._new_client()
            client.request = next(self._request_ids)
            client.attempt = 0
            client.server = f"s{number % len(self.servers)}"
            client.is_established = True
            self.clients[client.request] = client
            self.servers[client.server].connections[client.request] = client
            self.give(
                "adopted", client.request, client.request_class, client.key, client.group, client.server
            )
            self.after(client.life_ms, self._finish, client, client.request)

    def _schedule_arrival(self) -> None:
        if self.script.traffic.rate_per_s > 0:
            pause = self.random.expovariate(self.script.traffic.rate_per_s) * 1000.0
            self.after(pause, self._arrive)

    def _arrive(self) -> None:
        self._request(self._new_client())
        self._schedule_arrival()

    def do_burst(self, number: int, spread_ms: float = 0.0, **changes: Any) -> None:
        """Many clients at once; `changes` are set on each of them."""
        for _ in range(number):
            client = self._new_client()
            for name, value in changes.items():
                setattr(client, name, value)
            self.after(self.random.uniform(0.0, spread_ms), self._request, client)

    def _new_client(self) -> Client:
        traffic = self.script.traffic
        random = self.random
        classes = range(len(traffic.class_weights))
        client = Client(
            request_class=random.choices(classes, traffic.class_weights)[0],
            life_ms=random.expovariate(1.0 / traffic.life_ms),
            patience_ms=random.uniform(*traffic.patience_ms),
            tenant=random.randrange(2),
        )
        if traffic.groups and random.random() < traffic.grouped_share:
            client.group = 1 + int(traffic.groups * random.random() ** 3)
        if traffic.keys:
            client.key = self._next_key()
        if random.random() < traffic.hint_share:
            client.load = 100.0 * random.expovariate(1.0) ** traffic.load_spread
        return client

    def _next_key(self) -> int:
        if self.script.traffic.are_keys_cycled:
            return 1 + next(self._client_keys) % self.script.traffic.keys
        return 1 + self.random.randrange(self.script.traffic.keys)

    def _request(self, client: Client) -> None:
        if self.is_stopping:
            return
        client.request = next(self._request_ids)
        client.deadline = self.now + client.patience_ms
        client.attempt = -1
        client.server = ""
        client.is_established = False
        client.is_over = False
        self.clients[client.request] = client
        if self.random.random() < self.script.traffic.left_share:
            self.after(self.random.uniform(1.0, 150.0), self._leave, client, client.request)
        self.give(
            "request",
            client.request,
            client.request_class,
            client.deadline,
            client.tenant,
            client.key,
            client.group,
            client.load,
            client.tries > 0,
            client.is_reconnect,
        )

    def _leave(self, client: Client, request: int) -> None:
        """The client disconnects before its answer; an attempt that is out is cancelled."""
        if client.request != request or client.is_over or client.is_established:
            return
        client.is_over = True
        self.give("client_left", request)
        if client.server:
            self._end_attempt(client, "cancelled", closed=True)

    def _finish(self, client: Client, request: int) -> None:
        """The connection ends as its client wanted."""
        if client.request == request and client.is_established and not client.is_over:
            client.is_over = True
            is_cut_short = self.random.random() < self.script.traffic.is_cut_short_share
            self._end_attempt(client, "reset" if is_cut_short else "ok", closed=True)

    def _reconnect(self, client: Client) -> None:
        client.is_reconnect = True
        client.tries = 0
        self._request(client)

    def _act_reject(self, request: int, retry_after: float) -> None:
        self._retry(self.clients[request], retry_after)

    def _act_fail(self, request: int) -> None:
        self._retry(self.clients[request], 0.0)

    def _retry(self, client: Client, retry_after: float) -> None:
        client.is_over = True
        client.tries += 1
        if client.tries <= self.script.traffic.retries:
            self.after(retry_after or self.random.uniform(200.0, 1000.0), self._request, client)

    def _act_migrate(self, request: int) -> None:
        client = self.clients[request]
        if client.is_established and not client.is_over:
            self.after(self.random.uniform(1.0, 30.0), self._migrate, client, request)

    def _migrate(self, client: Client, request: int) -> None:
        if client.request == request and client.is_established and not client.is_over:
            client.is_over = True
            self._end_attempt(client, "cancelled", closed=True)
            self.after(self.random.uniform(61.0, 1700.0), self._reconnect, client)

    # Attempts

    def _act_send(self, request: int, server: str, timeout: float) -> None:
        client = self.clients[request]
        client.attempt += 1
        client.server = server
        limit = min(self.now + timeout if timeout else client.deadline, client.deadline)
        connect_ms = self.random.uniform(0.5, 2.0) * self.script.connect_ms
        self.after(connect_ms, self._connected, client, request, client.attempt, limit)

    def _is_out(self, client: Client, request: int, attempt: int) -> bool:
        return client.request == request and client.attempt == attempt and bool(client.server)

    def _connected(self, client: Client, request: int, attempt: int, limit: float) -> None:
        if not self._is_out(client, request, attempt):
            return
        server = self.servers[client.server]
        may_send = self.policy.may_send(request, server.id, self.now)
        self._hash.update(f"{self.now!r} may_send {may_send}\n".encode())
        if not may_send or self.now >= limit:
            self._end_attempt(client, "not_sent")
            return
        if not server.is_up:
            self._end_attempt(client, "connect_failed")
            return
        status = self._drawn_status(server)
        takes = self.random.uniform(0.5, 1.5) * server.setup_ms
        if status == "timeout" or self.now + takes >= limit:
            self.at(limit, self._answered, client, request, attempt, "timeout")
        else:
            self.after(takes, self._answered, client, request, attempt, status)

    def _drawn_status(self, server: Server) -> str:
        drawn = self.random.random()
        if drawn < server.error_share:
            return server.failed_status
        if drawn < server.error_share + server.hang_share:
            return "timeout"
        if drawn < server.error_share + server.hang_share + server.full_share:
            return "at_capacity"
        return "at_capacity" if len(server.connections) >= server.capacity else "established"

    def _answered(self, client: Client, request: int, attempt: int, status: str) -> None:
        if not self._is_out(client, request, attempt):
            return
        if status != "established":
            self._end_attempt(client, status)
            return
        client.is_established = True
        self.servers[client.server].connections[request] = client
        self.give("established", request, attempt, client.server, 20.0)
        self.after(client.life_ms, self._finish, client, request)
        if self.random.random() < self.script.traffic.told_load_share:
            self.after(self.random.uniform(5.0, 400.0), self._tell_load, client, request, attempt)

    def _tell_load(self, client: Client, request: int, attempt: int) -> None:
        if self._is_out(client, request, attempt):
            load = client.load or 100.0 * self.random.expovariate(1.0) ** self.script.traffic.load_spread
            self.give("signal", request, attempt, client.server, "load", load)

    def _end_attempt(self, client: Client, status: str, closed: bool = False) -> None:
        server = client.server
        client.server = ""
        if client.is_established:
            client.is_over = True
            self.servers[server].connections.pop(client.request, None)
        self.give("ended", client.request, client.attempt, server, status, 20.0, closed)

    # Signals, load reports, timers

    def _signal_delays(self) -> None:
        """Once a second each server with timed messages has one connection tell their latency."""
        for server in self.servers.values():
            if server.message_ms and server.connections:
                client = self.random.choice(list(server.connections.values()))
                delay = server.message_ms * self.random.uniform(0.7, 1.3)
                self.give("signal", client.request, client.attempt, server.id, "delay", delay)
        self.after(SIGNAL_PERIOD_MS, self._signal_delays)

    def _act_poll(self, server_id: str) -> None:
        server = self.servers[server_id]
        mode = server.report_mode
        if mode == "absent" or not server.is_up:
            return
        delay = {"late": 110.0, "very_late": 700.0}.get(mode, self.random.uniform(2.0, 12.0))
        self.after(delay, self._report, server)

    def _report(self, server: Server) -> None:
        held = len(server.connections) + server.foreign
        load = held / server.capacity
        if server.report_mode == "empty":
            values: tuple[float, ...] = ()
        elif server.report_mode == "short":
            values = (1.0,)
        elif server.report_mode == "full":
            values = (1.0, held, max(load, 0.97))
        elif server.report_mode == "idle":
            values = (0.0, 0.0, 0.0)
        else:
            values = (1.0, held, load)
        self.give("report", server.id, "ok", 5.0, values)

    def _act_timer(self, fires_at: float, token: int) -> None:
        self.at(max(fires_at, self.now) + TIMER_LATENESS_MS, self.give, "timer", token)

    def _act_log(self, _server: str) -> None:
        """Logged events change nothing in the world."""

    def do_leave(self, share: float) -> None:
        """A share of all who wait for their answer disconnect."""
        for client in list(self.clients.values()):
            if not client.is_over and not client.is_established and self.random.random() < share:
                self._leave(client, client.request)

    def do_shutdown(self) -> None:
        """The balancer ends; what is out goes on."""
        self.is_stopping = True
        self.give("shutdown")

    def do_stray(self) -> None:
        """Events of requests and servers that the policy does not know, or knows otherwise."""
        self.give("established", 10**9, 0, "s0", 1.0)
        self.give("ended", 10**9, 0, "s0", "error", 1.0, False)
        self.give("signal", 10**9, 0, "s0", "load", 5.0)
        self.give("client_left", 10**9)
        self.give("report", "nobody", "ok", 1.0, (1.0, 2.0, 0.5))
        self.give("adopted", 10**9, 0, None, None, "nobody")
        for client in [c for c in self.clients.values() if c.server][:3]:
            self.give("ended", client.request, client.attempt + 1, client.server, "error", 1.0, False)
            self.give("request", client.request, 0, self.now + 900.0, 0, None, None, None, False, False)
