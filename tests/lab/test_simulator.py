"""The simulator: runs reproducible to the byte by their seed, rule checks, and plausible service figures."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest

from walkloom.lab.simulator import Experiment, RequestResult, Simulator, run, run_all
from walkloom.messages import Action, Reject, StartAttempt

SMALL = Experiment(server_count=10, balancer_count=3, duration_s=20.0)


def test_a_run_is_reproducible_to_the_byte_by_its_seed() -> None:
    first, second, other = (
        orjson.dumps(run(replace(SMALL, seed=s)).reproducible_fields()) for s in (1, 1, 2)
    )
    assert first == second != other


def test_runs_in_separate_processes_give_the_same_results() -> None:
    experiments = [replace(SMALL, seed=seed, duration_s=5.0) for seed in (1, 2)]
    assert [r.reproducible_fields() for r in run_all(experiments, 2)] == [
        r.reproducible_fields() for r in run_all(experiments, 1)
    ]


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_fleet_with_spare_capacity_serves_through_drains_crashes_and_failures(seed: int) -> None:
    result = run(replace(SMALL, server_count=40, seed=seed))
    assert result.violations == [] and result.served_share > 0.95 and result.peak_load < 1.5
    assert result.request_results[RequestResult.ESTABLISHED] >= result.connection_count * 0.98
    assert result.load_report_polls > 100


@pytest.mark.parametrize("seed", range(1, 4))
def test_forty_balancers_fill_no_server_before_its_load_report(seed: int) -> None:
    """Guards against a server that gets much more load than the rest.

    Each balancer counted only its own connections until the next load report: in a fleet at 0.6 of its
    capacity, one server came to 0.72 to 0.96.
    """
    result = run(replace(SMALL, balancer_count=40, seed=seed))
    assert result.violations == [] and result.peak_load < 0.71


def test_an_overloaded_fleet_rejects_and_serves_less() -> None:
    without_faults = replace(SMALL, drained_share=0.0, crashed_share=0.0, failing_share=0.0)
    normal = run(without_faults)
    overloaded = run(replace(without_faults, connection_rate_per_server=3.0))
    assert normal.served_share > 0.97 > 0.85 > overloaded.served_share
    assert overloaded.request_results[RequestResult.REJECTED] > 20
    assert overloaded.violations == []


def test_servers_that_drain_or_crash_get_no_new_connections_and_their_clients_reconnect() -> None:
    simulator = Simulator(
        replace(SMALL, drained_share=0.3, crashed_share=0.3, failing_share=0.0, discovery_delay_ms=200.0)
    )
    result = simulator.run()
    assert result.violations == []
    assert result.request_results[RequestResult.ESTABLISHED] > result.connection_count
    assert all(
        not server.clients
        for server in simulator.servers.servers.values()
        if server.is_draining or not server.is_up
    )


class RuleBreaker:
    """Intercepts the balancers' actions in a simulator and breaks one rule once."""

    def __init__(self, fault: str) -> None:
        self.simulator = Simulator(replace(SMALL, discovery_delay_ms=0.0, drained_share=0.5))
        self.handle = self.simulator.balancers.on_action
        self.simulator.balancers.on_action = self.on_action
        self.fault = fault
        self.fault_injected = False

    def on_action(self, balancer: int, action: Action) -> None:
        if isinstance(action, StartAttempt) and not self.fault_injected:
            unready = self.simulator.rules.unready_endpoints(balancer)
            # 600 ms is past the drain grace of 500 ms.
            drained = [i for i, since_ms in unready.items() if self.simulator.queue.now_ms > since_ms + 600.0]
            if self.fault == "late" and drained:
                self.fault_injected = True
                self.handle(balancer, action._replace(endpoint_id=drained[0]))
                return
            if self.fault == "twice":
                self.fault_injected = True
                self.handle(balancer, action)
            if self.fault == "silent":
                self.fault_injected = True
                return
            if self.fault == "answered":
                self.fault_injected = True
                self.handle(balancer, Reject(action.request_id))
        self.handle(balancer, action)


@pytest.mark.parametrize(
    ("fault", "text"),
    [
        ("late", "after notice of its drain"),
        ("twice", "two attempts at once"),
        ("silent", "no final answer"),
        ("answered", "which is not open there"),
    ],
)
def test_each_rule_broken_on_purpose_is_recorded_as_a_violation(fault: str, text: str) -> None:
    breaker = RuleBreaker(fault)
    result = breaker.simulator.run()
    assert breaker.fault_injected
    assert any(text in str(violation) for violation in result.violations), result.violations
