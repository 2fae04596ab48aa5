"""The fault schedule and the clients of a run, drawn from its seed in advance. No I/O."""

from __future__ import annotations

import errno
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from walkloom.lab.soak.client import ClientBehaviour, ClientPlan
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.discovery import PUSHED_DOWN_MODES, DiscoveryMode
from walkloom.lab.soak.process import SystemCallFault
from walkloom.lab.soak.server import ServerMode

# A run begins with this time without faults.
FAULT_FREE_S = 2.0
# A drain counts as notified at the latest this long after it. Requests continue until then, and for 6 s more.
SETTLE_S = 8.0
# Longest time for which a process is stopped by SIGSTOP.
MAX_STOP_S = 0.15
# The share of polled runs in which discovery gives no usable answer across a drain, and the duration.
LONG_FAULT_SHARE = 0.4
LONG_FAULT_S = 10.0
# The share of runs in which all servers drain.
DRAINS_ALL_SHARE = 0.2
CROWD_SIZE = 220


class StepKind(Enum):
    """What a step does; the comments name the fields of Step that it uses."""

    DRAIN = "drain"  # servers
    LEAVE = "leave"  # servers: send MOVE to their clients and are removed
    RETURN = "return"  # servers: start again and are ready
    DISCOVERY = "discovery"  # discovery_mode
    RESET_WATCHES = "reset_watches"
    SILENCE_WATCHES = "silence_watches"
    FAIL_CALLS = "fail_calls"  # count, seconds
    SNAPSHOTS = "snapshots"  # count: 1 on, 0 off
    SERVER_MODE = "server_mode"  # servers, server_mode
    RESET_SERVER = "reset_server"  # servers
    CRASH = "crash"  # servers
    RESTART = "restart"  # processes: SIGTERM, SIGKILL after the shortest delay, a new process
    KILL = "kill"  # processes: SIGKILL, a new process; count: 1 with the cached list of the former process
    RELOAD = "reload"  # processes: SIGHUP, count times
    STOP = "stop"  # processes: SIGSTOP, SIGCONT after seconds
    WALL_CLOCK = "wall_clock"  # processes, seconds
    SYSTEM_CALLS = "system_calls"  # processes, system_call_fault for seconds


# Errors that Linux documents for a server's system calls, except those that the socket module retries itself.
_SYSTEM_CALL_FAULTS = (
    ("accept", errno.ECONNABORTED),
    ("accept", errno.EMFILE),
    ("accept", errno.ENFILE),
    ("accept", errno.ENOBUFS),
    ("accept", errno.ENOMEM),
    ("socket", errno.EMFILE),
    ("socket", errno.ENOBUFS),
    ("connect", errno.EADDRNOTAVAIL),
    ("connect", errno.ENETUNREACH),
    ("connect", errno.EHOSTUNREACH),
    ("connect", errno.ETIMEDOUT),
    ("send", errno.ENOBUFS),
    ("send", errno.ENOMEM),
    ("recv", errno.ENOMEM),
    ("send", "short"),
    ("recv", "short"),
)

_PROCESS_STEPS = (StepKind.RESTART, StepKind.KILL, StepKind.RELOAD, StepKind.STOP, StepKind.WALL_CLOCK)


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a run, `offset_s` seconds after its start."""

    offset_s: float
    kind: StepKind
    servers: tuple[int, ...] = ()
    processes: tuple[int, ...] = ()
    discovery_mode: DiscoveryMode = DiscoveryMode.HEALTHY
    server_mode: ServerMode = ServerMode.HEALTHY
    count: int = 1
    # STOP, SYSTEM_CALLS: the duration. FAIL_CALLS: how long each call waits.
    # WALL_CLOCK: how far the clock is set ahead, or back where negative.
    seconds: float = 0.0
    system_call_fault: SystemCallFault | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    """The steps of a run, and for how long requests are sent."""

    steps: tuple[Step, ...]
    duration_s: float


def draw(seed: int, deployment: Deployment, fault_count: int = 10) -> Schedule:
    """Return the schedule of a seed: a drain, and faults right before, during and after it."""
    random = Random(f"schedule/{seed}")
    servers = list(range(deployment.server_count))
    drains_all = random.random() < DRAINS_ALL_SHARE
    drained = tuple(random.sample(servers, len(servers) if drains_all else max(len(servers) // 2, 1)))
    drain_offset_s = FAULT_FREE_S + random.uniform(0.5, 5.0)
    steps = [Step(drain_offset_s, StepKind.DRAIN, servers=drained)]
    if random.random() < 0.5:
        steps.append(Step(drain_offset_s + random.uniform(2.0, 9.0), StepKind.LEAVE, servers=drained))
        steps.append(Step(drain_offset_s + random.uniform(9.0, 11.0), StepKind.RETURN, servers=drained))
    if not deployment.is_pushed and random.random() < LONG_FAULT_SHARE:
        steps += _draw_long_fault(random, drain_offset_s)
    # Servers that stay ready; if all drain, all of them.
    fault_targets = [server for server in servers if server not in drained] or servers
    for _ in range(fault_count):
        offset_s = max(drain_offset_s + random.uniform(-3.0, 5.0), FAULT_FREE_S)
        steps += _draw_fault(random, offset_s, fault_targets, deployment)
    steps.sort(key=lambda step: step.offset_s)
    return Schedule(tuple(steps), duration_s=drain_offset_s + SETTLE_S + 6.0)


def _draw_long_fault(random: Random, drain_offset_s: float) -> list[Step]:
    """Return a fault: no usable answer from right before a drain until after the drain counts as notified."""
    mode = random.choice([DiscoveryMode.SILENT, DiscoveryMode.CUT])
    offset_s = drain_offset_s - random.uniform(0.0, 0.5)
    return [
        Step(offset_s, StepKind.DISCOVERY, discovery_mode=mode),
        Step(offset_s + LONG_FAULT_S, StepKind.DISCOVERY, discovery_mode=DiscoveryMode.HEALTHY),
    ]


def _draw_fault(
    random: Random, offset_s: float, fault_targets: list[int], deployment: Deployment
) -> list[Step]:
    """Draw one fault and its end."""
    kind = random.choice(["discovery", "watch", "watch", "server", "signal", "system call"])
    if kind == "discovery":
        return _draw_discovery_outage(random, offset_s, deployment.is_pushed)
    if kind == "watch":
        return _draw_watch_fault(random, offset_s)
    if kind == "server":
        return _draw_server_fault(random, offset_s, fault_targets)
    if kind == "system call":
        return _draw_system_call_fault(random, offset_s, deployment.process_count)
    return _draw_process_fault(random, offset_s, deployment.process_count)


def _draw_discovery_outage(random: Random, offset_s: float, is_pushed: bool) -> list[Step]:
    modes = [mode for mode in DiscoveryMode if mode is not DiscoveryMode.HEALTHY]
    mode = random.choice(list(PUSHED_DOWN_MODES) if is_pushed else modes)
    duration_s = random.choice([0.2, 1.0, 2.5, 5.0, 8.0])
    return [
        Step(offset_s, StepKind.DISCOVERY, discovery_mode=mode),
        Step(offset_s + duration_s, StepKind.DISCOVERY, discovery_mode=DiscoveryMode.HEALTHY),
    ]


def _draw_watch_fault(random: Random, offset_s: float) -> list[Step]:
    kind = random.choice([StepKind.RESET_WATCHES, StepKind.SILENCE_WATCHES, StepKind.SNAPSHOTS])
    steps = [Step(offset_s, kind)]
    if kind is not StepKind.SNAPSHOTS and random.random() < 0.5:
        steps.append(Step(offset_s, StepKind.FAIL_CALLS, count=random.randint(1, 3)))
    return steps


def _draw_server_fault(random: Random, offset_s: float, servers: list[int]) -> list[Step]:
    chosen = (random.choice(servers),)
    if random.random() < 0.3:
        return [
            Step(offset_s, StepKind.CRASH, servers=chosen),
            Step(offset_s + random.uniform(1.0, 4.0), StepKind.RETURN, servers=chosen),
        ]
    if random.random() < 0.3:
        return [Step(offset_s, StepKind.RESET_SERVER, servers=chosen)]
    mode = random.choice([mode for mode in ServerMode if mode is not ServerMode.HEALTHY])
    return [
        Step(offset_s, StepKind.SERVER_MODE, servers=chosen, server_mode=mode),
        Step(offset_s + random.uniform(0.5, 4.0), StepKind.SERVER_MODE, servers=chosen),
    ]


def _draw_process_fault(random: Random, offset_s: float, process_count: int) -> list[Step]:
    chosen = (random.randrange(process_count),)
    kind = random.choice(_PROCESS_STEPS)
    if kind is StepKind.RELOAD:
        return [Step(offset_s, kind, processes=chosen, count=random.randint(1, 4))]
    if kind is StepKind.STOP:
        return [Step(offset_s, kind, processes=chosen, seconds=random.uniform(0.02, MAX_STOP_S))]
    if kind is StepKind.WALL_CLOCK:
        return [Step(offset_s, kind, processes=chosen, seconds=random.choice([-3600.0, -5.0, 5.0, 3600.0]))]
    return [Step(offset_s, kind, processes=chosen)]


def _draw_system_call_fault(random: Random, offset_s: float, process_count: int) -> list[Step]:
    call, error = random.choice(_SYSTEM_CALL_FAULTS)
    fault = SystemCallFault(call, str(error), share=random.choice([0.1, 0.5, 1.0]))
    seconds = random.uniform(0.1, 0.8)
    chosen = (random.randrange(process_count),)
    return [Step(offset_s, StepKind.SYSTEM_CALLS, processes=chosen, seconds=seconds, system_call_fault=fault)]


def draw_clients(seed: int, deployment: Deployment, duration_s: float) -> list[ClientPlan]:
    """Return the clients of a run, ordered by their offsets."""
    random = Random(f"clients/{seed}")
    plans: list[ClientPlan] = []
    offset_s = 0.0
    while offset_s < duration_s:
        offset_s += random.expovariate(deployment.request_rate)
        plans.append(_draw_client(random, offset_s, deployment, len(plans)))
    if deployment.has_crowd:
        crowd_offset_s = random.uniform(FAULT_FREE_S, FAULT_FREE_S + 5.0)
        # The clients of the crowd connect at intervals of 2 ms.
        for number in range(CROWD_SIZE):
            plan = _draw_client(random, crowd_offset_s + number * 0.002, deployment, len(plans))
            plans.append(_with_behaviour(plan, ClientBehaviour.IDLE))
    return sorted(plans, key=lambda plan: plan.offset_s)


def _draw_client(random: Random, offset_s: float, deployment: Deployment, number: int) -> ClientPlan:
    request_class = random.choice(deployment.classes)
    behaviour = ClientBehaviour.ORDINARY
    if random.random() < 0.15:
        behaviour = random.choice(
            [behaviour for behaviour in ClientBehaviour if behaviour is not ClientBehaviour.IDLE]
        )
    return ClientPlan(
        offset_s=offset_s,
        balancer=f"n{random.randrange(deployment.process_count)}",
        request=f"{number + 1:016x}",
        request_class=request_class.name,
        deadline_ms=int(request_class.deadline_ms * random.uniform(0.6, 1.0)),
        group=random.randint(1, 12),
        lifetime_s=random.uniform(1.0, 12.0),
        leave_after_s=random.uniform(0.0, 0.3),
        behaviour=behaviour,
    )


def _with_behaviour(plan: ClientPlan, behaviour: ClientBehaviour) -> ClientPlan:
    return replace(plan, behaviour=behaviour)
