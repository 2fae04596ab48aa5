"""Rules for requests and their connections. No I/O; times are seconds on the history's clock.

The bounds come from the platform's pages "Protocol" and "Standing test".
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from walkloom.lab.soak.client import ClientBehaviour
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import AttemptEnd
from walkloom.lab.soak.notices import NotificationTimes
from walkloom.lab.soak.run_records import SOCKET_SLACK_S, Attempt, RequestRecords, RunRecords
from walkloom.lab.soak.violation import Violation

# A final answer up to this long after the deadline has no value but breaks no rule. A later one counts as
# lost.
ANSWER_GRACE_S = 0.5
# An attempt may begin up to this long after the client of its request disconnected. With a later one, the
# request counts as lost.
LEFT_GRACE_S = 0.1
# Requests that are sent up to this long after SIGTERM must still be answered.
ACCEPT_AFTER_TERM_S = 0.4
MAX_LINE_DELAY_S = 1.0
# A connection on which a running server returns nothing must be closed or migrated within this time. Clients
# check for it once per line that they send, hence the slack.
MAX_SILENCE_S = 7.0
SILENCE_SLACK_S = 0.5
# A client that stops within its request line must be answered or closed within this time.
BAD_CLIENT_TIMEOUT_S = 3.0
# Time for a client of the run to connect.
CONNECT_SLACK_S = 1.0
# After SIGKILL all connections of the process end within this time.
KILL_SLACK_S = 1.0
# Ends of an attempt that prove that the request did not run.
ENDS_WITHOUT_EFFECT = (AttemptEnd.AT_CAPACITY,)


class RequestRules:
    """Checks the rules for one request at a time."""

    def __init__(
        self, run: RunRecords, notification_times: NotificationTimes, deployment: Deployment
    ) -> None:
        self._run = run
        self._notification_times = notification_times
        self._deployment = deployment
        self._repeat_by_class = {
            request_class.name: request_class.repeat for request_class in deployment.classes
        }

    def check(self, request: RequestRecords) -> Iterator[Violation]:
        """Yield the violations of one request."""
        yield from self._check_drains(request)
        yield from self._check_attempts(request)
        yield from self._check_repeats(request)
        if request.plan.behaviour is ClientBehaviour.STOPS_MIDWAY:
            yield from self._check_bad_client(request)
        else:
            yield from self._check_answer(request)
        if request.answers and request.answers[0].word == "UP":
            yield from self._check_lines(request)
            yield from self._check_end(request)

    def _violation(self, rule: str, request: RequestRecords, at: float, bound: float, text: str) -> Violation:
        return Violation(rule, request.plan.balancer, request.plan.request, at, bound, text)

    # Attempts

    def _check_drains(self, request: RequestRecords) -> Iterator[Violation]:
        for attempt in request.attempts:
            drain = self._run.drain_in_effect(attempt.server, attempt.began_at)
            if drain is None:
                continue
            notified_at = self._notification_times.notified_at(
                request.plan.balancer, drain.generation, drain.at, attempt.began_at
            )
            bound = notified_at + self._deployment.drain_grace_ms / 1000.0 + SOCKET_SLACK_S
            if self._run.stalls.earliest_time(attempt.began_at) > bound:
                text = f"server={attempt.server} draining since {drain.at:.3f}, notified at {notified_at:.3f}"
                yield self._violation("drain", request, attempt.began_at, bound, text)

    def _check_attempts(self, request: RequestRecords) -> Iterator[Violation]:
        left_bound = request.left_at + LEFT_GRACE_S + SOCKET_SLACK_S
        previous_end = -math.inf
        for number, attempt in enumerate(request.attempts, 1):
            if number > self._deployment.max_attempts:
                text = f"attempt {number} at {attempt.server}"
                yield self._violation("attempts", request, attempt.began_at, math.inf, text)
            if self._run.stalls.earliest_time(attempt.began_at) > left_bound:
                text = f"attempt on {attempt.server} after the client disconnected"
                yield self._violation("left", request, attempt.began_at, left_bound, text)
            if attempt.began_at < self._run.stalls.earliest_time(previous_end) - SOCKET_SLACK_S:
                text = f"{attempt.server} got an attempt while the previous one was open"
                yield self._violation("duplicate", request, attempt.began_at, previous_end, text)
            previous_end = attempt.ended_at

    def _check_repeats(self, request: RequestRecords) -> Iterator[Violation]:
        """Check the retries of a request that may have run: its class limits their servers and their time."""
        repeat = self._repeat_by_class[request.plan.request_class]
        may_have_run = [attempt for attempt in request.attempts if attempt.end not in ENDS_WITHOUT_EFFECT]
        if repeat == "idempotent" or not may_have_run:
            return
        first = may_have_run[0]
        bound = first.began_at + self._deployment.deduplication_window_ms / 1000.0 + SOCKET_SLACK_S
        for attempt in request.attempts[request.attempts.index(first) + 1 :]:
            is_late = self._run.stalls.earliest_time(attempt.began_at) > bound
            if repeat == "at_most_once" or is_late or not self._share_deduplication_scope(first, attempt):
                text = f"{repeat}: repeated on {attempt.server} after {first.server} ({first.end})"
                yield self._violation("repeat", request, attempt.began_at, bound, text)
        is_busy_allowed = repeat == "deduplicated" and self._deployment.deduplication_scope == "all"
        if request.answers and request.answers[0].word == "BUSY" and not is_busy_allowed:
            text = f"{repeat}: BUSY promises that nothing ran, but the request may have run on {first.server}"
            yield self._violation("promise", request, request.answers[0].at, first.began_at, text)

    def _share_deduplication_scope(self, first: Attempt, second: Attempt) -> bool:
        """Whether the second server drops repeats of a request that the first one ran."""
        if self._deployment.deduplication_scope == "all":
            return True
        return self._deployment.zone_of(first.server) == self._deployment.zone_of(second.server)

    # Answers

    def _check_answer(self, request: RequestRecords) -> Iterator[Violation]:
        if math.isinf(request.sent_at) or not math.isinf(request.left_at):
            return
        due_at = request.sent_at + request.plan.deadline_ms / 1000.0 + ANSWER_GRACE_S + SOCKET_SLACK_S
        due_at += self._run.stalls.stalled_s(request.sent_at, due_at)
        answered_at = request.answers[0].at if request.answers else math.inf
        if answered_at <= due_at or self._is_excused(request, due_at):
            return
        text = f"{request.answers[0].word} answered too late" if request.answers else "no answer"
        at = min(answered_at, due_at)
        if request.ended:
            text += f", closed at {request.ended.at:.3f}{' by a reset' if request.ended.by_reset else ''}"
            at = min(at, request.ended.at)
        yield self._violation("lost", request, at, due_at, text)

    def _is_excused(self, request: RequestRecords, due_at: float) -> bool:
        """Whether the request needs no answer.

        That is so where its balancer was killed without SIGTERM or was about to end after SIGTERM, or where a
        crowd of idle clients uses up the descriptors.
        """
        sigkill_delay_s = self._deployment.sigkill_delay_s
        for signal in self._run.processes.signals:
            if signal.balancer != request.plan.balancer:
                continue
            is_unannounced = signal.name == "SIGKILL" and not self._run.processes.is_planned(
                signal, sigkill_delay_s
            )
            if is_unannounced and request.sent_at <= signal.at + SOCKET_SLACK_S and signal.at <= due_at:
                return True
            # A request sent more than ACCEPT_AFTER_TERM_S after SIGTERM may reach a process that is about to
            # end.
            ending_since = signal.at + ACCEPT_AFTER_TERM_S
            ending_until = signal.at + sigkill_delay_s + SOCKET_SLACK_S
            is_ending = signal.name == "SIGTERM" and ending_since < request.sent_at <= ending_until
            if is_ending and not request.attempts:
                return True
        # Idle clients use up the descriptors: new connections may be closed unread.
        return self._deployment.has_crowd and request.ended is not None and not request.attempts

    def _check_bad_client(self, request: RequestRecords) -> Iterator[Violation]:
        """A client that stops within its request line is answered or closed in time."""
        connected_at = self._run.started_at + request.plan.offset_s
        bound = connected_at + BAD_CLIENT_TIMEOUT_S + CONNECT_SLACK_S + SOCKET_SLACK_S
        bound += self._run.stalls.stalled_s(connected_at, bound)
        if request.ended and request.ended.at > bound:
            text = "a client that stopped within its request line was not closed in time"
            yield self._violation("bad_client", request, request.ended.at, bound, text)

    # Established connections

    def _check_lines(self, request: RequestRecords) -> Iterator[Violation]:
        for line in request.lines:
            sent_at = line.at - line.delay_s
            if line.delay_s - self._run.stalls.stalled_s(sent_at, line.at) > MAX_LINE_DELAY_S:
                text = f"a line was held; its delay in seconds: {line.delay_s:.3f}"
                yield self._violation("held", request, line.at, sent_at + MAX_LINE_DELAY_S, text)
        for silence in request.silences[:1]:
            sent_at = silence.at - silence.waited_s
            bound = sent_at + MAX_SILENCE_S + SILENCE_SLACK_S
            bound += self._run.stalls.stalled_s(sent_at, silence.at)
            if silence.at > bound:
                text = f"no line was returned; wait in seconds: {silence.waited_s:.3f}"
                yield self._violation("silent", request, silence.at, bound, text)

    def _check_end(self, request: RequestRecords) -> Iterator[Violation]:
        ended = request.ended
        if ended is None:
            return
        if "MOVE" in ended.last_line and ended.last_line != "MOVE":
            text = f"MOVE within a line: {ended.last_line!r}"
            yield self._violation("move", request, ended.at, ended.at, text)
        was_ended_normally = ended.last_line in ("MOVE", "BYE")
        if not was_ended_normally and not self._is_cut_allowed(request, ended.at):
            text = f"connection cut without MOVE, last line {ended.last_line!r}"
            yield self._violation("cut", request, ended.at, ended.at, text)

    def _is_cut_allowed(self, request: RequestRecords, ended_at: float) -> bool:
        """Whether the server ended the connection, or the balancer was killed without SIGTERM."""
        if any(attempt.was_ended_by_server for attempt in request.attempts):
            return True
        processes = self._run.processes
        return any(
            signal.name == "SIGKILL"
            and signal.balancer == request.plan.balancer
            and not processes.is_planned(signal, self._deployment.sigkill_delay_s)
            and abs(signal.at - ended_at) <= KILL_SLACK_S + self._run.stalls.stalled_s(signal.at, ended_at)
            for signal in processes.signals
        )
