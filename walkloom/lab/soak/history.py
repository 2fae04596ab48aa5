"""What the stand-ins and clients of a run saw, in the order in which they saw it. No I/O.

All times (`at`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias


class Lifecycle(Enum):
    """What the registry says of a server; the values are the wire's."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class AttemptEnd(Enum):
    """How an attempt at a server ended, as the server saw it."""

    ESTABLISHED = "UP"
    AT_CAPACITY = "BUSY"
    ERROR = "ERR"
    RESET = "reset"
    # The balancer closed the connection before the answer.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class ListChanged:
    """The registry has a new version of a server's entry."""

    at: float
    generation: int
    server: str
    lifecycle: Lifecycle


@dataclass(frozen=True, slots=True)
class DiscoveryReachable:
    """From now on a call of this balancer would be answered, or not."""

    at: float
    balancer: str
    reachable: bool


@dataclass(frozen=True, slots=True)
class WatchSilenced:
    """The open watch of a balancer gets no answer any more."""

    at: float
    balancer: str


@dataclass(frozen=True, slots=True)
class CallReceived:
    """A call for the list has come, whole."""

    at: float
    balancer: str


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call, or a connection for one, ended without a list."""

    at: float
    balancer: str


@dataclass(frozen=True, slots=True)
class ListWritten:
    """A list with all changes up to a generation was written to a balancer."""

    at: float
    balancer: str
    generation: int


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """A balancer process was started; it knows the list up to a generation from its file."""

    at: float
    balancer: str
    known_generation: int


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """It answered PING for the first time."""

    at: float
    balancer: str


@dataclass(frozen=True, slots=True)
class ProcessSignalled:
    """A signal was sent; `name` as in signal.Signals."""

    at: float
    balancer: str
    name: str


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """A balancer process has ended."""

    at: float
    balancer: str
    status: int


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A client has written the last byte of its request line."""

    at: float
    balancer: str
    request: str
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A client has read a final answer; `word` is its first word."""

    at: float
    request: str
    word: str


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """A client closed its connection, of its own will."""

    at: float
    request: str


@dataclass(frozen=True, slots=True)
class ClientConnectionEnded:
    """The balancer ended a client's connection; `last_line` is the last whole line before that."""

    at: float
    request: str
    last_line: str
    by_reset: bool


@dataclass(frozen=True, slots=True)
class LineReturned:
    """A client has read the answer to a line that it sent `delay_s` before."""

    at: float
    request: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class LineUnanswered:
    """A client has waited for the answer to a line for so long, and its connection is still open."""

    at: float
    request: str
    waited_s: float


@dataclass(frozen=True, slots=True)
class ProcessMeasured:
    """What a balancer process holds, right after it became ready or at the end of the run."""

    at: float
    balancer: str
    descriptors: int
    memory_kib: int


@dataclass(frozen=True, slots=True)
class AttemptBegan:
    """The first byte of a request line has come to a server."""

    at: float
    server: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptNamed:
    """The request line is whole: the attempt belongs to this request."""

    at: float
    attempt: int
    request: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; an established one with its `UP`."""

    at: float
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ServerConnectionEnded:
    """A connection that a server had taken ended; `by_server`: of the server's own will."""

    at: float
    attempt: int
    by_server: bool


@dataclass(frozen=True, slots=True)
class HarnessStalled:
    """The stand-ins did not run between two times: records right after may be that much late."""

    at: float
    since: float


@dataclass(frozen=True, slots=True)
class FaultInjected:
    """A step of the schedule was carried out."""

    at: float
    description: str


Record: TypeAlias = (
    ListChanged
    | DiscoveryReachable
    | WatchSilenced
    | CallReceived
    | CallFailed
    | ListWritten
    | ProcessStarted
    | ProcessReady
    | ProcessSignalled
    | ProcessExited
    | RequestSent
    | RequestAnswered
    | ClientLeft
    | ClientConnectionEnded
    | LineReturned
    | LineUnanswered
    | ProcessMeasured
    | AttemptBegan
    | AttemptNamed
    | AttemptEnded
    | ServerConnectionEnded
    | HarnessStalled
    | FaultInjected
)


@dataclass
class History:
    """The records of one run, oldest first."""

    records: list[Record] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Append a record."""
        self.records.append(record)
