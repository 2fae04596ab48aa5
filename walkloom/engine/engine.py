"""The engine between the decision module and any frontend: requests, attempts and outcomes.

It owns the Balancer, the clock, the timers and each request's mailbox. Events go in by plain calls; what the
module answers goes to the mailbox of the task that waits for it. It knows no socket and no protocol.
"""

from __future__ import annotations

import logging
import math
import time
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from heapq import heappop, heappush
from statistics import median

import trio

from walkloom.engine.load_signal import LoadSignalClassifier
from walkloom.messages import (
    Action,
    AffinityGroup,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ClientKey,
    ConnectionAdopted,
    ConnectionSignal,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    LoadReportReceived,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    RequestId,
    Settings,
    ShutdownStarted,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)
from walkloom.policy import Balancer

log = logging.getLogger("walkloom")
RequestCommand = StartAttempt | Reject | Fail | MigrateConnection
WAITING_MOST = 256  # lines of one request whose return is timed
PULSE_MS = 1000.0  # how often the delay of messages is told per server


class RequestHandle:
    """One request at the engine, from its coming to its end; the frontend's task holds it."""

    def __init__(
        self, engine: Engine, rid: int, deadline: float, attempt: int = -1, server: EndpointId = None
    ) -> None:
        self.engine, self.id, self.deadline = engine, rid, deadline
        self.attempt, self.endpoint_id, self.attempt_started_at = attempt, server, engine.now()
        self.is_established = attempt >= 0
        self.sending_started = self.is_established  # the attempt's first byte may have gone out
        self.pending_lines = deque[float]()  # when each line that has not been returned was passed on
        self._put, self._get = trio.open_memory_channel[RequestCommand](math.inf)

    async def next_command(self) -> RequestCommand:
        """What the module wants next; before the connection is up, by the deadline at the latest."""
        left = math.inf if self.is_established else max(self.deadline - self.engine.now(), 0.0) / 1000.0
        with trio.move_on_after(left):
            return await self._get.receive()
        with suppress(trio.WouldBlock):
            return self._get.receive_nowait()
        # guards the one final answer against a module that gave none: its timer may have failed
        log.error("module-silent request=%d", self.id)
        return Fail(self.id)

    def deliver(self, command: RequestCommand) -> None:
        if isinstance(command, StartAttempt):
            self.attempt += 1
            self.endpoint_id = command.endpoint_id
            self.attempt_started_at = self.engine.now()
            self.sending_started = False
        self._put.send_nowait(command)

    def may_start_sending(self) -> bool:
        """Whether the attempt's first byte may still go out: a drain may have been told, or the time in which
        it may be repeated have run out, since the choice."""
        self.sending_started = self.engine.may_send(self.id, self.endpoint_id)
        return self.sending_started

    def withdraw(self) -> Reject | Fail:
        """The program ends before the answer (Engine.shut_down): the attempt that is out ends.

        The policy says what the client is told; a refusal would promise that nothing ran.
        """
        self.report_ended(AttemptStatus.CANCELLED if self.sending_started else AttemptStatus.NOT_SENT)
        if self.is_established:  # it stood before, and no other server may have it
            return Fail(self.id)
        with suppress(trio.WouldBlock):
            while True:
                command = self._get.receive_nowait()
                if isinstance(command, Reject | Fail):
                    return command
        log.error("module-silent request=%d", self.id)
        return Fail(self.id)

    def report_established(self) -> None:
        self.is_established = True
        self.engine.dispatch(
            AttemptEstablished(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.endpoint_id,
                elapsed_ms=self._elapsed(),
            )
        )

    def report_ended(self, status: AttemptStatus, closed: bool = False) -> None:
        """The attempt that is out ended; closed: so did the request, and nothing more is owed."""
        self.engine.dispatch(
            AttemptEnded(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.endpoint_id,
                status=status,
                elapsed_ms=self._elapsed(),
                request_closed=closed,
            )
        )

    def report_load_signal(self, value: float) -> None:
        """What the server sent as a load; a delay of messages has the same form."""
        kind, value = self.engine.load_signals.classify(self.endpoint_id, value, self.engine.now())
        self.engine.dispatch(
            ConnectionSignal(
                request_id=self.id, attempt=self.attempt, endpoint_id=self.endpoint_id, kind=kind, value=value
            )
        )

    def record_line_forwarded(self) -> None:
        # guards the memory against a client that sends without end
        if len(self.pending_lines) < WAITING_MOST:
            self.pending_lines.append(self.engine.now())

    def record_line_returned(self) -> None:
        if self.pending_lines:
            self.engine.record_latency(self.endpoint_id, self.engine.now() - self.pending_lines.popleft())

    def oldest_pending_line_ms(self) -> float:
        """How long the oldest line that has not been returned has waited."""
        return self.engine.now() - self.pending_lines[0] if self.pending_lines else 0.0

    def report_client_disconnected(self) -> None:
        """The client left before its answer."""
        self.engine.dispatch(ClientDisconnected(self.id))

    def close(self) -> None:
        self.engine.forget(self.id)

    def _elapsed(self) -> float:
        return self.engine.now() - self.attempt_started_at


def _request_id(event: Event) -> RequestId:
    """The request that an event is about; None where it is about none, or adopts a connection."""
    return event.id if isinstance(event, Request) else getattr(event, "request_id", None)


class Engine:
    """Must be made inside a trio run; run_timers and run_latency_monitor are its tasks."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._balancer = Balancer(settings, seed)
        # startedAtMs and the clock of the module must be the same: Unix time, carried on monotonically
        self._anchor = time.time() * 1000.0 - trio.current_time() * 1000.0
        self._handles: dict[RequestId, RequestHandle] = {}
        self._timers: list[tuple[float, int]] = []
        self._earlier = trio.Event()
        self._watch = trio.Event()
        if (
            not settings.polls_endpoint_list
        ):  # on sockets a pushed list comes by a watch, too, and the module asks for none
            self._watch.set()
        self._number = 0
        self._load_report_requests, self.load_report_requests = trio.open_memory_channel[EndpointId](math.inf)
        self._delays: dict[EndpointId, list[float]] = {}
        self._slow: set[EndpointId] = set()
        self._latency_objective_ms = min(
            (
                c.message_latency_objective_ms
                for c in settings.request_classes
                if c.message_latency_objective_ms
            ),
            default=math.inf,
        )
        self.load_signals = LoadSignalClassifier(self._latency_objective_ms)
        self.stopping = False

    def now(self) -> float:
        return self._anchor + trio.current_time() * 1000.0

    def submit(
        self,
        request_class: int,
        deadline: float,
        *,
        tenant: int = 0,
        client_key: ClientKey = None,
        affinity_group: AffinityGroup = None,
        load: float | None = None,
        is_retry: bool = False,
        is_reconnect: bool = False,
    ) -> RequestHandle:
        """A client's request: commands follow on its handle."""
        self._number += 1
        handle = self._handles[self._number] = RequestHandle(self, self._number, deadline)
        request = Request(
            id=handle.id,
            request_class=request_class,
            deadline=deadline,
            tenant=tenant,
            client_key=client_key,
            affinity_group=affinity_group,
            load=load,
            is_retry=is_retry,
            is_reconnect=is_reconnect,
        )
        if self.stopping:  # another balancer takes it: this one's frontend stops within half a second
            handle.deliver(Reject(handle.id, min(500.0, self.settings.max_retry_after_ms)))
        else:
            self.dispatch(request)
        return handle

    def adopt(
        self,
        server: EndpointId,
        request_class: int,
        *,
        tenant: int = 0,
        client_key: ClientKey = None,
        affinity_group: AffinityGroup = None,
    ) -> RequestHandle:
        """A connection that already stands at a server: told, not placed."""
        self._number += 1
        handle = self._handles[self._number] = RequestHandle(self, self._number, math.inf, 0, server)
        request = Request(
            id=handle.id,
            request_class=request_class,
            deadline=math.inf,
            tenant=tenant,
            client_key=client_key,
            affinity_group=affinity_group,
            is_established=True,
        )
        self.dispatch(ConnectionAdopted(request, server))
        return handle

    def forget(self, rid: int) -> None:
        self._handles.pop(rid, None)

    def may_send(self, rid: RequestId, server: EndpointId) -> bool:
        return self._balancer.may_send(rid, server, self.now())

    def shut_down(self) -> None:
        """The program ends: requests without an attempt get their final answers now, others as theirs end."""
        self.dispatch(ShutdownStarted())

    def discovery_changed(self) -> None:
        """The list is told elsewhere now: wanted at once, with no pause left from calls that failed."""
        # no change in it, but the module begins its pauses anew
        self.endpoint_list_received(UpdateKind.INCREMENTAL)
        self._watch.set()

    def endpoint_list_received(self, kind: UpdateKind, servers: Iterable[Endpoint] = ()) -> None:
        if kind is UpdateKind.FAILED:  # guards the pauses against a wish from before this failure
            self._watch = trio.Event()
        self.dispatch(EndpointListUpdate(kind, tuple(servers)))

    def load_report_received(self, server: EndpointId, elapsed: float, report: tuple[float, ...]) -> None:
        self.dispatch(
            LoadReportReceived(
                endpoint_id=server, status=AttemptStatus.OK, elapsed_ms=elapsed, load_report=report
            )
        )

    async def wait_for_watch_request(self) -> None:
        """Returns once the module has asked for the list since the last time."""
        await self._watch.wait()
        self._watch = trio.Event()

    def dispatch(self, event: Event) -> None:
        """Hands one event to the module and what it answers to whom it concerns."""
        try:
            for action in self._balancer.handle(event, self.now()):
                self._act(action)
        except Exception as error:  # guards the program: a failure of the module ends one request at most
            log.exception("module-error event=%s error=%r", type(event).__name__, error)
            handle = self._handles.get(_request_id(event))
            if handle and not handle.is_established:
                handle.deliver(Fail(handle.id))

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt() | Reject() | Fail() | MigrateConnection():
                if handle := self._handles.get(action.request_id):
                    handle.deliver(action)
            case StartTimer():
                heappush(self._timers, (action.fires_at, action.token))
                self._earlier.set()
            case WatchEndpointList():
                self._watch.set()
            case PollLoadReport():
                self._load_report_requests.send_nowait(action.endpoint_id)
            case LogMessage():
                log.info("module server=%s text=%r", action.endpoint_id, action.text)
            case _:
                log.error("action-unknown action=%r", action)

    async def run_timers(self) -> None:
        """Fires the module's timers."""
        while True:
            self._earlier = trio.Event()
            wait = (self._timers[0][0] - self.now()) / 1000.0 if self._timers else math.inf
            with trio.move_on_after(max(wait, 0.0)):
                await self._earlier.wait()
            while self._timers and self._timers[0][0] <= self.now():
                self.dispatch(TimerFired(heappop(self._timers)[1]))

    def record_latency(self, server: EndpointId, delay: float) -> None:
        """A line came back from this server after so long."""
        self._delays.setdefault(server, []).append(delay)

    async def run_latency_monitor(self) -> None:
        """Tells the module what a message takes, which no line tells: once a second per server."""
        while True:
            await trio.sleep(PULSE_MS / 1000.0)
            self._report_latencies()

    def _report_latencies(self) -> None:
        delays, self._delays = self._delays, {}
        one: dict[EndpointId, RequestHandle] = {}
        for handle in self._handles.values():
            if handle.is_established:
                one[handle.endpoint_id] = handle
                # guards against a jam in which no line returns at all
                if handle.oldest_pending_line_ms() > self._latency_objective_ms / 3:
                    delays.setdefault(handle.endpoint_id, []).append(handle.oldest_pending_line_ms())
        self._slow &= one.keys()
        for server, seen in delays.items():
            delay = median(seen)
            over = delay > self._latency_objective_ms / 3
            if server in one and (over or server in self._slow):
                handle = one[server]
                log.info("delay server=%s ms=%.0f of=%d", server, delay, len(seen))
                self.dispatch(
                    ConnectionSignal(
                        request_id=handle.id,
                        attempt=handle.attempt,
                        endpoint_id=server,
                        kind=SignalKind.MESSAGE_DELAY,
                        value=delay,
                    )
                )
                (self._slow.add if over else self._slow.discard)(server)

    async def migrate_connections(self, wait: float, over: float) -> None:
        """A planned stop: after a wait, moves every open connection, spread evenly over a time (seconds)."""
        end = trio.current_time() + wait + over
        await trio.sleep(wait)
        self.stopping = True  # until now new ones are served: elsewhere nobody may be ready to take them
        moved = set[int]()
        while True:
            rest = [t for t in self._handles.values() if t.is_established and t.id not in moved]
            steps = max((end - trio.current_time()) / 0.05, 1.0)
            for handle in rest[: math.ceil(len(rest) / steps)]:
                moved.add(handle.id)
                handle.deliver(MigrateConnection(handle.id))
            await trio.sleep(0.05)

    @property
    def open_requests(self) -> int:
        """Those on their way and those that stand."""
        return len(self._handles)

    @property
    def idle(self) -> bool:
        return not self._handles
