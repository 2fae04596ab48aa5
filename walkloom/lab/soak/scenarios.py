"""Runs with a fixed schedule, each named after the fault that it injects. No I/O.

In each run discovery or the processes have a fault while servers begin to drain, half of them in most runs
(docs/incidents/2026-12-03-work-sent-to-draining-servers.md).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from walkloom.lab.soak import schedule as schedules
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.discovery import DiscoveryMode
from walkloom.lab.soak.runner import RunPlan
from walkloom.lab.soak.schedule import MAX_STOP_S, Schedule, Step, StepKind

SERVER_COUNT = 8
# The longest time for which discovery lets a call wait.
CALL_WAIT_S = 3.0
DRAINED = tuple(range(SERVER_COUNT // 2))
FAULT_OFFSET_S = 1.0
# Within this time a balancer makes at most one call.
LAST_CALL_S = 0.005
# Offset of a fault that must come before the drain.
BEFORE_DRAIN_S = 0.1
# By this time all balancers have polled once, however many there are.
AFTER_FIRST_CALLS_S = 4.0
# Late requests to draining servers show within the longest observed pause, which is shorter than this.
DURATION_S = 12.0


def _deployment(
    *,
    balancer_count: int = 200,
    is_pushed: bool = False,
    max_poll_interval_ms: float = 10_000.0,
    drain_grace_ms: float = 500.0,
) -> Deployment:
    return Deployment(
        balancer_count=balancer_count,
        process_count=3,
        server_count=SERVER_COUNT,
        is_pushed=is_pushed,
        max_poll_interval_ms=max_poll_interval_ms,
        drain_grace_ms=drain_grace_ms,
        longest_deadline_ms=1500,
        load_reports=False,
        request_rate=25.0,
        has_crowd=False,
    )


def _plan(
    deployment: Deployment,
    *steps: Step,
    drain_offset_s: float = FAULT_OFFSET_S,
    drained: tuple[int, ...] = DRAINED,
) -> RunPlan:
    drain = Step(drain_offset_s, StepKind.DRAIN, servers=drained)
    ordered = tuple(sorted((*steps, drain), key=lambda step: step.offset_s))
    clients = schedules.draw_clients(1, deployment, DURATION_S)
    return RunPlan(deployment, Schedule(ordered, DURATION_S), tuple(clients))


def _reset(offset_s: float = FAULT_OFFSET_S) -> Step:
    return Step(offset_s, StepKind.RESET_WATCHES)


def _silence(offset_s: float = FAULT_OFFSET_S) -> Step:
    return Step(offset_s, StepKind.SILENCE_WATCHES)


def _fail_calls(count: int, offset_s: float = FAULT_OFFSET_S, delay_s: float = 0.0) -> Step:
    return Step(offset_s, StepKind.FAIL_CALLS, count=count, seconds=delay_s)


def _mode(mode: DiscoveryMode, offset_s: float = FAULT_OFFSET_S) -> Step:
    return Step(offset_s, StepKind.DISCOVERY, discovery_mode=mode)


def _kill_all(offset_s: float) -> Step:
    """Kill all processes; the new ones get the list that the former ones got at their start."""
    return Step(offset_s, StepKind.KILL, processes=(0, 1, 2), count=1)


def _reload(offset_s: float) -> Step:
    return Step(offset_s, StepKind.RELOAD, processes=(0, 1, 2), count=2)


HEALTHY = DiscoveryMode.HEALTHY
SCENARIOS: dict[str, Callable[[], RunPlan]] = {
    "watches_reset_and_one_call_failed": lambda: _plan(_deployment(), _reset(), _fail_calls(1)),
    "watches_silent_and_one_call_failed": lambda: _plan(_deployment(), _silence(), _fail_calls(1)),
    "watches_reset_and_three_calls_failed": lambda: _plan(_deployment(), _reset(), _fail_calls(3)),
    "discovery_refuses_for_a_second": lambda: _plan(
        _deployment(), _mode(DiscoveryMode.REFUSING), _mode(HEALTHY, FAULT_OFFSET_S + 1.0)
    ),
    "discovery_refuses_until_the_end": lambda: _plan(
        _deployment(),
        _mode(DiscoveryMode.REFUSING, AFTER_FIRST_CALLS_S),
        drain_offset_s=AFTER_FIRST_CALLS_S + 1.0,
    ),
    "discovery_unavailable_across_the_drain": lambda: _plan(
        _deployment(),
        _mode(DiscoveryMode.UNAVAILABLE),
        _mode(HEALTHY, FAULT_OFFSET_S + 4.0),
        drain_offset_s=FAULT_OFFSET_S + 2.0,
    ),
    "discovery_silent_from_the_drain_on": lambda: _plan(_deployment(), _mode(DiscoveryMode.SILENT)),
    "answers_cut_from_the_drain_on": lambda: _plan(_deployment(), _mode(DiscoveryMode.CUT)),
    "answers_late_and_watches_reset": lambda: _plan(
        _deployment(), _mode(DiscoveryMode.ANSWERING_LATE), _reset()
    ),
    "answers_trickle_and_watches_reset": lambda: _plan(
        _deployment(), _mode(DiscoveryMode.TRICKLING), _reset()
    ),
    "a_short_time_for_asking": lambda: _plan(
        _deployment(max_poll_interval_ms=3000.0), _reset(), _fail_calls(1)
    ),
    "reload_while_calls_fail": lambda: _plan(
        _deployment(), _reset(), _fail_calls(2), _reload(FAULT_OFFSET_S + 0.3)
    ),
    "reload_and_a_call_that_fails_late": lambda: _plan(
        _deployment(balancer_count=3),
        # A change shortly before the reload is sent to all balancers, so that their lists are new.
        Step(FAULT_OFFSET_S - 0.3, StepKind.DRAIN, servers=(SERVER_COUNT - 1,)),
        _fail_calls(1, delay_s=CALL_WAIT_S),
        Step(FAULT_OFFSET_S, StepKind.RELOAD, processes=(0, 1, 2)),
        drain_offset_s=FAULT_OFFSET_S + 0.1,
        drained=DRAINED[:2],
    ),
    "reload_in_an_outage": lambda: _plan(
        _deployment(balancer_count=3),
        _mode(DiscoveryMode.REFUSING),
        _reload(FAULT_OFFSET_S + 1.0),
        drain_offset_s=FAULT_OFFSET_S + 0.9,
        drained=DRAINED[:2],
    ),
    "reload_in_a_silence": lambda: _plan(
        _deployment(balancer_count=3),
        _mode(DiscoveryMode.SILENT),
        _reload(FAULT_OFFSET_S + 0.5),
        drain_offset_s=FAULT_OFFSET_S + 0.4,
        drained=DRAINED[:2],
    ),
    "a_small_fleet_and_six_failed_calls": lambda: _plan(
        _deployment(balancer_count=3), _reset(), _fail_calls(6)
    ),
    "pushed_list_and_six_failed_calls": lambda: _plan(_deployment(is_pushed=True), _reset(), _fail_calls(6)),
    "pushed_list_without_a_time_for_asking": lambda: _plan(
        _deployment(is_pushed=True, max_poll_interval_ms=0.0), _reset(), _fail_calls(6)
    ),
    "pushed_watch_silent_and_then_the_agent_unavailable": lambda: _plan(
        _deployment(is_pushed=True),
        _silence(FAULT_OFFSET_S - BEFORE_DRAIN_S),
        _mode(DiscoveryMode.UNAVAILABLE, FAULT_OFFSET_S + 1.0),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "watches_silent_and_then_an_outage": lambda: _plan(
        _deployment(balancer_count=3),
        _silence(),
        _mode(DiscoveryMode.REFUSING, FAULT_OFFSET_S + 1.5),
        drain_offset_s=FAULT_OFFSET_S + 0.5,
        drained=DRAINED[:2],
    ),
    "pushed_agent_silent_until_the_end": lambda: _plan(
        _deployment(is_pushed=True),
        _mode(DiscoveryMode.SILENT, AFTER_FIRST_CALLS_S),
        _reset(AFTER_FIRST_CALLS_S),
        drain_offset_s=AFTER_FIRST_CALLS_S + 0.5,
    ),
    "pushed_list_and_processes_that_start_in_an_outage": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3),
        _mode(DiscoveryMode.SILENT, FAULT_OFFSET_S + 0.5),
        _kill_all(FAULT_OFFSET_S + 0.6),
        _kill_all(FAULT_OFFSET_S + 2.5),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "pushed_list_and_processes_that_start_while_the_agent_refuses": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3),
        _mode(DiscoveryMode.REFUSING, FAULT_OFFSET_S + 0.5),
        _kill_all(FAULT_OFFSET_S + 0.6),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "pushed_watch_ends_just_before_the_drain_and_an_outage": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3),
        _fail_calls(1, FAULT_OFFSET_S - LAST_CALL_S),
        _reset(FAULT_OFFSET_S - LAST_CALL_S),
        _mode(DiscoveryMode.SILENT, FAULT_OFFSET_S + LAST_CALL_S),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "pushed_list_with_a_short_grace_and_the_watch_ends_just_before_the_drain": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3, drain_grace_ms=200.0),
        _fail_calls(1, FAULT_OFFSET_S - LAST_CALL_S),
        _reset(FAULT_OFFSET_S - LAST_CALL_S),
        _mode(DiscoveryMode.SILENT, FAULT_OFFSET_S + LAST_CALL_S),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "pushed_list_and_all_servers_drain_just_before_a_silence": lambda: _plan(
        replace(_deployment(is_pushed=True, balancer_count=3), request_rate=150.0),
        _fail_calls(1, FAULT_OFFSET_S - LAST_CALL_S),
        _reset(FAULT_OFFSET_S - LAST_CALL_S),
        _mode(DiscoveryMode.SILENT, FAULT_OFFSET_S + LAST_CALL_S),
        _mode(HEALTHY, FAULT_OFFSET_S + 3.0),
        drained=tuple(range(SERVER_COUNT)),
    ),
    "pushed_list_and_a_reload_to_a_silent_agent": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3),
        _mode(DiscoveryMode.SILENT, FAULT_OFFSET_S + LAST_CALL_S),
        _reload(FAULT_OFFSET_S + 2 * LAST_CALL_S),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "pushed_answers_cut_from_the_drain_on": lambda: _plan(
        _deployment(is_pushed=True, balancer_count=3),
        _mode(DiscoveryMode.CUT),
        _mode(HEALTHY, FAULT_OFFSET_S + 9.0),
    ),
    "processes_start_while_the_servers_drain": lambda: _plan(
        _deployment(),
        Step(FAULT_OFFSET_S - 0.5, StepKind.KILL, processes=(0, 1, 2)),
        _fail_calls(1, FAULT_OFFSET_S - 0.5),
    ),
    "all_servers_drain_while_the_processes_are_held_up": lambda: _plan(
        replace(_deployment(balancer_count=3), request_rate=150.0),
        Step(FAULT_OFFSET_S - 0.01, StepKind.STOP, processes=(0, 1, 2), seconds=MAX_STOP_S),
        drained=tuple(range(SERVER_COUNT)),
    ),
    "only_silence": lambda: _plan(_deployment(), _silence()),
}
