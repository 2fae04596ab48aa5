"""The history of a run, sorted by what it is about: requests and attempts, processes, the list. No I/O."""

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

# Every time limit is this much longer on sockets. The platform's figure.
SOCKET_SLACK_S = 0.05


@dataclass
class Attempt:
    """One attempt at a server."""

    server: str
    began_at: float
    ended_at: float = math.inf
    was_ended_by_server: bool = False
    end: AttemptEnd | None = None


@dataclass
class RequestRecords:
    """All that was seen of one request."""

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
    """All that was seen of the processes, each list in the order of time."""

    starts: list[ProcessStarted] = field(default_factory=list)
    readies: list[ProcessReady] = field(default_factory=list)
    signals: list[ProcessSignalled] = field(default_factory=list)
    exits: list[ProcessExited] = field(default_factory=list)
    measures: list[ProcessMeasured] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Take in a record; those that are about no process are passed over."""
        match record:
            case ProcessStarted():
                self.starts.append(record)
            case ProcessReady():
                self.readies.append(record)
            case ProcessSignalled():
                self.signals.append(record)
            case ProcessExited():
                self.exits.append(record)
            case ProcessMeasured():
                self.measures.append(record)

    def is_planned(self, kill: ProcessSignalled, kill_after_s: float) -> bool:
        """Whether a SIGKILL ends a planned stop, at its earliest or up to a second later."""
        return any(
            signal.name == "SIGTERM"
            and signal.balancer == kill.balancer
            and 0 < kill.at - signal.at <= kill_after_s + 1.0
            for signal in self.signals
        )


class Stalls:
    """When the stand-ins did not run, so that what they recorded may have happened before."""

    def __init__(self, stalls: Iterable[HarnessStalled]) -> None:
        self._stalls = list(stalls)
        self._ends = [stall.at for stall in self._stalls]

    def earliest(self, at: float) -> float:
        """Return the earliest time at which something recorded at `at` can have happened."""
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
    """One run's history in parts."""

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
        """The origin of the clients' planned times."""
        return min((each.sent_at - each.plan.at for each in self.requests.values()), default=0.0)

    def drain_at(self, server: str, at: float) -> ListChanged | None:
        """Return the change with which a server ceased to be ready; None where it is ready at `at`."""
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
