"""The balancers of a simulation: one instance of the real policy for each."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import numpy as np

from walkloom.balancer import Balancer
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.messages import Action, EndpointListUpdate, Event, LoadReportReceived, Settings

SEEDS_PER_RUN = 1000  # balancer seeds of two runs differ while each starts fewer processes than this


class BalancerPool:
    """Passes events to the balancers, and their actions to `on_action(balancer, action)`."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        queue: EventQueue,
        rules: RuleChecker,
        result: Result,
        random: np.random.Generator,
    ) -> None:
        self.settings = settings
        self.on_action: Callable[[int, Action], None] = _ignore_action
        self.policy_cpu_s = 0.0
        self._seed = seed
        self._queue = queue
        self._rules = rules
        self._result = result
        self._random = random
        self._balancers = [self._start_process(n, n) for n in range(settings.balancer_count)]
        self._process_count = settings.balancer_count

    def __len__(self) -> int:
        return len(self._balancers)

    def _start_process(self, balancer: int, process_number: int) -> Balancer:
        settings = replace(self.settings, local_zone=balancer % self.settings.zone_count)
        return Balancer(settings, seed=self._seed * SEEDS_PER_RUN + process_number)

    def restart(self, balancer: int) -> None:
        """Replace a balancer by a new process without any state."""
        self._balancers[balancer] = self._start_process(balancer, self._process_count)
        self._process_count += 1
        self._rules.record_restart(balancer)

    def choose_balancer(self, client: ModelClient) -> int:
        """Draw the balancer to which a client sends its next request."""
        return int(self._random.integers(len(self)))

    def notify(self, balancer: int, event: Event) -> None:
        """Pass one event to a balancer, and carry out the actions that it returns.

        The CPU time counts towards `policy_cpu_s`, except for endpoint list updates and load reports.
        """
        self._result.event_count += 1
        started_at_s = time.perf_counter()
        actions = self._balancers[balancer].handle(event, self._queue.now_ms)
        if not isinstance(event, EndpointListUpdate | LoadReportReceived):
            self.policy_cpu_s += time.perf_counter() - started_at_s
        if isinstance(event, EndpointListUpdate):
            self._rules.record_notification(balancer, event)
        for action in actions:
            self.on_action(balancer, action)


def _ignore_action(balancer: int, action: Action) -> None:
    """Ignore an action: the default of `on_action` until the simulator sets it."""
