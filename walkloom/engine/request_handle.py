"""One request at the engine: its mailbox of commands, and its reports on attempts.

The engine creates a handle for each request; the frontend task that serves the request keeps it until the
request ends. The task receives commands from the mailbox, carries them out and reports the results. A handle
does no I/O and makes no decisions.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from contextlib import suppress
from typing import Protocol, TypeAlias

import trio

from walkloom.engine.load_signal import LoadSignalClassifier
from walkloom.messages import (
    AnswerReason,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionSignal,
    EndpointId,
    Event,
    Fail,
    MigrateConnection,
    Reject,
    RequestId,
    StartAttempt,
)

log = logging.getLogger("walkloom")

# The commands that the policy may send to the task that serves a request.
RequestCommand: TypeAlias = StartAttempt | Reject | Fail | MigrateConnection

# Largest number of lines of one request whose latency is measured at the same time. Without a limit, a client
# that keeps sending without reading would exhaust memory.
MAX_PENDING_LINES = 256

# One connection contributes a latency at most this often: a client that floods must not outweigh others.
LATENCY_SAMPLE_INTERVAL_MS = 100.0

# A client that takes longer to accept lines is slow: latencies during that time are not the endpoint's.
SLOW_CLIENT_SEND_MS = 10.0


class RequestHost(Protocol):
    """The part of the engine that a handle uses; `Engine` implements it.

    Defined here to avoid an import cycle between the two modules.
    """

    load_signals: LoadSignalClassifier

    def now(self) -> float:
        """Return the policy's clock, ms."""

    def dispatch(self, event: Event) -> None:
        """Pass an event to the policy and carry out the actions that it returns."""

    def may_send(self, request_id: RequestId, endpoint_id: EndpointId) -> bool:
        """Return whether the request may still be sent to the endpoint."""

    def record_latency(self, endpoint_id: EndpointId, latency_ms: float) -> None:
        """Record the latency of one message at an endpoint."""

    def forget(self, request_id: RequestId) -> None:
        """Remove the request; its handle receives no more commands."""


class RequestHandle:
    """One request, from its arrival to its end.

    Attributes that frontends read:

    - id: the request's number at this balancer.
    - deadline: absolute time by which the final answer must be sent, ms.
    - attempt: number of the latest attempt, from 0; -1 before the first.
    - endpoint_id: the endpoint of the latest attempt.
    - attempt_started_at: when the policy started the latest attempt, ms.
    - is_established: whether the endpoint has accepted the connection.
    """

    def __init__(
        self,
        engine: RequestHost,
        request_id: int,
        deadline: float,
        attempt: int = -1,
        endpoint_id: EndpointId = None,
    ) -> None:
        """Create the handle; an attempt of 0 or more means that the connection is already established."""
        self.engine = engine
        self.id = request_id
        self.deadline = deadline
        self.attempt = attempt
        self.endpoint_id = endpoint_id
        self._received_at = engine.now()
        self.attempt_started_at = self._received_at
        self.is_established = attempt >= 0
        # Whether the first byte of the latest attempt may have been sent.
        self.sending_started = self.is_established
        # Send time of each forwarded line that has no answer yet, ms; oldest first.
        self.pending_lines = deque[float]()
        # When the latest latency was recorded, and since when the client does not accept a line, ms.
        self._latency_recorded_at = -math.inf
        self._client_send_started_at = math.inf
        self._mailbox, self._commands = trio.open_memory_channel[RequestCommand](math.inf)

    async def next_command(self) -> RequestCommand:
        """Wait for the policy's next command.

        Before the connection is established, this returns Fail once the deadline has passed.
        """
        with trio.move_on_after(self._time_to_deadline_s()):
            return await self._commands.receive()
        # A command that arrived in the same tick as the deadline is still the policy's answer.
        with suppress(trio.WouldBlock):
            return self._commands.receive_nowait()
        return self._fail_unanswered()

    def deliver(self, command: RequestCommand) -> None:
        """Put a command into the mailbox; only the engine calls this."""
        if isinstance(command, StartAttempt):
            self.attempt += 1
            self.endpoint_id = command.endpoint_id
            self.attempt_started_at = self.engine.now()
            self.sending_started = False
        self._mailbox.send_nowait(command)

    def may_start_sending(self) -> bool:
        """Return whether the attempt's first byte may still be sent; call this right before sending.

        While the connection was being set up, the endpoint may have begun to drain, or the time in which the
        request may be repeated may have run out.
        """
        self.sending_started = self.engine.may_send(self.id, self.endpoint_id)
        return self.sending_started

    def cancel_for_shutdown(self) -> Reject | Fail:
        """End the latest attempt because the balancer shuts down, and return the final answer.

        Call this after Engine.shut_down. The policy chooses the answer, because a Reject guarantees that
        nothing ran.
        """
        self.report_ended(AttemptStatus.CANCELLED if self.sending_started else AttemptStatus.NOT_SENT)
        if self.is_established:
            # An adopted connection belongs to its endpoint: no other may have it, so there is no choice.
            return Fail(self.id, AnswerReason.SHUTDOWN)
        # The mailbox may still hold commands from before the shutdown; only the final answer matters now.
        with suppress(trio.WouldBlock):
            while True:
                command = self._commands.receive_nowait()
                if isinstance(command, Reject | Fail):
                    return command
        return self._fail_unanswered()

    def report_established(self) -> None:
        """Report that the endpoint has accepted the connection."""
        self.is_established = True
        self.engine.dispatch(
            AttemptEstablished(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.endpoint_id,
                elapsed_ms=self._elapsed_ms(),
            )
        )

    def report_ended(self, status: AttemptStatus, ends_request: bool = False) -> None:
        """Report that the latest attempt, or the connection that it established, has ended.

        ends_request: the request has ended too, and no further answer is needed.
        """
        self.engine.dispatch(
            AttemptEnded(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.endpoint_id,
                status=status,
                elapsed_ms=self._elapsed_ms(),
                request_closed=ends_request,
            )
        )

    def report_load_signal(self, value: float) -> None:
        """Report the value of a load signal, which may also be a message latency.

        Raises LoadSignalError if the value is out of range.
        """
        signal = self.engine.load_signals.classify(self.endpoint_id, value, self.engine.now())
        self.engine.dispatch(
            ConnectionSignal(
                request_id=self.id,
                attempt=self.attempt,
                endpoint_id=self.endpoint_id,
                kind=signal.kind,
                value=signal.value,
            )
        )

    def report_client_disconnected(self) -> None:
        """Report that the client closed its connection before the final answer."""
        self.engine.dispatch(ClientDisconnected(self.id))

    def record_lines_forwarded(self, count: int) -> None:
        """Record that lines from the client were forwarded to the endpoint."""
        measured = min(count, MAX_PENDING_LINES - len(self.pending_lines))
        if measured > 0:
            self.pending_lines.extend([self.engine.now()] * measured)

    def record_lines_returned(self, count: int) -> None:
        """Record that the endpoint sent lines, which answer the oldest pending lines."""
        now = self.engine.now()
        if self.pending_lines and count > 0 and now - self._latency_recorded_at >= LATENCY_SAMPLE_INTERVAL_MS:
            self._latency_recorded_at = now
            self.engine.record_latency(self.endpoint_id, now - self.pending_lines[0])
        for _ in range(min(count, len(self.pending_lines))):
            self.pending_lines.popleft()

    def client_send_started(self) -> None:
        """Record that lines are being sent to the client; the endpoint is not read meanwhile."""
        self._client_send_started_at = self.engine.now()

    def client_send_ended(self) -> None:
        """Record that the client has accepted the lines."""
        if self.client_send_ms() > SLOW_CLIENT_SEND_MS:
            # The endpoint's answers waited for the client.
            self.pending_lines.clear()
        self._client_send_started_at = math.inf

    def client_send_ms(self) -> float:
        """Return for how long the client has not accepted the lines sent to it, ms; 0 if none are sent."""
        return max(self.engine.now() - self._client_send_started_at, 0.0)

    def oldest_pending_line_ms(self) -> float:
        """Return how long the oldest line without an answer has waited, ms; 0 if there is none.

        Also 0 while the client does not accept what the endpoint has sent.
        """
        if not self.pending_lines or self._client_send_started_at < math.inf:
            return 0.0
        return self.engine.now() - self.pending_lines[0]

    def age_ms(self) -> float:
        """Return the time since the request arrived, ms."""
        return self.engine.now() - self._received_at

    def close(self) -> None:
        """Remove the request from the engine; the task always calls this last."""
        self.engine.forget(self.id)

    def _time_to_deadline_s(self) -> float:
        """Return the time until the deadline, s; inf once the connection is established."""
        if self.is_established:
            return math.inf
        return max(self.deadline - self.engine.now(), 0.0) / 1000.0

    def _fail_unanswered(self) -> Fail:
        """Return the final answer for a request that the policy did not answer.

        The policy's timer for the request may have failed; the client must still get exactly one final
        answer.
        """
        log.error("policy_gave_no_answer request=%d", self.id)
        return Fail(self.id, AnswerReason.INTERNAL_ERROR)

    def _elapsed_ms(self) -> float:
        return self.engine.now() - self.attempt_started_at
