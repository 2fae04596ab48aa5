"""The engine between the policy and any frontend.

It owns the policy (`Balancer`), its clock, its timers and the mailbox of each request. Events go in by plain
calls, which never wait; each action that the policy answers with goes to whom it concerns, a command to the
mailbox of the task that serves the request. The engine knows no socket and no protocol.

All calls come from one thread, trio's. The two tasks are `run_timers` and `run_latency_monitor`.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Iterable

import trio

from walkloom.balancer import Balancer
from walkloom.engine.connection_migration import migrate_evenly
from walkloom.engine.latency_monitor import REPORT_INTERVAL_S, EndpointLatency, LatencyMonitor
from walkloom.engine.load_signal import LoadSignalClassifier
from walkloom.engine.request_handle import RequestHandle
from walkloom.engine.timer_queue import TimerQueue
from walkloom.messages import (
    Action,
    AffinityGroup,
    AnswerReason,
    AttemptStatus,
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

__all__ = ["Engine", "RequestHandle"]

log = logging.getLogger("walkloom")

# When a client that comes during a shutdown is asked to come back: the frontend is gone half a second later,
# and the client then reaches another balancer.
SHUTDOWN_RETRY_AFTER_MS = 500.0


class Engine:
    """Runs the policy for any number of frontends; to be made inside a trio run.

    Attributes that others read:

    - settings: as handed over.
    - load_signals: tells what endpoints report on open connections.
    - load_report_requests: the endpoints that the policy wants a load report of, in order.
    - stopping: whether new requests are rejected, as connections are being migrated away.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the engine and its policy; seed: of the policy's random choices."""
        self.settings = settings
        self._balancer = Balancer(settings, seed)
        # The endpoint list carries Unix times (`startedAtMs`), so the clock is Unix time; it is carried on
        # monotonically, as a step of the system's clock would fire or delay every timer.
        self._clock_offset_ms = time.time() * 1000.0 - trio.current_time() * 1000.0
        self._handles: dict[RequestId, RequestHandle] = {}
        self._last_request_id = 0
        self._timers = TimerQueue(self.now, self._fire_timer)
        self._endpoint_list_wanted = trio.Event()
        if not settings.polls_endpoint_list:
            # The policy expects to be pushed the list and never asks; over sockets a watch pushes it.
            self._endpoint_list_wanted.set()
        self._load_report_requests, self.load_report_requests = trio.open_memory_channel[EndpointId](math.inf)
        latency_objective_ms = _shortest_message_objective_ms(settings)
        self._latency_monitor = LatencyMonitor(latency_objective_ms)
        self.load_signals = LoadSignalClassifier(latency_objective_ms)
        self.stopping = False

    def now(self) -> float:
        """Return the policy's clock: Unix time, carried on monotonically, ms."""
        return self._clock_offset_ms + trio.current_time() * 1000.0

    @property
    def open_requests(self) -> int:
        """How many requests wait for their answer or have an open connection."""
        return len(self._handles)

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        return not self._handles

    # Requests, from their arrival to their end.

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
        """Take a client's request; the policy's commands follow on the handle that is returned.

        The parameters are the fields of `messages.Request`. deadline: absolute, ms.
        """
        handle = self._register(RequestHandle(self, self._next_request_id(), deadline))
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
        if self.stopping:
            retry_after_ms = min(SHUTDOWN_RETRY_AFTER_MS, self.settings.max_retry_after_ms)
            handle.deliver(Reject(handle.id, retry_after_ms, AnswerReason.SHUTDOWN))
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
        """Take over a connection that is established at an endpoint already; no placement, no answer.

        server: that endpoint. The other parameters are the fields of `messages.Request`.
        """
        handle = self._register(
            RequestHandle(self, self._next_request_id(), math.inf, attempt=0, endpoint_id=server)
        )
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

    def forget(self, request_id: RequestId) -> None:
        """Drop a request that has ended; unknown ones are ignored."""
        self._handles.pop(request_id, None)

    def may_send(self, request_id: RequestId, endpoint_id: EndpointId) -> bool:
        """Return whether the policy still allows the request's first byte to go to the endpoint."""
        return self._balancer.may_send(request_id, endpoint_id, self.now())

    def record_latency(self, endpoint_id: EndpointId, latency_ms: float) -> None:
        """Note what a message took at an endpoint."""
        self._latency_monitor.record(endpoint_id, latency_ms)

    def _next_request_id(self) -> int:
        self._last_request_id += 1
        return self._last_request_id

    def _register(self, handle: RequestHandle) -> RequestHandle:
        """Enter the handle, before its event is dispatched: the policy's answer is delivered by its id."""
        self._handles[handle.id] = handle
        return handle

    # What discovery and the load report poller hand over.

    def discovery_changed(self) -> None:
        """Ask for the endpoint list at once, as another discovery serves it from now on."""
        # An update without endpoints changes nothing in the list. It counts as a success, so that the policy
        # restarts its backoff, which the calls that failed at the old discovery have lengthened.
        self.endpoint_list_received(UpdateKind.INCREMENTAL)
        self._endpoint_list_wanted.set()

    def endpoint_list_received(self, kind: UpdateKind, servers: Iterable[Endpoint] = ()) -> None:
        """Hand the policy an update of the endpoint list; servers: its endpoints, none where it failed."""
        self.endpoint_list_updated(EndpointListUpdate(kind, tuple(servers)))

    def endpoint_list_updated(self, update: EndpointListUpdate) -> None:
        """Hand the policy an update of the endpoint list, or the failure of a call for it."""
        if update.kind is UpdateKind.FAILED:
            # Drops a wish from before the failure, which would skip the backoff; before the dispatch, in
            # which the policy may ask anew.
            self._endpoint_list_wanted = trio.Event()
        self.dispatch(update)

    def watch_hold_ms(self) -> float:
        """Return how long discovery may hold the next call for the list, ms."""
        return self._balancer.watch_hold_ms(self.now())

    def list_lease_ms(self) -> float:
        """Return how long the endpoint list may still be used, ms; inf: without limit."""
        return self._balancer.list_lease_ms(self.now())

    async def wait_for_watch_request(self) -> None:
        """Return once the policy has asked for the endpoint list since the last return."""
        await self._endpoint_list_wanted.wait()
        self._endpoint_list_wanted = trio.Event()

    def load_report_received(self, server: EndpointId, elapsed: float, report: tuple[float, ...]) -> None:
        """Hand the policy an endpoint's load report.

        elapsed: from the question to the answer, ms. report: in the order of the settings; empty: none yet.
        """
        self.dispatch(
            LoadReportReceived(
                endpoint_id=server, status=AttemptStatus.OK, elapsed_ms=elapsed, load_report=report
            )
        )

    # Events in, actions out.

    def dispatch(self, event: Event) -> None:
        """Hand one event to the policy and carry out the actions that it answers with.

        Never raises: an error of the policy ends at most the request that the event is about.
        """
        try:
            for action in self._balancer.handle(event, self.now()):
                self._act(action)
        except Exception:
            # Broad on purpose: whatever the fault of the policy is, the other requests go on.
            log.exception("policy_error event=%s", type(event).__name__)
            handle = self._handles.get(_request_id(event))
            if handle and not handle.is_established:
                handle.deliver(Fail(handle.id, AnswerReason.INTERNAL_ERROR))

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt() | Reject() | Fail() | MigrateConnection():
                handle = self._handles.get(action.request_id)
                if handle:
                    handle.deliver(action)
            case StartTimer():
                self._timers.add(action.fires_at, action.token)
            case WatchEndpointList():
                self._endpoint_list_wanted.set()
            case PollLoadReport():
                self._load_report_requests.send_nowait(action.endpoint_id)
            case LogMessage():
                log.info("%s endpoint=%s", action.text, action.endpoint_id)
            case _:
                log.error("action_unknown action=%r", action)

    # Tasks.

    async def run_timers(self) -> None:
        """Fire the policy's timers until cancelled."""
        await self._timers.run()

    def _fire_timer(self, token: int) -> None:
        self.dispatch(TimerFired(token))

    async def run_latency_monitor(self) -> None:
        """Inform the policy of slow endpoints at regular intervals until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for endpoint_latency in self._latency_monitor.summarize(self._handles.values()):
                self._report_latency(endpoint_latency)

    def _report_latency(self, measured: EndpointLatency) -> None:
        handle = measured.handle
        log.info(
            "message_latency endpoint=%s latency_ms=%.0f samples=%d",
            handle.endpoint_id,
            measured.latency_ms,
            measured.sample_count,
        )
        self.dispatch(
            ConnectionSignal(
                request_id=handle.id,
                attempt=handle.attempt,
                endpoint_id=handle.endpoint_id,
                kind=SignalKind.MESSAGE_DELAY,
                value=measured.latency_ms,
            )
        )

    # Graceful shutdown, in this order (server.BalancerServer.shut_down).

    async def migrate_connections(self, delay_s: float, duration_s: float) -> None:
        """Migrate every open connection, spread evenly over a time that begins after a delay.

        Connections that are established later migrate in the next step. Runs until cancelled.
        """
        end = trio.current_time() + delay_s + duration_s
        await trio.sleep(delay_s)
        # Until now new requests are served: the balancer that takes over may be starting still.
        self.stopping = True
        await migrate_evenly(self._handles.values(), end)

    def shut_down(self) -> None:
        """Tell the policy that the balancer ends.

        Requests without an attempt get their final answers now, the others as their attempts end.
        """
        self.dispatch(ShutdownStarted())


def _shortest_message_objective_ms(settings: Settings) -> float:
    """Return the shortest message latency objective of all request classes, ms; inf where there is none."""
    objectives_ms = (request_class.message_latency_objective_ms for request_class in settings.request_classes)
    return min((objective_ms for objective_ms in objectives_ms if objective_ms), default=math.inf)


def _request_id(event: Event) -> RequestId:
    """Return the request that an event is about; None where it is about none, or adopts a connection."""
    if isinstance(event, Request):
        return event.id
    return getattr(event, "request_id", None)
