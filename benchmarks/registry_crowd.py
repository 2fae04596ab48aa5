"""What a crowded registry does to balancers that lost their watch: `python -m benchmarks.registry_crowd`.

A model on a clock of its own, with the program's true policy in its last rows. At time 0 all watches break,
or fall silent, and servers begin to drain. The registry serves calls one after another; one that waited over
MAX_WAIT_S is answered 503 and still takes its turn. A watch that is open again costs it nothing more.

Printed for each policy, fleet and time of a call, medians over the seeds: the share of balancers that hold
the list within the bound, when the last one does, the calls made, and how long a balancer refuses new work
because its list is too old (the lease alone; the others send work by an old list then).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import median

from walkloom.balancer import Balancer
from walkloom.messages import (
    Endpoint,
    EndpointListUpdate,
    ListFailure,
    RequestClass,
    Settings,
    StartTimer,
    UpdateKind,
    WatchEndpointList,
)

FLEETS = (1, 12, 60, 230)
CALL_MS = (1.0, 10.0, 50.0, 250.0)
SEEDS = 5
MAX_WAIT_S = 2.0
# A change counts as notified after 6 s; the drain grace and the slack of sockets follow.
BOUND_S = 6.55
SILENCE_SEEN_S = 3.8
HOLD_S = 2.0
END_S = 60.0
ASK_WITHIN_MS = 10_000.0


@dataclass
class Caller:
    """One balancer of the model: it answers how long to wait after a failed call."""

    random: Random
    balancer_count: int
    failures: int = 0

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return the pause before the next call."""
        raise NotImplementedError

    def refuses_from_s(self) -> float:
        """Return when it begins to refuse new work, as long as its list is not confirmed."""
        return math.inf


class AtOnce(Caller):
    """Calls again at once."""

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return no pause."""
        return 0.0


class Backoff(Caller):
    """Full jitter over a window that doubles from 0.2 s to 10 s."""

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return a part of the window."""
        return self.random.random() * float(min(0.2 * 2 ** (self.failures - 1), 10.0))


class FleetTimesConstant(Caller):
    """The program before the incident: 250 ms for each balancer, less 2 s, at most 8 s; times 0.5 to 1.5."""

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return the pause, which doubles up to 16 s."""
        queue_s = min(max(self.balancer_count * 0.25 - 2.0, 0.0), 8.0)
        longest = max(ASK_WITHIN_MS / 4000.0, 2.0 * queue_s)
        backoff_s = min(max(0.2, queue_s) * 2 ** (self.failures - 1), longest)
        return float(backoff_s) * (0.5 + self.random.random())


class RestOfTheTime(Caller):
    """Jitter over the time that is left until the bound; at once where none is."""

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return a part of what is left."""
        return self.random.random() * max(BOUND_S - now_s, 0.2)


class Lease(Caller):
    """The program's policy."""

    def start(self, confirmed_s: float, call_ms: float) -> None:
        """Begin with a list that was confirmed then, and a call that was seen to take so long."""
        settings = Settings(
            request_classes=(RequestClass(latency_objective_ms=300.0),),
            drain_grace_ms=500.0,
            balancer_count=self.balancer_count,
            polls_endpoint_list=True,
            max_poll_interval_ms=ASK_WITHIN_MS,
            max_list_age_ms=6000.0,
        )
        self.balancer = Balancer(settings, self.random.getrandbits(32))
        now_ms = confirmed_s * 1000.0
        seen_ms = self._seen_call_ms(call_ms)
        self.balancer.handle(
            EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),), now_ms, seen_ms), now_ms
        )

    def _seen_call_ms(self, call_ms: float) -> float:
        """Return what it has seen a call take."""
        return call_ms

    def pause_s(self, now_s: float, waited_s: float) -> float:
        """Return what the policy says."""
        failure = ListFailure.OVERLOADED if waited_s else ListFailure.UNANSWERED
        failed = EndpointListUpdate(UpdateKind.FAILED, call_ms=waited_s * 1000.0, failure=failure)
        for action in self.balancer.handle(failed, now_s * 1000.0):
            if isinstance(action, StartTimer):
                return max(action.fires_at / 1000.0 - now_s, 0.0)
            if isinstance(action, WatchEndpointList):
                return 0.0
        raise AssertionError("the policy asks for no call")

    def refuses_from_s(self) -> float:
        """Return the end of its lease."""
        return float(self.balancer.state.list_lease.expires_at) / 1000.0


class LeaseUnknown(Lease):
    """The program's policy, where no call was seen yet."""

    def _seen_call_ms(self, call_ms: float) -> float:
        return 0.0


class LeaseMistaken(Lease):
    """The program's policy, where calls were seen to take 5 ms."""

    def _seen_call_ms(self, call_ms: float) -> float:
        return 5.0


@dataclass
class Outcome:
    """What came of one run."""

    confirmed_at_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    calls: int = 0


def play(
    make: Callable[[Random, int], Caller], fleet: int, call_ms: float, seed: int, silent: bool
) -> Outcome:
    """Play one run until all balancers have the list, or END_S."""
    random = Random(f"{seed}/{fleet}/{call_ms}")
    outcome = Outcome()
    order = count()
    events: list[tuple[float, int, Caller]] = []
    for _ in range(fleet):
        caller = make(Random(random.random()), fleet)
        confirmed_s = -random.uniform(0.0, HOLD_S)
        if isinstance(caller, Lease):
            caller.start(confirmed_s, call_ms)
        first_s = confirmed_s + SILENCE_SEEN_S
        if not silent:
            caller.failures = 1
            first_s = caller.pause_s(0.0, 0.0)
        heapq.heappush(events, (first_s, next(order), caller))
    free_at_s = 0.0
    while events and events[0][0] < END_S:
        now_s, _, caller = heapq.heappop(events)
        outcome.calls += 1
        starts_s = max(now_s, free_at_s)
        free_at_s = starts_s + call_ms / 1000.0
        if starts_s - now_s > MAX_WAIT_S:
            failed_s = now_s + MAX_WAIT_S
            caller.failures += 1
            next_s = failed_s + caller.pause_s(failed_s, MAX_WAIT_S)
            heapq.heappush(events, (next_s, next(order), caller))
            continue
        outcome.confirmed_at_s.append(free_at_s)
        outcome.refused_s.append(max(free_at_s - caller.refuses_from_s(), 0.0))
    for _, _, caller in events:
        outcome.confirmed_at_s.append(math.inf)
        outcome.refused_s.append(max(END_S - caller.refuses_from_s(), 0.0))
    return outcome


POLICIES: dict[str, type[Caller]] = {
    "at once": AtOnce,
    "backoff to 10 s": Backoff,
    "250 ms a balancer (before)": FleetTimesConstant,
    "rest of the time": RestOfTheTime,
    "lease (now)": Lease,
    "lease, no call seen": LeaseUnknown,
    "lease, 5 ms seen": LeaseMistaken,
}


def main() -> None:
    """Print a table for watches that are reset, and one for watches that fall silent."""
    for silent in (False, True):
        print(f"\nwatches {'fall silent' if silent else 'are reset'}\n")
        print("| policy | balancers | ms a call | in time | last s | calls | refused s |")
        print("|" + "---|" * 7)
        for name, make in POLICIES.items():
            for fleet in FLEETS:
                for call_ms in CALL_MS:
                    runs = [play(make, fleet, call_ms, seed, silent=silent) for seed in range(SEEDS)]
                    print(_row(name, fleet, call_ms, runs))


def _row(name: str, fleet: int, call_ms: float, runs: list[Outcome]) -> str:
    in_time = median(sum(at <= BOUND_S for at in run.confirmed_at_s) / fleet for run in runs)
    last_s = median(max(run.confirmed_at_s) for run in runs)
    calls = median(run.calls for run in runs)
    refused_s = median(sum(run.refused_s) / fleet for run in runs)
    return (
        f"| {name} | {fleet} | {call_ms:.0f} | {in_time:.2f} | {last_s:.1f} | {calls:.0f} | {refused_s:.2f} |"
    )


if __name__ == "__main__":
    main()
