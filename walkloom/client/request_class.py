"""One class of requests of one client: its queue, its admission gate, and how long a set-up takes."""

from __future__ import annotations

from collections import deque
from random import Random

from walkloom.client.admission import AdmissionGate
from walkloom.client.session import Session
from walkloom.client.settings import ClassPolicy

SETUP_SAMPLES = 32  # recent set-ups from which the time that one needs is estimated
QUARTILE_DIVISOR = 4  # the lower quartile: a slow spell must not forbid attempts that a fast set-up saves


class RequestClass:
    """The queue and the admission gate of one class.

    Attributes:
        min_attempt_ms: with less time left no attempt can be expected to finish.
    """

    def __init__(self, policy: ClassPolicy, random: Random, assumed_setup_ms: float) -> None:
        self.policy = policy
        self.gate = AdmissionGate(random)
        self.queue: deque[Session] = deque()
        self.min_attempt_ms = min(assumed_setup_ms, policy.latency_objective_ms)
        self._setup_times_ms: deque[float] = deque(maxlen=SETUP_SAMPLES)

    def record_setup_time(self, duration_ms: float) -> None:
        """Take a successful attempt into the estimate."""
        self._setup_times_ms.append(duration_ms)
        ordered = sorted(self._setup_times_ms)
        lower_quartile_ms = ordered[len(ordered) // QUARTILE_DIVISOR]
        self.min_attempt_ms = min(lower_quartile_ms, self.policy.latency_objective_ms)

    def latest_start(self, session: Session) -> float:
        """The time after which an attempt of the session's request could not finish."""
        return session.request_deadline - self.min_attempt_ms
