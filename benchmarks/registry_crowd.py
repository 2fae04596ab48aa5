"""Compare retry policies of balancers that lose their watch at an overloaded registry.

Run as `python -m benchmarks.registry_crowd`. It is a simulation in virtual time; its last rows run walkloom's
own policy. At time 0 all watches are reset, or fall silent, and servers begin to drain. The registry serves
calls one after another. A call that waited longer than MAX_WAIT_S is answered 503 and takes its service time
nonetheless. A watch that is open again costs the registry nothing.

For each policy, fleet size and duration of a call the program prints medians over the seeds: the share of
balancers that have the endpoint list by LIST_DEADLINE_S, when the last one has it, the number of calls, and
how long a balancer rejects new work because its list is too old. Only the policies with a list lease reject;
the others place work by an outdated list in that time.
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

FLEET_SIZES = (1, 12, 60, 230)
CALL_DURATIONS_MS = (1.0, 10.0, 50.0, 250.0)
SEED_COUNT = 5
MAX_WAIT_S = 2.0
# Balancers must have the list by then: a drain counts as notified after 6 s, the drain grace is 0.5 s, and
# 0.05 s are for the delays of sockets.
LIST_DEADLINE_S = 6.55
SILENCE_DETECTION_S = 1.0  # from the last confirmation to the first call, where a watch falls silent
WATCH_HOLD_S = 0.5  # the list was last confirmed up to this long before time 0
RUN_LIMIT_S = 60.0
MAX_POLL_INTERVAL_MS = 10_000.0


@dataclass
class RetryPolicy:
    """How one simulated balancer retries failed calls to the registry; times are in s after time 0."""

    random: Random
    balancer_count: int
    failures: int = 0

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Return the time in s from a failed call to the next one.

        waited_s: how long the failed call waited; 0 where a watch was reset.
        """
        raise NotImplementedError

    def rejects_from_s(self) -> float:
        """Return when the balancer starts to reject new work if its list is not confirmed before."""
        return math.inf


class ImmediateRetry(RetryPolicy):
    """Retries immediately."""

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Return 0."""
        return 0.0


class ExponentialBackoff(RetryPolicy):
    """Exponential backoff with full jitter: a window that doubles from 0.2 s to 10 s."""

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Return a random part of the window."""
        return self.random.random() * float(min(0.2 * 2 ** (self.failures - 1), 10.0))


class FleetSizeBackoff(RetryPolicy):
    """Backoff by the fleet size: walkloom's policy before the incident with an overloaded registry.

    The first delay is 250 ms times the number of balancers, minus 2 s; it is at least 0.2 s and at most 8 s.
    The jitter is a factor of 0.5 to 1.5.
    """

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Return the delay, which doubles up to twice the first one, or to a quarter of the poll interval.

        The larger of the two counts; it is at most 16 s, before the jitter.
        """
        queue_s = min(max(self.balancer_count * 0.25 - 2.0, 0.0), 8.0)
        max_backoff_s = max(MAX_POLL_INTERVAL_MS / 4000.0, 2.0 * queue_s)
        backoff_s = min(max(0.2, queue_s) * 2 ** (self.failures - 1), max_backoff_s)
        return float(backoff_s) * (0.5 + self.random.random())


class RemainingTimeJitter(RetryPolicy):
    """Full jitter over the time until LIST_DEADLINE_S, and over 0.2 s once less than that is left."""

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Return a random part of the remaining time."""
        return self.random.random() * max(LIST_DEADLINE_S - now_s, 0.2)


class ListLease(RetryPolicy):
    """Walkloom's own policy."""

    def start(self, last_confirmed_at_s: float, call_ms: float) -> None:
        """Create the balancer with a list that was confirmed at that time by a call of that duration."""
        settings = Settings(
            request_classes=(RequestClass(latency_objective_ms=300.0),),
            drain_grace_ms=500.0,
            balancer_count=self.balancer_count,
            polls_endpoint_list=True,
            max_poll_interval_ms=MAX_POLL_INTERVAL_MS,
            max_list_age_ms=6000.0,
        )
        self.balancer = Balancer(settings, self.random.getrandbits(32))
        now_ms = last_confirmed_at_s * 1000.0
        measured_ms = self._measured_call_ms(call_ms)
        self.balancer.handle(
            EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"),), now_ms, measured_ms), now_ms
        )

    def _measured_call_ms(self, call_ms: float) -> float:
        """Return the duration of a call that the balancer has measured."""
        return call_ms

    def retry_delay_s(self, now_s: float, waited_s: float) -> float:
        """Report the failed call to the policy and return the delay that it chooses."""
        failure = ListFailure.OVERLOADED if waited_s else ListFailure.UNANSWERED
        failed = EndpointListUpdate(UpdateKind.FAILED, call_ms=waited_s * 1000.0, failure=failure)
        for action in self.balancer.handle(failed, now_s * 1000.0):
            if isinstance(action, StartTimer):
                return max(action.fires_at / 1000.0 - now_s, 0.0)
            if isinstance(action, WatchEndpointList):
                return 0.0
        raise AssertionError("the policy schedules no further call")

    def rejects_from_s(self) -> float:
        """Return when the list lease expires."""
        return float(self.balancer.state.list_lease.expires_at) / 1000.0


class ListLeaseUnmeasured(ListLease):
    """Walkloom's policy, where it has measured no call yet."""

    def _measured_call_ms(self, call_ms: float) -> float:
        return 0.0


class ListLeaseUnderestimating(ListLease):
    """Walkloom's policy, where the calls that it has measured took 5 ms."""

    def _measured_call_ms(self, call_ms: float) -> float:
        return 5.0


@dataclass
class Outcome:
    """The results of one run: times in s, one for each balancer."""

    confirmed_at_s: list[float] = field(default_factory=list)
    rejecting_s: list[float] = field(default_factory=list)
    call_count: int = 0


def simulate_run(
    create_policy: Callable[[Random, int], RetryPolicy],
    fleet_size: int,
    call_ms: float,
    seed: int,
    watches_silent: bool,
) -> Outcome:
    """Simulate one run until all balancers have the list, or until RUN_LIMIT_S."""
    random = Random(f"{seed}/{fleet_size}/{call_ms}")
    outcome = Outcome()
    tie_breaker = count()
    events: list[tuple[float, int, RetryPolicy]] = []
    for _ in range(fleet_size):
        policy = create_policy(Random(random.random()), fleet_size)
        last_confirmed_at_s = -random.uniform(0.0, WATCH_HOLD_S)
        if isinstance(policy, ListLease):
            policy.start(last_confirmed_at_s, call_ms)
        first_call_at_s = last_confirmed_at_s + SILENCE_DETECTION_S
        if not watches_silent:
            policy.failures = 1
            first_call_at_s = policy.retry_delay_s(0.0, 0.0)
        heapq.heappush(events, (first_call_at_s, next(tie_breaker), policy))
    registry_free_at_s = 0.0
    while events and events[0][0] < RUN_LIMIT_S:
        now_s, _, policy = heapq.heappop(events)
        outcome.call_count += 1
        started_at_s = max(now_s, registry_free_at_s)
        registry_free_at_s = started_at_s + call_ms / 1000.0
        if started_at_s - now_s > MAX_WAIT_S:
            failed_at_s = now_s + MAX_WAIT_S
            policy.failures += 1
            next_call_at_s = failed_at_s + policy.retry_delay_s(failed_at_s, MAX_WAIT_S)
            heapq.heappush(events, (next_call_at_s, next(tie_breaker), policy))
            continue
        outcome.confirmed_at_s.append(registry_free_at_s)
        outcome.rejecting_s.append(max(registry_free_at_s - policy.rejects_from_s(), 0.0))
    for _, _, policy in events:
        outcome.confirmed_at_s.append(math.inf)
        outcome.rejecting_s.append(max(RUN_LIMIT_S - policy.rejects_from_s(), 0.0))
    return outcome


POLICIES: dict[str, type[RetryPolicy]] = {
    "at once": ImmediateRetry,
    "backoff to 10 s": ExponentialBackoff,
    "250 ms a balancer (before)": FleetSizeBackoff,
    "jitter over the remaining time": RemainingTimeJitter,
    "lease (now)": ListLease,
    "lease, no call measured": ListLeaseUnmeasured,
    "lease, 5 ms measured": ListLeaseUnderestimating,
}


def main() -> None:
    """Print a table for watches that are reset, and one for watches that fall silent."""
    for watches_silent in (False, True):
        print(f"\nwatches {'fall silent' if watches_silent else 'are reset'}\n")
        print("| policy | balancers | ms per call | in time | last s | calls | rejecting s |")
        print("|" + "---|" * 7)
        for name, create_policy in POLICIES.items():
            for fleet_size in FLEET_SIZES:
                for call_ms in CALL_DURATIONS_MS:
                    runs = [
                        simulate_run(create_policy, fleet_size, call_ms, seed, watches_silent=watches_silent)
                        for seed in range(SEED_COUNT)
                    ]
                    print(_row(name, fleet_size, call_ms, runs))


def _row(name: str, fleet_size: int, call_ms: float, runs: list[Outcome]) -> str:
    in_time = median(sum(at_s <= LIST_DEADLINE_S for at_s in run.confirmed_at_s) / fleet_size for run in runs)
    last_s = median(max(run.confirmed_at_s) for run in runs)
    call_count = median(run.call_count for run in runs)
    rejecting_s = median(sum(run.rejecting_s) / fleet_size for run in runs)
    return (
        f"| {name} | {fleet_size} | {call_ms:.0f} "
        f"| {in_time:.2f} | {last_s:.1f} | {call_count:.0f} | {rejecting_s:.2f} |"
    )


if __name__ == "__main__":
    main()
