"""One class of requests of one client: its queue, its admission gate, and its estimated set-up time."""

from __future__ import annotations

from collections import deque
from random import Random

from walkloom.client.admission import AdmissionGate
from walkloom.client.session import Session
from walkloom.client.settings import ClassPolicy

SETUP_SAMPLES = 32  # recent set-ups from which the set-up time is estimated
QUARTILE_DIVISOR = 4  # lower quartile: slow set-ups must not prevent attempts that may finish in time


class RequestClass:
    """The queue and the admission gate of one class.

    Attributes:
        min_attempt_ms: an attempt with less time left is not expected to finish.
    """

    def __init__(self, policy: ClassPolicy, random: Random, assumed_setup_ms: float) -> None:
        self.policy = policy
        self.gate = AdmissionGate(random)
        self.queue: deque[Session] = deque()
        self.min_attempt_ms = min(assumed_setup_ms, policy.latency_objective_ms)
        self._setup_times_ms: deque[float] = deque(maxlen=SETUP_SAMPLES)

    def record_setup_time(self, duration_ms: float) -> None:
        """Add the duration of a successful attempt to the estimate."""
        self._setup_times_ms.append(duration_ms)
        ordered = sorted(self._setup_times_ms)
        lower_quartile_ms = ordered[len(ordered) // QUARTILE_DIVISOR]
        self.min_attempt_ms = min(lower_quartile_ms, self.policy.latency_objective_ms)

    def latest_start(self, session: Session) -> float:
        """Return the latest time at which an attempt of the session's request can start and still finish."""
        return session.request_deadline - self.min_attempt_ms
