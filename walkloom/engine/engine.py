"""The engine between the policy and any frontend.

It owns the policy (`Balancer`), its clock, its timers and the mailbox of each request. Events arrive as plain
method calls, which never block. The engine carries out each action that the policy returns; a command goes to
the mailbox of the task that serves the request. The engine handles no sockets and no protocol.

All calls must come from the trio thread. The caller runs two tasks: `run_timers` and `run_latency_monitor`.
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
    DiscoveryChanged,
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

# Retry-after for requests that arrive during a shutdown. The frontend is gone half a second later, so the
# client then reaches another balancer.
SHUTDOWN_RETRY_AFTER_MS = 500.0


class Engine:
    """Runs the policy for any number of frontends; must be created inside a trio run.

    Public attributes:

    - settings: the settings that the engine was created with.
    - load_signals: classifies the values that endpoints report on open connections.
    - load_report_requests: channel of the endpoints that the policy wants load reports from, in order.
    - stopping: whether new requests are rejected because connections are being migrated away.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the engine and its policy; seed: for the policy's random choices."""
        self.settings = settings
        self._balancer = Balancer(settings, seed)
        # The endpoint list carries Unix times (`startedAtMs`), so the clock starts at Unix time. It advances
        # with the monotonic clock, because a step of the system clock would fire or delay every timer.
        self._clock_offset_ms = time.time() * 1000.0 - trio.current_time() * 1000.0
        self._handles: dict[RequestId, RequestHandle] = {}
        self._last_request_id = 0
        self._timers = TimerQueue(self.now, self._fire_timer)
        self._watch_requested = trio.Event()
        if not settings.polls_endpoint_list:
            # The policy expects pushed updates and never requests them; over sockets a watch delivers them.
            self._watch_requested.set()
        self._load_report_requests, self.load_report_requests = trio.open_memory_channel[EndpointId](math.inf)
        latency_objective_ms = _shortest_message_objective_ms(settings)
        self._latency_monitor = LatencyMonitor(latency_objective_ms)
        self.load_signals = LoadSignalClassifier(latency_objective_ms)
        self.stopping = False

    def now(self) -> float:
        """Return the policy's clock: Unix time at the start, advanced monotonically, ms."""
        return self._clock_offset_ms + trio.current_time() * 1000.0

    @property
    def open_requests(self) -> int:
        """The number of requests that wait for an answer or have an open connection."""
        return len(self._handles)

    @property
    def idle(self) -> bool:
        """Whether no request is open."""
        return not self._handles

    # Requests, from arrival to end.

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
        idempotency_key: str | None = None,
    ) -> RequestHandle:
        """Submit a client's request; the policy's commands arrive on the returned handle.

        The parameters are the fields of `messages.Request`. deadline: absolute, ms of the engine's clock.
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
            idempotency_key=idempotency_key,
        )
        if self.stopping:
            retry_after_ms = min(SHUTDOWN_RETRY_AFTER_MS, self.settings.max_retry_after_ms)
            handle.deliver(Reject(handle.id, retry_after_ms, AnswerReason.SHUTDOWN))
        else:
            self.dispatch(request)
        return handle

    def adopt(
        self,
        endpoint: EndpointId,
        request_class: int,
        *,
        tenant: int = 0,
        client_key: ClientKey = None,
        affinity_group: AffinityGroup = None,
    ) -> RequestHandle:
        """Take over a connection that is already established; there is no placement and no final answer.

        endpoint: id of the connection's endpoint. The other parameters are the fields of `messages.Request`.
        """
        handle = self._register(
            RequestHandle(self, self._next_request_id(), math.inf, attempt=0, endpoint_id=endpoint)
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
        self.dispatch(ConnectionAdopted(request, endpoint))
        return handle

    def forget(self, request_id: RequestId) -> None:
        """Remove a request that has ended; unknown ids are ignored."""
        self._handles.pop(request_id, None)

    def may_send(self, request_id: RequestId, endpoint_id: EndpointId) -> bool:
        """Return whether the policy still allows the request's first byte to be sent to the endpoint."""
        return self._balancer.may_send(request_id, endpoint_id, self.now())

    def record_latency(self, endpoint_id: EndpointId, latency_ms: float) -> None:
        """Record the latency of one message at an endpoint."""
        self._latency_monitor.record(endpoint_id, latency_ms)

    def _next_request_id(self) -> int:
        self._last_request_id += 1
        return self._last_request_id

    def _register(self, handle: RequestHandle) -> RequestHandle:
        """Register the handle before its event is dispatched, so that commands reach it by its id."""
        self._handles[handle.id] = handle
        return handle

    # Updates from discovery and the load report poller.

    def discovery_changed(self) -> None:
        """Notify the policy that the discovery of a reloaded configuration serves the list from now on."""
        self.dispatch(DiscoveryChanged())

    def endpoint_list_received(self, kind: UpdateKind, endpoints: Iterable[Endpoint] = ()) -> None:
        """Pass the policy an endpoint list update; endpoints: empty if the call for the list failed."""
        self.endpoint_list_updated(EndpointListUpdate(kind, tuple(endpoints)))

    def endpoint_list_updated(self, update: EndpointListUpdate) -> None:
        """Pass the policy an endpoint list update, or the failure of a call for the list."""
        if update.kind is UpdateKind.FAILED:
            # Drops a request from before the failure, which would skip the backoff. This must happen before
            # the dispatch, in which the policy may request the list again.
            self._watch_requested = trio.Event()
        self.dispatch(update)

    def watch_hold_ms(self) -> float:
        """Return how long discovery may hold the next call for the list, ms."""
        return self._balancer.watch_hold_ms(self.now())

    def list_lease_ms(self) -> float:
        """Return the time left on the list lease, ms; inf: no limit."""
        return self._balancer.list_lease_ms(self.now())

    async def wait_for_watch_request(self) -> None:
        """Wait until the policy has requested the endpoint list since this method last returned."""
        await self._watch_requested.wait()
        self._watch_requested = trio.Event()

    def load_report_received(
        self, endpoint: EndpointId, response_time_ms: float, values: tuple[float, ...]
    ) -> None:
        """Pass the policy an endpoint's load report.

        endpoint: id of the endpoint. response_time_ms: time from the request to the response. values: in the
        order of the settings; empty if the endpoint has no report yet.
        """
        self.dispatch(
            LoadReportReceived(
                endpoint_id=endpoint, status=AttemptStatus.OK, elapsed_ms=response_time_ms, load_report=values
            )
        )

    # Events in, actions out.

    def dispatch(self, event: Event) -> None:
        """Pass one event to the policy and carry out the actions that it returns.

        Never raises: an error in the policy ends at most the request that the event is about.
        """
        try:
            for action in self._balancer.handle(event, self.now()):
                self._execute(action)
        except Exception:
            # Broad on purpose: no error in the policy may affect the other requests.
            log.exception("policy_error event=%s", type(event).__name__)
            handle = self._handles.get(_request_id(event))
            if handle and not handle.is_established:
                handle.deliver(Fail(handle.id, AnswerReason.INTERNAL_ERROR))

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt() | Reject() | Fail() | MigrateConnection():
                handle = self._handles.get(action.request_id)
                if handle:
                    handle.deliver(action)
            case StartTimer():
                self._timers.add(action.fires_at, action.token)
            case WatchEndpointList():
                self._watch_requested.set()
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
        """Report slow endpoints to the policy at regular intervals until cancelled."""
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

    # Graceful shutdown; server.BalancerServer.shut_down calls these methods in this order.

    async def migrate_connections(self, delay_s: float, duration_s: float) -> None:
        """Wait for a delay, then migrate every open connection at an even rate over a duration.

        Connections that are established later migrate in the next step. Runs until cancelled.
        """
        end_at = trio.current_time() + delay_s + duration_s
        await trio.sleep(delay_s)
        # New requests are served until now, because the balancer that takes over may still be starting.
        self.stopping = True
        await migrate_evenly(self._handles.values(), end_at)

    def shut_down(self) -> None:
        """Notify the policy that the balancer shuts down.

        Requests without an attempt get their final answers now, the others when their attempts end.
        """
        self.dispatch(ShutdownStarted())


def _shortest_message_objective_ms(settings: Settings) -> float:
    """Return the shortest message latency objective of all request classes, ms; inf if none is set."""
    objectives_ms = (request_class.message_latency_objective_ms for request_class in settings.request_classes)
    return min((objective_ms for objective_ms in objectives_ms if objective_ms), default=math.inf)


def _request_id(event: Event) -> RequestId:
    """Return the request id of an event; None if the event has none or adopts a connection."""
    if isinstance(event, Request):
        return event.id
    return getattr(event, "request_id", None)
