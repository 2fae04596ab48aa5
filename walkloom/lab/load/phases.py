"""Arrivals of new connections, at rates that follow phases."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from walkloom.lab.load.errors import LoadError

MAX_PHASE_S = 3600.0  # a longer one is a typing error
MAX_RATE = 100_000.0  # a second: more than the tool can send

_PHASE = re.compile(r"([0-9.]+)(?:-([0-9.]+))?:([0-9.]+)")


@dataclass(frozen=True, slots=True)
class Phase:
    """New connections a second, from the first rate evenly to the last, for so many seconds."""

    first_rate: float
    last_rate: float
    duration_s: float

    @classmethod
    def parse(cls, text: str) -> Phase:
        """Parse `RATE:SECONDS`, or `RATE-RATE:SECONDS` for a ramp; raises LoadError."""
        match = _PHASE.fullmatch(text)
        try:
            if not match:
                raise ValueError(text)
            first_rate = float(match[1])
            phase = cls(first_rate, float(match[2] or first_rate), float(match[3]))
        except ValueError:
            raise LoadError(f"not RATE:SECONDS or RATE-RATE:SECONDS: {text!r}") from None
        if not 0 < phase.duration_s <= MAX_PHASE_S or phase.max_rate > MAX_RATE:
            raise LoadError(f"a phase is up to an hour of up to 100,000 a second: {text!r}")
        return phase

    @property
    def max_rate(self) -> float:
        """The greater of both rates."""
        return max(self.first_rate, self.last_rate)

    def rate_at(self, time_s: float) -> float:
        """Return the rate so long after the start of the phase."""
        return self.first_rate + (self.last_rate - self.first_rate) * time_s / self.duration_s


def draw_arrivals(phases: Sequence[Phase], share: float, random: Random) -> Iterator[float]:
    """Draw the arrival times in s of a share of all connections.

    A Poisson process whose rate follows the phases, by thinning (Lewis and Shedler, 1979).
    """
    phase_start_s = 0.0
    for phase in phases:
        max_rate = phase.max_rate * share
        time_s = 0.0
        while max_rate > 0:
            time_s += random.expovariate(max_rate)
            if time_s >= phase.duration_s:
                break
            if random.random() * max_rate < phase.rate_at(time_s) * share:
                yield phase_start_s + time_s
        phase_start_s += phase.duration_s
