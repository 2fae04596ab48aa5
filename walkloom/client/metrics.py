"""What one client has seen: counters, and histograms of set-up time and line delay for each class."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

_LONGEST_US = 600_000_000
_DIGITS = 2  # of a histogram's values; three would cost eight times the memory


@dataclass(slots=True)
class Counters:
    """Since the client's start. A request ends as one of up, refused, timed_out, failed and abandoned."""

    requests: int = 0
    up: int = 0
    refused: int = 0
    timed_out: int = 0
    failed: int = 0
    abandoned: int = 0  # by the caller
    tries: int = 0
    retries: int = 0  # tries of a request after its first, and returns after a round that failed
    no_budget: int = 0  # retries that the budget did not allow
    held: int = 0  # times that a refusal held a class, or longer
    left_out: int = 0  # times that a balancer was left out
    moved: int = 0
    broken: int = 0
    returned: int = 0
    lost: int = 0  # sessions that did not come back
    lines_sent: int = 0
    lines_received: int = 0
    late_ms: float = (
        0.0  # the latest end of a try after its time: the event loop's delay, not a try begun late
    )


@dataclass(frozen=True, slots=True)
class Spread:
    """Of one histogram, in ms, to two digits."""

    count: int
    p50: float
    p90: float
    p99: float
    most: float


@dataclass(frozen=True, slots=True)
class Figures:
    """One look at a client: `Client.figures()`."""

    counters: Counters
    sessions: int  # that are not over
    standing: int
    setup: dict[str, Spread]  # by class; from the request's begin to UP
    delay: dict[str, Spread]  # by class; from a line to its answer


class Histogram:
    """Delays in ms, to two digits; may be sent between processes and added up."""

    def __init__(self) -> None:
        self._of = HdrHistogram(1, _LONGEST_US, _DIGITS)

    def add(self, ms: float) -> None:
        self._of.record_value(max(min(int(ms * 1000.0), _LONGEST_US), 1))

    def merge(self, other: Histogram) -> None:
        self._of.add(other._of)

    @property
    def count(self) -> int:
        return int(self._of.get_total_count())

    def at(self, percentile: float) -> float:
        """Ms; 0.0 where nothing was counted."""
        return float(self._of.get_value_at_percentile(percentile)) / 1000.0 if self.count else 0.0

    def spread(self) -> Spread:
        return Spread(self.count, self.at(50.0), self.at(90.0), self.at(99.0), self.at(100.0))

    def __getstate__(self) -> bytes:
        return bytes(self._of.encode())

    def __setstate__(self, state: bytes) -> None:
        self._of = HdrHistogram.decode(state)


@dataclass(slots=True)
class Seen:
    counters: Counters = field(default_factory=Counters)
    setup: dict[str, Histogram] = field(default_factory=dict)  # as each class is first seen
    delay: dict[str, Histogram] = field(default_factory=dict)

    def set_up(self, cls: str, ms: float) -> None:
        self._in(self.setup, cls).add(ms)

    def line(self, cls: str, ms: float) -> None:
        self._in(self.delay, cls).add(ms)

    @staticmethod
    def _in(histograms: dict[str, Histogram], cls: str) -> Histogram:
        if cls not in histograms:
            histograms[cls] = Histogram()
        return histograms[cls]
