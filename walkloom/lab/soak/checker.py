"""Checks the platform's rules on the history of a run; knows neither the balancer's code nor its log. No I/O.

Bounds are those of the pages "Protocol" and "Standing test". Times are seconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass, field

from walkloom.lab.soak.client import ClientConduct, ClientPlan
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import (
    AttemptBegan,
    AttemptEnded,
    AttemptNamed,
    ClientConnectionEnded,
    ClientLeft,
    HarnessStalled,
    History,
    Lifecycle,
    LineReturned,
    ListChanged,
    ProcessExited,
    ProcessReady,
    ProcessSignalled,
    ProcessStarted,
    Record,
    RequestAnswered,
    RequestSent,
    ServerConnectionEnded,
)
from walkloom.lab.soak.notices import Notices

# Every time limit is this much longer on sockets.
SOCKET_SLACK_S = 0.05
# A final answer so long after the deadline earns nothing; a later one is lost.
ANSWER_GRACE_S = 0.5
# An attempt begun so long after its client left is a lost request.
LEFT_GRACE_S = 0.1
# For so long after SIGTERM new connections are still owed an answer.
ACCEPT_AFTER_TERM_S = 0.4
MAX_LINE_DELAY_S = 1.0
BAD_CLIENT_S = 3.0
MAX_READY_S = 10.0


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule: `at` is when, `bound` when it had to be over."""

    rule: str
    balancer: str
    request: str
    at: float
    bound: float
    text: str

    def __str__(self) -> str:
        return (
            f"{self.rule} balancer={self.balancer} request={self.request} "
            f"at={self.at:.3f} bound={self.bound:.3f} {self.text}"
        )


@dataclass
class _Attempt:
    """One attempt at a server."""

    number: int
    server: str
    began_at: float
    ended_at: float = math.inf
    connection_ended_at: float = math.inf
    was_ended_by_server: bool = False


@dataclass
class _Request:
    """All records of one request."""

    plan: ClientPlan
    sent_at: float = math.inf
    answers: list[RequestAnswered] = field(default_factory=list)
    left_at: float = math.inf
    ended: ClientConnectionEnded | None = None
    attempts: list[_Attempt] = field(default_factory=list)
    held_lines: list[LineReturned] = field(default_factory=list)


class Checker:
    """Reads one history, and returns the violations."""

    def __init__(self, deployment: Deployment, clients: list[ClientPlan], history: History) -> None:
        self._deployment = deployment
        self._requests = {plan.request: _Request(plan) for plan in clients}
        self._notices = Notices(
            history, is_pushed=deployment.is_pushed, ask_within_s=deployment.ask_within_ms / 1000.0
        )
        self._attempts: dict[int, _Attempt] = {}
        self._changes: dict[str, list[ListChanged]] = {}
        self._signals: list[ProcessSignalled] = []
        self._exits: list[ProcessExited] = []
        self._starts: list[ProcessStarted] = []
        self._readies: list[ProcessReady] = []
        self._stalls: list[HarnessStalled] = []
        for record in history.records:
            self._sort(record)
        self._stall_ends = [stall.at for stall in self._stalls]

    def _sort(self, record: Record) -> None:
        match record:
            case ListChanged():
                self._changes.setdefault(record.server, []).append(record)
            case ProcessSignalled():
                self._signals.append(record)
            case ProcessExited():
                self._exits.append(record)
            case ProcessStarted():
                self._starts.append(record)
            case ProcessReady():
                self._readies.append(record)
            case HarnessStalled():
                self._stalls.append(record)
            case AttemptBegan() | AttemptNamed() | AttemptEnded() | ServerConnectionEnded():
                self._sort_attempt(record)
            case RequestSent() | RequestAnswered() | ClientLeft() | ClientConnectionEnded() | LineReturned():
                self._sort_request(record)

    def _sort_attempt(
        self, record: AttemptBegan | AttemptNamed | AttemptEnded | ServerConnectionEnded
    ) -> None:
        match record:
            case AttemptBegan():
                self._attempts[record.attempt] = _Attempt(record.attempt, record.server, record.at)
            case AttemptNamed():
                if request := self._requests.get(record.request):
                    request.attempts.append(self._attempts[record.attempt])
            case AttemptEnded():
                attempt = self._attempts[record.attempt]
                attempt.ended_at = min(attempt.ended_at, record.at)
            case ServerConnectionEnded():
                attempt = self._attempts[record.attempt]
                attempt.connection_ended_at = record.at
                attempt.was_ended_by_server = record.by_server

    def _sort_request(
        self, record: RequestSent | RequestAnswered | ClientLeft | ClientConnectionEnded | LineReturned
    ) -> None:
        request = self._requests[record.request]
        match record:
            case RequestSent():
                request.sent_at = record.at
            case RequestAnswered():
                request.answers.append(record)
            case ClientLeft():
                request.left_at = record.at
            case ClientConnectionEnded():
                request.ended = record
            case LineReturned():
                if record.delay_s > MAX_LINE_DELAY_S:
                    request.held_lines.append(record)

    def check(self) -> list[Violation]:
        """Return all violations, by time."""
        violations = [*self._check_processes()]
        for request in self._requests.values():
            violations += self._check_drains(request)
            violations += self._check_attempts(request)
            violations += self._check_answer(request)
            violations += self._check_connection(request)
        return sorted(violations, key=lambda violation: violation.at)

    def _earliest(self, at: float) -> float:
        """Return the earliest time at which something recorded at `at` can have happened."""
        index = bisect_right(self._stall_ends, at) - 1
        if index >= 0 and at - self._stalls[index].at <= SOCKET_SLACK_S:
            return self._stalls[index].since
        return at

    def _stalled_s(self, since: float, until: float) -> float:
        """Return how long the stand-ins did not run between two times."""
        return sum(
            stall.at - stall.since for stall in self._stalls if stall.at > since and stall.since < until
        )

    # Drains

    def _check_drains(self, request: _Request) -> list[Violation]:
        violations = []
        for attempt in request.attempts:
            drain = self._drain_at(attempt.server, attempt.began_at)
            if drain is None:
                continue
            balancer = request.plan.balancer
            notified_at = self._notices.notified_at(balancer, drain.generation, drain.at, attempt.began_at)
            bound = notified_at + self._deployment.drain_grace_ms / 1000.0 + SOCKET_SLACK_S
            if self._earliest(attempt.began_at) > bound:
                text = f"server={attempt.server} drains since {drain.at:.3f}, notified {notified_at:.3f}"
                violations.append(
                    Violation("drain", balancer, request.plan.request, attempt.began_at, bound, text)
                )
        return violations

    def _drain_at(self, server: str, at: float) -> ListChanged | None:
        """Return the change with which a server ceased to be ready; None where it is ready at `at`."""
        drain = None
        for change in self._changes.get(server, []):
            if change.at > at:
                break
            drain = None if change.lifecycle is Lifecycle.READY else drain or change
        return drain

    # Attempts

    def _check_attempts(self, request: _Request) -> list[Violation]:
        violations = []
        balancer, name = request.plan.balancer, request.plan.request
        for number, attempt in enumerate(request.attempts):
            if number >= self._deployment.max_attempts:
                text = f"attempt {number + 1} at {attempt.server}"
                violations.append(Violation("attempts", balancer, name, attempt.began_at, math.inf, text))
            left_bound = request.left_at + LEFT_GRACE_S + SOCKET_SLACK_S
            if self._earliest(attempt.began_at) > left_bound:
                text = f"an attempt at {attempt.server} after the client left"
                violations.append(Violation("left", balancer, name, attempt.began_at, left_bound, text))
            if (
                number
                and attempt.began_at < self._earliest(request.attempts[number - 1].ended_at) - SOCKET_SLACK_S
            ):
                text = f"{attempt.server} while the attempt before was out"
                bound = request.attempts[number - 1].ended_at
                violations.append(Violation("duplicate", balancer, name, attempt.began_at, bound, text))
        return violations

    # Answers

    def _check_answer(self, request: _Request) -> list[Violation]:
        plan = request.plan
        if plan.conduct is ClientConduct.STOPS_MIDWAY:
            return self._check_bad_client(request)
        if math.isinf(request.sent_at) or not math.isinf(request.left_at):
            return []
        due = request.sent_at + plan.deadline_ms / 1000.0 + ANSWER_GRACE_S + SOCKET_SLACK_S
        due += self._stalled_s(request.sent_at, due)
        answered_at = request.answers[0].at if request.answers else math.inf
        if answered_at <= due or self._is_excused(request, due):
            return []
        text = "no answer" if not request.answers else f"{request.answers[0].word} too late"
        if request.ended:
            text += f", ended at {request.ended.at:.3f} {'by reset' if request.ended.by_reset else ''}"
        at = min(answered_at, request.ended.at if request.ended else due)
        return [Violation("lost", plan.balancer, plan.request, at, due, text)]

    def _check_bad_client(self, request: _Request) -> list[Violation]:
        """A client that stops within its line is answered or closed in time."""
        if request.ended is None:
            return []
        plan = request.plan
        connected_at = self._first_request_at + plan.at
        bound = connected_at + BAD_CLIENT_S + SOCKET_SLACK_S
        bound += self._stalled_s(connected_at, bound) + 1.0  # of the client's own connecting
        if request.ended.at <= bound:
            return []
        text = "a client that stopped midway was not ended in time"
        return [Violation("bad_client", plan.balancer, plan.request, request.ended.at, bound, text)]

    @property
    def _first_request_at(self) -> float:
        """The origin of the plans' times."""
        sent = [request.sent_at - request.plan.at for request in self._requests.values()]
        return min(sent, default=0.0)

    def _is_excused(self, request: _Request, due: float) -> bool:
        """Whether its balancer was killed without a warning, or had long been told to end."""
        plan = request.plan
        for signal in self._signals:
            if signal.balancer != plan.balancer:
                continue
            is_outright = signal.name == "SIGKILL" and not self._is_planned(signal)
            if is_outright and request.sent_at <= signal.at + SOCKET_SLACK_S and signal.at <= due:
                return True
            if signal.name == "SIGTERM":
                # After the time in which new connections come, they reach a process that is about to end.
                end = signal.at + self._deployment.kill_after_s + SOCKET_SLACK_S
                if signal.at + ACCEPT_AFTER_TERM_S < request.sent_at <= end and not request.attempts:
                    return True
        # Idle clients fill the descriptors: new connections may be shut unread.
        return self._deployment.has_crowd and request.ended is not None and not request.attempts

    def _is_planned(self, kill: ProcessSignalled) -> bool:
        """Whether a SIGKILL ends a planned stop, at its earliest or later."""
        return any(
            signal.name == "SIGTERM"
            and signal.balancer == kill.balancer
            and 0 < kill.at - signal.at <= self._deployment.kill_after_s + 1.0
            for signal in self._signals
        )

    # Established connections

    def _check_connection(self, request: _Request) -> list[Violation]:
        plan = request.plan
        if not request.answers or request.answers[0].word != "UP":
            return []
        violations = []
        for line in request.held_lines:
            if line.delay_s - self._stalled_s(line.at - line.delay_s, line.at) > MAX_LINE_DELAY_S:
                text = f"a line was held for {line.delay_s:.3f}"
                violations.append(
                    Violation(
                        "held", plan.balancer, plan.request, line.at, line.at - line.delay_s + 1.0, text
                    )
                )
        ended = request.ended
        if ended is None:
            return violations
        if "MOVE" in ended.last_line and ended.last_line != "MOVE":
            text = f"MOVE within a line: {ended.last_line!r}"
            violations.append(Violation("move", plan.balancer, plan.request, ended.at, ended.at, text))
        was_moved = ended.last_line in ("MOVE", "BYE")
        if not was_moved and not self._was_cut_elsewhere(request, ended.at):
            text = f"cut off without MOVE, last line {ended.last_line!r}"
            violations.append(Violation("cut", plan.balancer, plan.request, ended.at, ended.at, text))
        return violations

    def _was_cut_elsewhere(self, request: _Request, ended_at: float) -> bool:
        """Whether the server ended the connection, or the balancer was killed without a warning."""
        if any(attempt.was_ended_by_server for attempt in request.attempts):
            return True
        return any(
            signal.name == "SIGKILL"
            and signal.balancer == request.plan.balancer
            and not self._is_planned(signal)
            and abs(signal.at - ended_at) <= 1.0 + self._stalled_s(signal.at, ended_at)
            for signal in self._signals
        )

    # Processes

    def _check_processes(self) -> list[Violation]:
        violations = []
        for ended in self._exits:
            if ended.status not in (0, -9):
                text = f"exit status {ended.status}"
                violations.append(Violation("crash", ended.balancer, "-", ended.at, math.inf, text))
        for start in self._starts:
            readies = [
                ready.at
                for ready in self._readies
                if ready.balancer == start.balancer and ready.at >= start.at
            ]
            bound = start.at + MAX_READY_S + self._stalled_s(start.at, start.at + MAX_READY_S)
            was_ended = any(
                signal.balancer == start.balancer
                and signal.name in ("SIGKILL", "SIGTERM")
                and start.at <= signal.at <= bound
                for signal in self._signals
            )
            if min(readies, default=math.inf) > bound and not was_ended:
                text = "not ready in time"
                violations.append(Violation("ready", start.balancer, "-", start.at, bound, text))
        return violations
