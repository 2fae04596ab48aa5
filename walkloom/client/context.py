"""The shared state of one client's core: limits, random source, sessions, timers, commands and metrics."""

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
    """The state that several components of one core share; all other state is private to its component."""

    limits: Limits
    random: Random  # the only random source; the result of a seeded run depends on the order of draws
    retry_budget: RetryBudget
    metrics: Metrics = field(default_factory=Metrics)
    sessions: dict[int, Session] = field(default_factory=dict)  # by id; without CLOSED ones
    commands: list[Command] = field(default_factory=list)  # returned to the driver by the next poll
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
        """Ask the driver to wake the tasks that wait for the session."""
        self.commands.append(Notify(session))

    def release_reserved_retry(self, session: Session, now: float) -> None:
        """Return the session's reserved retry to the budget, if it has one that did not start."""
        if session.has_reserved_retry:
            session.has_reserved_retry = False
            self.retry_budget.release(now)
