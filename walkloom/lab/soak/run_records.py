"""The history of a run, grouped by subject: requests and attempts, processes, the endpoint list. No I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from walkloom.lab.soak.client import ClientPlan
from walkloom.lab.soak.history import (
    AttemptBegan,
    AttemptEnd,
    AttemptEnded,
    AttemptNamed,
    ClientConnectionEnded,
    ClientLeft,
    HarnessStalled,
    History,
    Lifecycle,
    LineReturned,
    LineUnanswered,
    ListChanged,
    ProcessExited,
    ProcessMeasured,
    ProcessReady,
    ProcessSignalled,
    ProcessStarted,
    Record,
    RequestAnswered,
    RequestSent,
    ServerConnectionEnded,
)

# The platform's tolerance for times that are observed on sockets; every bound is extended by it.
SOCKET_SLACK_S = 0.05


@dataclass
class Attempt:
    """One attempt on a server."""

    server: str
    began_at: float
    ended_at: float = math.inf
    was_ended_by_server: bool = False
    end: AttemptEnd | None = None


@dataclass
class RequestRecords:
    """All records of one request."""

    plan: ClientPlan
    sent_at: float = math.inf
    answers: list[RequestAnswered] = field(default_factory=list)
    left_at: float = math.inf
    ended: ClientConnectionEnded | None = None
    attempts: list[Attempt] = field(default_factory=list)
    lines: list[LineReturned] = field(default_factory=list)
    silences: list[LineUnanswered] = field(default_factory=list)


@dataclass
class ProcessRecords:
    """All records of the processes; each list is ordered by time."""

    starts: list[ProcessStarted] = field(default_factory=list)
    ready_records: list[ProcessReady] = field(default_factory=list)
    signals: list[ProcessSignalled] = field(default_factory=list)
    exits: list[ProcessExited] = field(default_factory=list)
    measurements: list[ProcessMeasured] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Add a record; records that concern no process are ignored."""
        match record:
            case ProcessStarted():
                self.starts.append(record)
            case ProcessReady():
                self.ready_records.append(record)
            case ProcessSignalled():
                self.signals.append(record)
            case ProcessExited():
                self.exits.append(record)
            case ProcessMeasured():
                self.measurements.append(record)

    def is_planned(self, kill: ProcessSignalled, sigkill_delay_s: float) -> bool:
        """Whether a SIGKILL ends a planned shutdown: at most `sigkill_delay_s` + 1 s after a SIGTERM."""
        return any(
            signal.name == "SIGTERM"
            and signal.balancer == kill.balancer
            and 0 < kill.at - signal.at <= sigkill_delay_s + 1.0
            for signal in self.signals
        )


class Stalls:
    """Times in which the stand-ins did not run, so that records right after may be late."""

    def __init__(self, stalls: Iterable[HarnessStalled]) -> None:
        self._stalls = list(stalls)
        self._ends = [stall.at for stall in self._stalls]

    def earliest_time(self, at: float) -> float:
        """Return the earliest time at which an event recorded at `at` can have happened."""
        index = bisect_right(self._ends, at) - 1
        if index >= 0 and at - self._stalls[index].at <= SOCKET_SLACK_S:
            return self._stalls[index].since
        return at

    def stalled_s(self, since: float, until: float) -> float:
        """Return how long the stand-ins did not run between two times."""
        return sum(
            stall.at - stall.since for stall in self._stalls if stall.at > since and stall.since < until
        )


class RunRecords:
    """The history of one run, grouped by subject."""

    def __init__(self, clients: Iterable[ClientPlan], history: History) -> None:
        self.requests = {plan.request: RequestRecords(plan) for plan in clients}
        self.processes = ProcessRecords()
        self.stalls = Stalls(record for record in history.records if isinstance(record, HarnessStalled))
        self._attempts: dict[int, Attempt] = {}
        self._changes: dict[str, list[ListChanged]] = {}
        for record in history.records:
            self.processes.add(record)
            self._add_attempt(record)
            self._add_request(record)
            if isinstance(record, ListChanged):
                self._changes.setdefault(record.server, []).append(record)

    @property
    def started_at(self) -> float:
        """The start of the run, from which the clients' offsets count."""
        return min(
            (request.sent_at - request.plan.offset_s for request in self.requests.values()), default=0.0
        )

    def drain_in_effect(self, server: str, at: float) -> ListChanged | None:
        """Return the change that ended a server's READY state; None where it is ready at `at`."""
        drain = None
        for change in self._changes.get(server, []):
            if change.at > at:
                break
            drain = None if change.lifecycle is Lifecycle.READY else drain or change
        return drain

    def _add_attempt(self, record: Record) -> None:
        match record:
            case AttemptBegan():
                self._attempts[record.attempt] = Attempt(record.server, record.at)
            case AttemptNamed():
                if request := self.requests.get(record.request):
                    request.attempts.append(self._attempts[record.attempt])
            case AttemptEnded():
                attempt = self._attempts[record.attempt]
                attempt.ended_at = min(attempt.ended_at, record.at)
                attempt.end = attempt.end or record.end
            case ServerConnectionEnded():
                self._attempts[record.attempt].was_ended_by_server = record.by_server

    def _add_request(self, record: Record) -> None:
        match record:
            case RequestSent():
                self.requests[record.request].sent_at = record.at
            case RequestAnswered():
                self.requests[record.request].answers.append(record)
            case ClientLeft():
                self.requests[record.request].left_at = record.at
            case ClientConnectionEnded():
                self.requests[record.request].ended = record
            case LineReturned():
                self.requests[record.request].lines.append(record)
            case LineUnanswered():
                self.requests[record.request].silences.append(record)
