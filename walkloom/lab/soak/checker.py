"""Checks the platform's rules on the history of a run; knows nothing of the balancer. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from walkloom.lab.soak import process_rules
from walkloom.lab.soak.client import ClientPlan
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import History
from walkloom.lab.soak.notices import Notices
from walkloom.lab.soak.request_rules import RequestRules
from walkloom.lab.soak.run_records import RunRecords
from walkloom.lab.soak.violation import Violation


def check(deployment: Deployment, clients: Sequence[ClientPlan], history: History) -> list[Violation]:
    """Return all violations of a run, by time."""
    run = RunRecords(clients, history)
    notices = Notices(history, is_pushed=deployment.is_pushed, ask_within_s=deployment.ask_within_ms / 1000.0)
    rules = RequestRules(run, notices, deployment)
    violations = [*process_rules.check(run, deployment)]
    for request in run.requests.values():
        violations += rules.check(request)
    return sorted(violations, key=lambda violation: violation.at)
