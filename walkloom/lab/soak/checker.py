"""Checks the platform's rules on the history of a run, independently of the balancer's code. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from walkloom.lab.soak import process_rules
from walkloom.lab.soak.client import ClientPlan
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import History
from walkloom.lab.soak.notices import NotificationTimes
from walkloom.lab.soak.request_rules import RequestRules
from walkloom.lab.soak.run_records import RunRecords
from walkloom.lab.soak.violation import Violation


def check(deployment: Deployment, clients: Sequence[ClientPlan], history: History) -> list[Violation]:
    """Return all violations of a run, ordered by time."""
    run = RunRecords(clients, history)
    notification_times = NotificationTimes(
        history, is_pushed=deployment.is_pushed, max_poll_interval_s=deployment.max_poll_interval_ms / 1000.0
    )
    rules = RequestRules(run, notification_times, deployment)
    violations = [*process_rules.check(run, deployment)]
    for request in run.requests.values():
        violations += rules.check(request)
    return sorted(violations, key=lambda violation: violation.at)
