"""The core between the decision module and any front: requests, attempts and outcomes.

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

from walkloom.engine.load_signal import Notes
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
Order = StartAttempt | Reject | Fail | MigrateConnection
WAITING_MOST = 256  # lines of one request whose return is timed
PULSE_MS = 1000.0  # how often the delay of messages is told per server


class Ticket:
    """One request at the core, from its coming to its end; the front's task holds it."""

    def __init__(
        self, core: Core, rid: int, deadline: float, attempt: int = -1, server: EndpointId = None
    ) -> None:
        self.core, self.id, self.deadline = core, rid, deadline
        self.attempt, self.server, self.sent_at = attempt, server, core.now()
        self.up = attempt >= 0
        self.begun = self.up  # the attempt's first byte may have gone out
        self.waiting = deque[float]()  # when each line that has not been returned was passed on
        self._put, self._get = trio.open_memory_channel[Order](math.inf)

    async def order(self) -> Order:
        """What the module wants next; before the connection is up, by the deadline at the latest."""
        left = math.inf if self.up else max(self.deadline - self.core.now(), 0.0) / 1000.0
        with trio.move_on_after(left):
            return await self._get.receive()
        with suppress(trio.WouldBlock):
            return self._get.receive_nowait()
        # guards the one final answer against a module that gave none: its timer may have failed
        log.error("module-silent request=%d", self.id)
        return Fail(self.id)

    def put(self, order: Order) -> None:
        if isinstance(order, StartAttempt):
            self.attempt, self.server, self.sent_at = self.attempt + 1, order.endpoint_id, self.core.now()
            self.begun = False
        self._put.send_nowait(order)

    def may_begin(self) -> bool:
        """Whether the attempt's first byte may still go out: a drain may have been told, or the time in which
        it may be repeated have run out, since the choice."""
        self.begun = self.core.may_send(self.id, self.server)
        return self.begun

    def withdraw(self) -> Reject | Fail:
        """The program ends before the answer (Core.stop): the attempt that is out ends, and the module says
        what the client is told; a refusal would promise that nothing ran."""
        self.ended(AttemptStatus.CANCELLED if self.begun else AttemptStatus.NOT_SENT)
        if self.up:  # it stood before, and no other server may have it
            return Fail(self.id)
        with suppress(trio.WouldBlock):
            while True:
                order = self._get.receive_nowait()
                if isinstance(order, Reject | Fail):
                    return order
        log.error("module-silent request=%d", self.id)
        return Fail(self.id)

    def established(self) -> None:
        self.up = True
        self.core.tell(
            AttemptEstablished(
                request_id=self.id, attempt=self.attempt, endpoint_id=self.server, elapsed_ms=self._elapsed()
            )
        )

    def ended(self, status: AttemptStatus, closed: bool = False) -> None:
        """The attempt that is out ended; closed: so did the request, and nothing more is owed."""
        self.core.tell(
            AttemptEnded(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.server,
                status=status,
                elapsed_ms=self._elapsed(),
                request_closed=closed,
            )
        )

    def load(self, value: float) -> None:
        """What the server sent as a load; a delay of messages has the same form."""
        kind, value = self.core.notes.told(self.server, value, self.core.now())
        self.core.tell(
            ConnectionSignal(
                request_id=self.id, attempt=self.attempt, endpoint_id=self.server, kind=kind, value=value
            )
        )

    def line_sent(self) -> None:
        if len(self.waiting) < WAITING_MOST:  # guards the memory against a client that sends without end
            self.waiting.append(self.core.now())

    def line_returned(self) -> None:
        if self.waiting:
            self.core.delayed(self.server, self.core.now() - self.waiting.popleft())

    def oldest(self) -> float:
        """How long the oldest line that has not been returned has waited."""
        return self.core.now() - self.waiting[0] if self.waiting else 0.0

    def left(self) -> None:
        """The client left before its answer."""
        self.core.tell(ClientDisconnected(self.id))

    def close(self) -> None:
        self.core.forget(self.id)

    def _elapsed(self) -> float:
        return self.core.now() - self.sent_at


def _request_id(event: Event) -> RequestId:
    """The request that an event is about; None where it is about none, or adopts a connection."""
    return event.id if isinstance(event, Request) else getattr(event, "request_id", None)


class Core:
    """Must be made inside a trio run; keep_time and keep_pulse are its tasks."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._balancer = Balancer(settings, seed)
        # startedAtMs and the clock of the module must be the same: Unix time, carried on monotonically
        self._anchor = time.time() * 1000.0 - trio.current_time() * 1000.0
        self._tickets: dict[RequestId, Ticket] = {}
        self._timers: list[tuple[float, int]] = []
        self._earlier = trio.Event()
        self._watch = trio.Event()
        if (
            not settings.polls_endpoint_list
        ):  # on sockets a pushed list comes by a watch, too, and the module asks for none
            self._watch.set()
        self._number = 0
        self._to_probe, self.to_probe = trio.open_memory_channel[EndpointId](math.inf)
        self._delays: dict[EndpointId, list[float]] = {}
        self._slow: set[EndpointId] = set()
        self._aim = min(
            (
                c.message_latency_objective_ms
                for c in settings.request_classes
                if c.message_latency_objective_ms
            ),
            default=math.inf,
        )
        self.notes = Notes(self._aim)
        self.stopping = False

    def now(self) -> float:
        return self._anchor + trio.current_time() * 1000.0

    def submit(
        self,
        cls: int,
        deadline: float,
        *,
        tenant: int = 0,
        key: ClientKey = None,
        group: AffinityGroup = None,
        load: float | None = None,
        repeat: bool = False,
        returned: bool = False,
    ) -> Ticket:
        """A client's request: orders follow on its ticket."""
        self._number += 1
        ticket = self._tickets[self._number] = Ticket(self, self._number, deadline)
        request = Request(
            id=ticket.id,
            request_class=cls,
            deadline=deadline,
            tenant=tenant,
            client_key=key,
            affinity_group=group,
            load=load,
            is_retry=repeat,
            is_reconnect=returned,
        )
        if self.stopping:  # another balancer takes it: this one's front stops within half a second
            ticket.put(Reject(ticket.id, min(500.0, self.settings.max_retry_after_ms)))
        else:
            self.tell(request)
        return ticket

    def adopt(
        self,
        server: EndpointId,
        cls: int,
        *,
        tenant: int = 0,
        key: ClientKey = None,
        group: AffinityGroup = None,
    ) -> Ticket:
        """A connection that already stands at a server: told, not placed."""
        self._number += 1
        ticket = self._tickets[self._number] = Ticket(self, self._number, math.inf, 0, server)
        request = Request(
            id=ticket.id,
            request_class=cls,
            deadline=math.inf,
            tenant=tenant,
            client_key=key,
            affinity_group=group,
            is_established=True,
        )
        self.tell(ConnectionAdopted(request, server))
        return ticket

    def forget(self, rid: int) -> None:
        self._tickets.pop(rid, None)

    def may_send(self, rid: RequestId, server: EndpointId) -> bool:
        return self._balancer.may_send(rid, server, self.now())

    def stop(self) -> None:
        """The program ends: requests without an attempt get their final answers now, others as theirs end."""
        self.tell(ShutdownStarted())

    def list_moved(self) -> None:
        """The list is told elsewhere now: wanted at once, with no pause left from calls that failed."""
        self.list_came(UpdateKind.INCREMENTAL)  # no change in it, but the module begins its pauses anew
        self._watch.set()

    def list_came(self, kind: UpdateKind, servers: Iterable[Endpoint] = ()) -> None:
        if kind is UpdateKind.FAILED:  # guards the pauses against a wish from before this failure
            self._watch = trio.Event()
        self.tell(EndpointListUpdate(kind, tuple(servers)))

    def probed(self, server: EndpointId, elapsed: float, report: tuple[float, ...]) -> None:
        self.tell(
            LoadReportReceived(
                endpoint_id=server, status=AttemptStatus.OK, elapsed_ms=elapsed, load_report=report
            )
        )

    async def watch_wanted(self) -> None:
        """Returns once the module has asked for the list since the last time."""
        await self._watch.wait()
        self._watch = trio.Event()

    def tell(self, event: Event) -> None:
        """Hands one event to the module and what it answers to whom it concerns."""
        try:
            for action in self._balancer.handle(event, self.now()):
                self._act(action)
        except Exception as error:  # guards the program: a failure of the module ends one request at most
            log.exception("module-error event=%s error=%r", type(event).__name__, error)
            ticket = self._tickets.get(_request_id(event))
            if ticket and not ticket.up:
                ticket.put(Fail(ticket.id))

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt() | Reject() | Fail() | MigrateConnection():
                if ticket := self._tickets.get(action.request_id):
                    ticket.put(action)
            case StartTimer():
                heappush(self._timers, (action.fires_at, action.token))
                self._earlier.set()
            case WatchEndpointList():
                self._watch.set()
            case PollLoadReport():
                self._to_probe.send_nowait(action.endpoint_id)
            case LogMessage():
                log.info("module server=%s text=%r", action.endpoint_id, action.text)
            case _:
                log.error("action-unknown action=%r", action)

    async def keep_time(self) -> None:
        """Fires the module's timers."""
        while True:
            self._earlier = trio.Event()
            wait = (self._timers[0][0] - self.now()) / 1000.0 if self._timers else math.inf
            with trio.move_on_after(max(wait, 0.0)):
                await self._earlier.wait()
            while self._timers and self._timers[0][0] <= self.now():
                self.tell(TimerFired(heappop(self._timers)[1]))

    def delayed(self, server: EndpointId, delay: float) -> None:
        """A line came back from this server after so long."""
        self._delays.setdefault(server, []).append(delay)

    async def keep_pulse(self) -> None:
        """Tells the module what a message takes, which no line tells: once a second per server."""
        while True:
            await trio.sleep(PULSE_MS / 1000.0)
            self._pulse()

    def _pulse(self) -> None:
        delays, self._delays = self._delays, {}
        one: dict[EndpointId, Ticket] = {}
        for ticket in self._tickets.values():
            if ticket.up:
                one[ticket.server] = ticket
                if ticket.oldest() > self._aim / 3:  # guards against a jam in which no line returns at all
                    delays.setdefault(ticket.server, []).append(ticket.oldest())
        self._slow &= one.keys()
        for server, seen in delays.items():
            delay = median(seen)
            over = delay > self._aim / 3
            if server in one and (over or server in self._slow):
                ticket = one[server]
                log.info("delay server=%s ms=%.0f of=%d", server, delay, len(seen))
                self.tell(
                    ConnectionSignal(
                        request_id=ticket.id,
                        attempt=ticket.attempt,
                        endpoint_id=server,
                        kind=SignalKind.MESSAGE_DELAY,
                        value=delay,
                    )
                )
                (self._slow.add if over else self._slow.discard)(server)

    async def leave(self, wait: float, over: float) -> None:
        """A planned stop: after a wait, moves every open connection, spread evenly over a time (seconds)."""
        end = trio.current_time() + wait + over
        await trio.sleep(wait)
        self.stopping = True  # until now new ones are served: elsewhere nobody may be ready to take them
        moved = set[int]()
        while True:
            rest = [t for t in self._tickets.values() if t.up and t.id not in moved]
            steps = max((end - trio.current_time()) / 0.05, 1.0)
            for ticket in rest[: math.ceil(len(rest) / steps)]:
                moved.add(ticket.id)
                ticket.put(MigrateConnection(ticket.id))
            await trio.sleep(0.05)

    @property
    def open_requests(self) -> int:
        """Those on their way and those that stand."""
        return len(self._tickets)

    @property
    def idle(self) -> bool:
        return not self._tickets
