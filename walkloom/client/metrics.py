"""Metrics of one client: counters, and histograms of set-up time and line delay for each class.

The names of the first release (`up`, `refused`, `tries`, ...) can still be read for one release.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MAX_RECORDED_US = 600_000_000  # ten minutes, the longest request timeout
SIGNIFICANT_DIGITS = 2  # three need eight times the memory


@dataclass(slots=True)
class Counters:
    """Counts since the client's start.

    Each request counts as exactly one of established, rejected, timed_out, failed and abandoned when it ends.
    """

    requests: int = 0
    established: int = 0
    rejected: int = 0
    timed_out: int = 0
    failed: int = 0
    abandoned: int = 0  # closed by the caller before they had a result
    attempts: int = 0
    retries: int = 0  # attempts after the first of a request, and those of a reconnect after a failed one
    budget_exhausted: int = 0  # retries that the retry budget did not allow
    gate_closures: int = 0  # rejections that closed an admission gate or extended its closure
    ejections: int = 0  # ejections of balancers
    migrated: int = 0  # connections that the server asked to reconnect elsewhere
    broken: int = 0  # connections that ended without a goodbye
    reconnected: int = 0
    lost: int = 0  # sessions that ended because they could not reconnect
    lines_sent: int = 0
    lines_received: int = 0
    max_late_ms: float = 0.0  # longest delay of an attempt's end after its deadline, due to the event loop

    @property
    def up(self) -> int:
        """Former name of `established`."""
        return self.established

    @property
    def refused(self) -> int:
        """Former name of `rejected`."""
        return self.rejected

    @property
    def tries(self) -> int:
        """Former name of `attempts`."""
        return self.attempts

    @property
    def no_budget(self) -> int:
        """Former name of `budget_exhausted`."""
        return self.budget_exhausted

    @property
    def held(self) -> int:
        """Former name of `gate_closures`."""
        return self.gate_closures

    @property
    def left_out(self) -> int:
        """Former name of `ejections`."""
        return self.ejections

    @property
    def moved(self) -> int:
        """Former name of `migrated`."""
        return self.migrated

    @property
    def returned(self) -> int:
        """Former name of `reconnected`."""
        return self.reconnected

    @property
    def late_ms(self) -> float:
        """Former name of `max_late_ms`."""
        return self.max_late_ms


@dataclass(frozen=True, slots=True)
class Spread:
    """Percentiles of one histogram, in ms, to two significant digits."""

    count: int
    p50: float
    p90: float
    p99: float
    max: float

    @property
    def most(self) -> float:
        """Former name of `max`."""
        return self.max


@dataclass(frozen=True, slots=True)
class Figures:
    """A snapshot of the metrics of one client, returned by `Client.figures()`."""

    counters: Counters
    sessions: int  # not closed
    established: int
    setup_times: dict[str, Spread]  # by class; from the start of the request until it is established
    line_delays: dict[str, Spread]  # by class; from sending a line until its answer

    @property
    def standing(self) -> int:
        """Former name of `established`."""
        return self.established

    @property
    def setup(self) -> dict[str, Spread]:
        """Former name of `setup_times`."""
        return self.setup_times

    @property
    def delay(self) -> dict[str, Spread]:
        """Former name of `line_delays`."""
        return self.line_delays


class Histogram:
    """A histogram of delays in ms, to two significant digits; can be pickled, and merged with others."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)

    def add(self, ms: float) -> None:
        """Record one delay."""
        self._histogram.record_value(max(min(int(ms * 1000.0), MAX_RECORDED_US), 1))

    def merge(self, other: Histogram) -> None:
        """Add the delays of another histogram."""
        self._histogram.add(other._histogram)

    @property
    def count(self) -> int:
        """Number of recorded delays."""
        return int(self._histogram.get_total_count())

    def value_at(self, percentile: float) -> float:
        """Return the value at a percentile (0 to 100) in ms; 0.0 if nothing was recorded."""
        if not self.count:
            return 0.0
        return float(self._histogram.get_value_at_percentile(percentile)) / 1000.0

    def spread(self) -> Spread:
        """Return the percentiles that `Figures` reports."""
        return Spread(
            self.count, self.value_at(50.0), self.value_at(90.0), self.value_at(99.0), self.value_at(100.0)
        )

    def __getstate__(self) -> bytes:
        return bytes(self._histogram.encode())

    def __setstate__(self, state: bytes) -> None:
        self._histogram = HdrHistogram.decode(state)


@dataclass(slots=True)
class Metrics:
    """The counters and histograms of one client."""

    counters: Counters = field(default_factory=Counters)
    setup_times: dict[str, Histogram] = field(default_factory=dict)  # by class, once it has a value
    line_delays: dict[str, Histogram] = field(default_factory=dict)

    def record_setup(self, class_name: str, duration_ms: float) -> None:
        """Record how long a request took to be established."""
        self._histogram_of_class(self.setup_times, class_name).add(duration_ms)

    def record_line_delay(self, class_name: str, delay_ms: float) -> None:
        """Record how long a line waited for its answer."""
        self._histogram_of_class(self.line_delays, class_name).add(delay_ms)

    def snapshot(self, sessions: int, established: int) -> Figures:
        """Return the counters and percentiles as `Figures`."""
        return Figures(
            replace(self.counters),
            sessions,
            established,
            {name: histogram.spread() for name, histogram in self.setup_times.items()},
            {name: histogram.spread() for name, histogram in self.line_delays.items()},
        )

    @staticmethod
    def _histogram_of_class(histograms: dict[str, Histogram], class_name: str) -> Histogram:
        if class_name not in histograms:  # not `setdefault`: it would build a histogram (kilobytes) each time
            histograms[class_name] = Histogram()
        return histograms[class_name]
