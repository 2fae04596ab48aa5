"""What the parts of one client's core share: settings, chance, sessions, timers, commands and metrics."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from random import Random

from walkloom.client.commands import Command, Disconnect, Notify
from walkloom.client.metrics import Counters, Metrics
from walkloom.client.retry_budget import RetryBudget
from walkloom.client.session import Session
from walkloom.client.settings import Limits
from walkloom.client.timer_queue import TimerQueue

logger = logging.getLogger("walkloom.client")


@dataclass
class ClientContext:
    """The state that several parts of one core use; each part keeps the rest of its state to itself."""

    limits: Limits
    random: Random  # the one source of chance; the order of draws is part of a seeded run
    retry_budget: RetryBudget
    metrics: Metrics = field(default_factory=Metrics)
    sessions: dict[int, Session] = field(default_factory=dict)  # that are not CLOSED, by id
    commands: list[Command] = field(default_factory=list)  # for the driver's next poll
    timers: TimerQueue = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TimerQueue(self.sessions)

    @property
    def counters(self) -> Counters:
        """The client's counters."""
        return self.metrics.counters

    def disconnect(self, session: Session, *, flush: bool = False) -> None:
        """Ask the driver to close the session's connection."""
        self.commands.append(Disconnect(session, session.connection_id, flush))

    def notify(self, session: Session) -> None:
        """Ask the driver to wake the session's callers."""
        self.commands.append(Notify(session))

    def release_reserved_retry(self, session: Session, now: float) -> None:
        """Give the session's reserved retry back, if it has one that did not start."""
        if session.has_reserved_retry:
            session.has_reserved_retry = False
            self.retry_budget.release(now)
