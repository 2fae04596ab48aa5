"""The balancers of a simulated release."""

from __future__ import annotations

import numpy as np

from walkloom.lab.simulator.balancer_pool import BalancerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.messages import Settings


class RolloutBalancerPool(BalancerPool):
    """Balancers in zones; some of them may be shutting down."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        queue: EventQueue,
        rules: RuleChecker,
        result: Result,
        random: np.random.Generator,
    ) -> None:
        super().__init__(settings, seed, queue, rules, result, random)
        self.shutting_down = set[int]()

    def choose_balancer(self, client: ModelClient) -> int:
        """Draw a running balancer in the client's zone, or any balancer at all if that zone has none."""
        zones = self.settings.zone_count
        running = [balancer for balancer in range(len(self)) if balancer not in self.shutting_down]
        local = [balancer for balancer in running if balancer % zones == client.zone]
        candidates = local or list(range(len(self)))
        return candidates[int(self._random.integers(len(candidates)))]
