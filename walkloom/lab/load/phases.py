"""Arrival times of new connections, whose rate follows a sequence of phases."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from walkloom.lab.load.errors import LoadError

MAX_PHASE_S = 3600.0  # guards against typing errors
MAX_RATE = 100_000.0  # per second; more than the tool can send

_PHASE = re.compile(r"([0-9.]+)(?:-([0-9.]+))?:([0-9.]+)")


@dataclass(frozen=True, slots=True)
class Phase:
    """A rate of new connections per second that changes linearly over `duration_s`."""

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
            raise LoadError(f"a phase lasts up to an hour, at up to 100,000 connections per second: {text!r}")
        return phase

    @property
    def max_rate(self) -> float:
        """The greater of the first and the last rate."""
        return max(self.first_rate, self.last_rate)

    def rate_at(self, elapsed_s: float) -> float:
        """Return the rate at `elapsed_s` after the start of the phase."""
        return self.first_rate + (self.last_rate - self.first_rate) * elapsed_s / self.duration_s


def draw_arrivals(phases: Sequence[Phase], share: float, random: Random) -> Iterator[float]:
    """Draw the arrival times of a share of all connections, in seconds after the start of the load.

    The arrivals are a Poisson process whose rate follows the phases, drawn by thinning (Lewis and Shedler,
    1979).
    """
    phase_start_s = 0.0
    for phase in phases:
        max_rate = phase.max_rate * share
        elapsed_s = 0.0
        while max_rate > 0:
            elapsed_s += random.expovariate(max_rate)
            if elapsed_s >= phase.duration_s:
                break
            if random.random() * max_rate < phase.rate_at(elapsed_s) * share:
                yield phase_start_s + elapsed_s
        phase_start_s += phase.duration_s
