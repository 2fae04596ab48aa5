"""Simulates servers, clients, discovery and load reports around one balancer's policy, in virtual time.

The world passes neutral event records to the policy and responds to its actions as an engine and a network
do. All random values come from one seeded generator, so every run of a script is the same. Times are in ms.
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
    """The interface of the adapter that the world uses."""

    def handle(self, event: Record, now: float) -> list[Record]: ...
    def may_send(self, request: int, server: str, now: float) -> bool: ...


@dataclass
class Server:
    """A simulated server; `report_mode` says how it answers a poll of its load report."""

    id: str
    zone: int = 0
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    started_at: float = 0.0
    is_up: bool = True
    error_share: float = 0.0
    full_share: float = 0.0
    hang_share: float = 0.0
    failed_status: str = "error"
    setup_ms: float = 20.0
    message_ms: float = 0.0  # latency of messages; 0: not measured
    report_mode: str = "on_time"
    capacity: int = 40
    foreign: float = 0.0  # connections of other balancers
    connections: dict[int, Client] = field(default_factory=dict)


@dataclass
class Client:
    """A client that wants one connection, over all its requests."""

    request_class: int
    lifetime_ms: float
    timeout_ms: float
    key: int | None = None
    group: int | None = None
    load: float | None = None
    tenant: int = 0
    retries: int = 0
    is_reconnect: bool = False
    request: int = 0
    attempt: int = -1
    server: str = ""
    is_established: bool = False
    is_closed: bool = False
    deadline: float = 0.0


@dataclass(frozen=True)
class Traffic:
    """How clients arrive and what they request; shares are probabilities."""

    rate_per_s: float = 20.0
    lifetime_ms: float = 4000.0
    timeout_ms: tuple[float, float] = (1500.0, 4000.0)
    class_weights: tuple[float, ...] = (1.0,)
    groups: int = 0
    grouped_share: float = 0.0
    keys: int = 0
    cycles_keys: bool = False
    load_hint_share: float = 0.0
    load_signal_share: float = 0.0
    load_spread: float = 1.0
    early_disconnect_share: float = 0.0
    max_retries: int = 3
    reset_share: float = 0.0


@dataclass(frozen=True)
class Script:
    """One run: settings, servers, traffic and timed steps (each is its second, verb and arguments)."""

    name: str
    duration_s: float
    settings: Mapping[str, Any]
    servers: int = 6
    zones: int = 1
    traffic: Traffic = Traffic()
    steps: Sequence[tuple[Any, ...]] = ()
    starts_from_cache: bool = False
    connect_ms: float = 3.0
    connections_of_other_balancers: float = 0.0
    setup_ms: float = 20.0
    adopted_connections: int = 0
    seed: int = 1


class World:
    """Runs one script; `digest` is then the sha256 of all actions and decisions of the policy."""

    def __init__(self, script: Script, policy: Policy) -> None:
        self.script = script
        self.policy = policy
        self.random = Random(script.seed)
        self.now = START_MS
        self.end = START_MS + script.duration_s * 1000.0
        self.servers: dict[str, Server] = {}
        self.clients: dict[int, Client] = {}
        self.digest = ""
        self.action_counts: dict[str, int] = {}
        self.is_discovery_up = True
        self.is_watched = not script.settings["polls_list"]
        self.is_list_due = False
        self.is_stopping = False
        self._hash = hashlib.sha256()
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()
        self._request_ids = count(1)
        self._client_keys = count()

    # Event queue

    def schedule_at(self, time: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` at `time`."""
        heappush(self._queue, (time, next(self._order), callback, arguments))

    def schedule_after(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` after `delay`."""
        self.schedule_at(self.now + delay, callback, *arguments)

    def run(self) -> str:
        """Run the script to its end. Sets and returns the digest."""
        self._add_servers(self.script.servers)
        self._send_first_list()
        self._adopt_connections()
        for at_s, verb, *details in self.script.steps:
            self.schedule_at(START_MS + at_s * 1000.0, getattr(self, f"do_{verb}"), *details)
        self._schedule_arrival()
        self.schedule_after(SIGNAL_PERIOD_MS, self._send_delay_signals)
        while self._queue and self._queue[0][0] <= self.end:
            self.now, _, callback, arguments = heappop(self._queue)
            callback(*arguments)
        self.digest = self._hash.hexdigest()
        return self.digest

    def send_event(self, *event: Any) -> None:
        """Pass one event to the policy, record its actions and carry them out."""
        actions = self.policy.handle(event, self.now)
        self._hash.update(f"{self.now!r} {event[0]} {actions!r}\n".encode())
        for action in actions:
            self.action_counts[action[0]] = self.action_counts.get(action[0], 0) + 1
            getattr(self, f"_act_{action[0]}")(*action[1:])

    # Servers and the endpoint list

    def _add_servers(self, number: int, started_at: float = 0.0) -> list[Server]:
        first = len(self.servers)
        added = []
        for index in range(first, first + number):
            server = Server(
                id=f"s{index}",
                zone=index % self.script.zones,
                cell=index % 3,
                started_at=started_at,
                foreign=self.script.connections_of_other_balancers,
                setup_ms=self.script.setup_ms,
            )
            self.servers[server.id] = server
            added.append(server)
        return added

    def _endpoint_record(self, server: Server) -> Record:
        return (server.id, server.zone, 0, server.cell, server.lifecycle, server.weight, server.started_at)

    def _endpoint_records(self, servers: Sequence[Server] | None = None) -> tuple[Record, ...]:
        listed = self.servers.values() if servers is None else servers
        return tuple(self._endpoint_record(server) for server in listed)

    def _send_first_list(self) -> None:
        if self.script.starts_from_cache:
            self.send_event("list", "cached", self._endpoint_records())
        if self.is_watched:
            self.send_event("list", "snapshot", self._endpoint_records())
        elif not self.script.starts_from_cache:
            self.send_event("list", "cached", ())

    def _announce_change(self, servers: Sequence[Server]) -> None:
        """Announce changed servers: pushed to a balancer that watches, else part of its next list."""
        if self.is_watched and self.is_discovery_up:
            self.schedule_after(1.0, self.send_event, "list", "incremental", self._endpoint_records(servers))
        else:
            self.is_list_due = True

    def _select_servers(self, first: int, last: int) -> list[Server]:
        return list(self.servers.values())[first:last]

    def do_add(self, number: int) -> None:
        """Add servers that start cold."""
        self._announce_change(self._add_servers(number, started_at=self.now))

    def do_drain(self, first: int, last: int) -> None:
        """Start the graceful shutdown of these servers."""
        self._set_lifecycle(first, last, "draining")

    def do_remove(self, first: int, last: int) -> None:
        """Stop these servers and break their connections."""
        for server in self._select_servers(first, last):
            server.is_up = False
            self._break_connections(server)
        self._set_lifecycle(first, last, "removed")

    def do_return(self, first: int, last: int) -> None:
        """List these servers as ready again, without a restart of their processes."""
        for server in self._select_servers(first, last):
            server.is_up = True
        self._set_lifecycle(first, last, "ready")

    def do_restart(self, first: int, last: int) -> None:
        """Restart these servers under their previous ids."""
        for server in self._select_servers(first, last):
            self._break_connections(server)
            server.is_up = True
            server.started_at = self.now
        self._set_lifecycle(first, last, "ready")

    def do_snapshot(self, first: int, last: int) -> None:
        """Send a complete list that contains only these servers."""
        self.send_event("list", "snapshot", self._endpoint_records(self._select_servers(first, last)))

    def _set_lifecycle(self, first: int, last: int, lifecycle: str) -> None:
        chosen = self._select_servers(first, last)
        for server in chosen:
            server.lifecycle = lifecycle
        self._announce_change(chosen)

    def _break_connections(self, server: Server) -> None:
        for client in list(server.connections.values()):
            self._end_attempt(client, "reset", closed=True)
            self.schedule_after(self.random.uniform(50.0, 900.0), self._reconnect, client)

    def do_set(self, first: int, last: int, name: str, value: Any) -> None:
        """Set an attribute of these servers; discovery announces a change of `weight`."""
        chosen = self._select_servers(first, last)
        for server in chosen:
            setattr(server, name, value)
        if name == "weight":
            self._announce_change(chosen)

    def do_discovery(self, is_up: bool) -> None:
        """Make discovery fail or recover."""
        self.is_discovery_up = is_up
        if not is_up and self.is_watched:
            self.is_watched = False
            self.send_event("list", "failed", ())

    def _act_watch(self, _on: bool) -> None:
        self.schedule_after(5.0, self._answer_watch)

    def _answer_watch(self) -> None:
        if not self.is_discovery_up:
            self.send_event("list", "failed", ())
            return
        self.is_watched = True
        self.send_event("list", "snapshot", self._endpoint_records())

    # Clients

    def _adopt_connections(self) -> None:
        """Hand over connections that were established before this balancer started."""
        for number in range(self.script.adopted_connections):
            client = self._new_client()
            client.request = next(self._request_ids)
            client.attempt = 0
            client.server = f"s{number % len(self.servers)}"
            client.is_established = True
            self.clients[client.request] = client
            self.servers[client.server].connections[client.request] = client
            self.send_event(
                "adopted", client.request, client.request_class, client.key, client.group, client.server
            )
            self.schedule_after(client.lifetime_ms, self._close_connection, client, client.request)

    def _schedule_arrival(self) -> None:
        if self.script.traffic.rate_per_s > 0:
            interval_ms = self.random.expovariate(self.script.traffic.rate_per_s) * 1000.0
            self.schedule_after(interval_ms, self._arrive)

    def _arrive(self) -> None:
        self._request(self._new_client())
        self._schedule_arrival()

    def do_burst(self, number: int, spread_ms: float = 0.0, **changes: Any) -> None:
        """Let this number of clients arrive within `spread_ms`; `changes` are set on each."""
        for _ in range(number):
            client = self._new_client()
            for name, value in changes.items():
                setattr(client, name, value)
            self.schedule_after(self.random.uniform(0.0, spread_ms), self._request, client)

    def _new_client(self) -> Client:
        traffic = self.script.traffic
        random = self.random
        classes = range(len(traffic.class_weights))
        client = Client(
            request_class=random.choices(classes, traffic.class_weights)[0],
            lifetime_ms=random.expovariate(1.0 / traffic.lifetime_ms),
            timeout_ms=random.uniform(*traffic.timeout_ms),
            tenant=random.randrange(2),
        )
        if traffic.groups and random.random() < traffic.grouped_share:
            client.group = 1 + int(traffic.groups * random.random() ** 3)
        if traffic.keys:
            client.key = self._next_key()
        if random.random() < traffic.load_hint_share:
            client.load = 100.0 * random.expovariate(1.0) ** traffic.load_spread
        return client

    def _next_key(self) -> int:
        if self.script.traffic.cycles_keys:
            return 1 + next(self._client_keys) % self.script.traffic.keys
        return 1 + self.random.randrange(self.script.traffic.keys)

    def _request(self, client: Client) -> None:
        if self.is_stopping:
            return
        client.request = next(self._request_ids)
        client.deadline = self.now + client.timeout_ms
        client.attempt = -1
        client.server = ""
        client.is_established = False
        client.is_closed = False
        self.clients[client.request] = client
        if self.random.random() < self.script.traffic.early_disconnect_share:
            self.schedule_after(
                self.random.uniform(1.0, 150.0), self._disconnect_early, client, client.request
            )
        self.send_event(
            "request",
            client.request,
            client.request_class,
            client.deadline,
            client.tenant,
            client.key,
            client.group,
            client.load,
            client.retries > 0,
            client.is_reconnect,
        )

    def _disconnect_early(self, client: Client, request: int) -> None:
        """Disconnect the client before its answer; its running attempt is cancelled."""
        if client.request != request or client.is_closed or client.is_established:
            return
        client.is_closed = True
        self.send_event("client_left", request)
        if client.server:
            self._end_attempt(client, "cancelled", closed=True)

    def _close_connection(self, client: Client, request: int) -> None:
        """Close the connection at the end of its lifetime; some are reset instead."""
        if client.request == request and client.is_established and not client.is_closed:
            client.is_closed = True
            is_reset = self.random.random() < self.script.traffic.reset_share
            self._end_attempt(client, "reset" if is_reset else "ok", closed=True)

    def _reconnect(self, client: Client) -> None:
        client.is_reconnect = True
        client.retries = 0
        self._request(client)

    def _act_reject(self, request: int, retry_after: float) -> None:
        self._retry(self.clients[request], retry_after)

    def _act_fail(self, request: int) -> None:
        self._retry(self.clients[request], 0.0)

    def _retry(self, client: Client, retry_after: float) -> None:
        client.is_closed = True
        client.retries += 1
        if client.retries <= self.script.traffic.max_retries:
            self.schedule_after(retry_after or self.random.uniform(200.0, 1000.0), self._request, client)

    def _act_migrate(self, request: int) -> None:
        client = self.clients[request]
        if client.is_established and not client.is_closed:
            self.schedule_after(self.random.uniform(1.0, 30.0), self._migrate, client, request)

    def _migrate(self, client: Client, request: int) -> None:
        if client.request == request and client.is_established and not client.is_closed:
            client.is_closed = True
            self._end_attempt(client, "cancelled", closed=True)
            self.schedule_after(self.random.uniform(61.0, 1700.0), self._reconnect, client)

    # Attempts

    def _act_send(self, request: int, server: str, timeout: float) -> None:
        client = self.clients[request]
        client.attempt += 1
        client.server = server
        attempt_deadline = min(self.now + timeout if timeout else client.deadline, client.deadline)
        connect_ms = self.random.uniform(0.5, 2.0) * self.script.connect_ms
        self.schedule_after(connect_ms, self._connected, client, request, client.attempt, attempt_deadline)

    def _is_current_attempt(self, client: Client, request: int, attempt: int) -> bool:
        return client.request == request and client.attempt == attempt and bool(client.server)

    def _connected(self, client: Client, request: int, attempt: int, attempt_deadline: float) -> None:
        if not self._is_current_attempt(client, request, attempt):
            return
        server = self.servers[client.server]
        may_send = self.policy.may_send(request, server.id, self.now)
        self._hash.update(f"{self.now!r} may_send {may_send}\n".encode())
        if not may_send or self.now >= attempt_deadline:
            self._end_attempt(client, "not_sent")
            return
        if not server.is_up:
            self._end_attempt(client, "connect_failed")
            return
        status = self._draw_status(server)
        duration_ms = self.random.uniform(0.5, 1.5) * server.setup_ms
        if status == "timeout" or self.now + duration_ms >= attempt_deadline:
            self.schedule_at(attempt_deadline, self._answered, client, request, attempt, "timeout")
        else:
            self.schedule_after(duration_ms, self._answered, client, request, attempt, status)

    def _draw_status(self, server: Server) -> str:
        value = self.random.random()
        if value < server.error_share:
            return server.failed_status
        if value < server.error_share + server.hang_share:
            return "timeout"
        if value < server.error_share + server.hang_share + server.full_share:
            return "at_capacity"
        return "at_capacity" if len(server.connections) >= server.capacity else "established"

    def _answered(self, client: Client, request: int, attempt: int, status: str) -> None:
        if not self._is_current_attempt(client, request, attempt):
            return
        if status != "established":
            self._end_attempt(client, status)
            return
        client.is_established = True
        self.servers[client.server].connections[request] = client
        self.send_event("established", request, attempt, client.server, 20.0)
        self.schedule_after(client.lifetime_ms, self._close_connection, client, request)
        if self.random.random() < self.script.traffic.load_signal_share:
            self.schedule_after(
                self.random.uniform(5.0, 400.0), self._send_load_signal, client, request, attempt
            )

    def _send_load_signal(self, client: Client, request: int, attempt: int) -> None:
        if self._is_current_attempt(client, request, attempt):
            load = client.load or 100.0 * self.random.expovariate(1.0) ** self.script.traffic.load_spread
            self.send_event("signal", request, attempt, client.server, "load", load)

    def _end_attempt(self, client: Client, status: str, closed: bool = False) -> None:
        server = client.server
        client.server = ""
        if client.is_established:
            client.is_closed = True
            self.servers[server].connections.pop(client.request, None)
        self.send_event("ended", client.request, client.attempt, server, status, 20.0, closed)

    # Signals, load reports, timers

    def _send_delay_signals(self) -> None:
        """Once a second, signal the message latency on one connection of each server that measures it."""
        for server in self.servers.values():
            if server.message_ms and server.connections:
                client = self.random.choice(list(server.connections.values()))
                latency_ms = server.message_ms * self.random.uniform(0.7, 1.3)
                self.send_event("signal", client.request, client.attempt, server.id, "delay", latency_ms)
        self.schedule_after(SIGNAL_PERIOD_MS, self._send_delay_signals)

    def _act_poll(self, server_id: str) -> None:
        server = self.servers[server_id]
        mode = server.report_mode
        if mode == "absent" or not server.is_up:
            return
        delay = {"late": 110.0, "very_late": 700.0}.get(mode, self.random.uniform(2.0, 12.0))
        self.schedule_after(delay, self._send_load_report, server)

    def _send_load_report(self, server: Server) -> None:
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
        self.send_event("report", server.id, "ok", 5.0, values)

    def _act_timer(self, fires_at: float, token: int) -> None:
        self.schedule_at(max(fires_at, self.now) + TIMER_LATENESS_MS, self.send_event, "timer", token)

    def _act_log(self, _server: str) -> None:
        """Log messages have no effect in the world."""

    def do_leave(self, share: float) -> None:
        """Disconnect this share of the clients that wait for their answer."""
        for client in list(self.clients.values()):
            if not client.is_closed and not client.is_established and self.random.random() < share:
                self._disconnect_early(client, client.request)

    def do_shutdown(self) -> None:
        """Start the shutdown of the balancer; running attempts and connections go on."""
        self.is_stopping = True
        self.send_event("shutdown")

    def do_stray(self) -> None:
        """Send events of unknown requests and servers, and events that contradict the policy's state."""
        self.send_event("established", 10**9, 0, "s0", 1.0)
        self.send_event("ended", 10**9, 0, "s0", "error", 1.0, False)
        self.send_event("signal", 10**9, 0, "s0", "load", 5.0)
        self.send_event("client_left", 10**9)
        self.send_event("report", "nobody", "ok", 1.0, (1.0, 2.0, 0.5))
        self.send_event("adopted", 10**9, 0, None, None, "nobody")
        for client in [c for c in self.clients.values() if c.server][:3]:
            self.send_event("ended", client.request, client.attempt + 1, client.server, "error", 1.0, False)
            self.send_event("request", client.request, 0, self.now + 900.0, 0, None, None, None, False, False)
