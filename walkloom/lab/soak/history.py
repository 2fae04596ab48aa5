"""The records of a run that the stand-ins and clients made, in the order of observation. No I/O.

All times (`at`) are seconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias


class Lifecycle(Enum):
    """The lifecycle of a server in the registry; the values are those of the wire."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class AttemptEnd(Enum):
    """How an attempt on a server ended, as the server observed it."""

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
    """From this time on, discovery counts as reachable for this balancer, or as down."""

    at: float
    balancer: str
    reachable: bool


@dataclass(frozen=True, slots=True)
class WatchSilenced:
    """From this time on, the open watch of a balancer is not answered."""

    at: float
    balancer: str


@dataclass(frozen=True, slots=True)
class CallReceived:
    """Discovery has received a complete call for the list.

    on_silent_watch: the call continues a watch that was silenced, so that it is not answered either.
    """

    at: float
    balancer: str
    on_silent_watch: bool = False


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
    """A balancer process was started; its configuration file has the list up to a generation."""

    at: float
    balancer: str
    known_generation: int


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """A balancer process answered PING for the first time."""

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
    """A client closed its connection itself."""

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
    """A client has read the answer to a line that it sent `delay_s` earlier."""

    at: float
    request: str
    delay_s: float


@dataclass(frozen=True, slots=True)
class LineUnanswered:
    """A line of a client is unanswered after `waited_s`, and the connection is still open."""

    at: float
    request: str
    waited_s: float


@dataclass(frozen=True, slots=True)
class ProcessMeasured:
    """Resource use of a balancer process, right after it became ready or at the end of the run."""

    at: float
    balancer: str
    descriptors: int
    memory_kib: int


@dataclass(frozen=True, slots=True)
class AttemptBegan:
    """A server has received the first byte of a request line."""

    at: float
    server: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptNamed:
    """The request line is complete: the attempt belongs to this request."""

    at: float
    attempt: int
    request: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; an established one ends when its `UP` is sent."""

    at: float
    attempt: int
    end: AttemptEnd


@dataclass(frozen=True, slots=True)
class ServerConnectionEnded:
    """An established connection of a server ended; `by_server`: the server ended it."""

    at: float
    attempt: int
    by_server: bool


@dataclass(frozen=True, slots=True)
class HarnessStalled:
    """The stand-ins did not run from `since` to `at`; records right after may be late by that duration."""

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
