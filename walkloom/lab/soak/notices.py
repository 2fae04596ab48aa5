"""Computes when each balancer counts as notified of a server's drain, from the records alone. No I/O.

The rules come from the platform's pages "Protocol" and "Standing test". Times are seconds on the
history's clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from walkloom.lab.soak.history import (
    CallFailed,
    CallReceived,
    DiscoveryReachable,
    History,
    ListWritten,
    ProcessExited,
    ProcessSignalled,
    ProcessStarted,
    WatchSilenced,
)

# A change counts as notified at the latest this long after discovery had it and was reachable.
MAX_NOTIFICATION_DELAY_S = 6.0
# Whatever discovery has counts as notified this long after a SIGHUP. For a pushed list, a change that the
# agent has does not count as notified before.
RELOAD_NOTIFICATION_DELAY_S = 4.0
# A failed call multiplies the poll interval that the settings allow by this factor.
FAILED_CALL_FACTOR = 4.0
# A watch counts as continued if the next call comes within this time after the previous call ended.
MAX_WATCH_GAP_S = 0.2


@dataclass
class _BalancerRecords:
    """The records of one balancer; each list is ordered by time."""

    starts: list[ProcessStarted] = field(default_factory=list)
    written: list[ListWritten] = field(default_factory=list)
    reachable: list[DiscoveryReachable] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)
    # Those of the calls that are not part of a silent watch.
    live_calls: list[float] = field(default_factory=list)
    # When each call ended, and whether its answer was written completely.
    call_ends: list[tuple[float, bool]] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)
    silenced: list[float] = field(default_factory=list)

    def add_call(self, call: CallReceived) -> None:
        self.calls.append(call.at)
        if not call.on_silent_watch:
            self.live_calls.append(call.at)


class NotificationTimes:
    """Computes when a balancer counts as notified of a change."""

    def __init__(self, history: History, *, is_pushed: bool, max_poll_interval_s: float) -> None:
        self._is_pushed = is_pushed
        self._max_poll_interval_s = max_poll_interval_s
        self._balancers: dict[str, _BalancerRecords] = {}
        for record in history.records:
            match record:
                case ProcessStarted():
                    self._records_of(record.balancer).starts.append(record)
                case ListWritten():
                    self._records_of(record.balancer).written.append(record)
                    self._records_of(record.balancer).call_ends.append((record.at, True))
                case CallFailed():
                    self._records_of(record.balancer).call_ends.append((record.at, False))
                case DiscoveryReachable():
                    self._records_of(record.balancer).reachable.append(record)
                case CallReceived():
                    self._records_of(record.balancer).add_call(record)
                case WatchSilenced():
                    self._records_of(record.balancer).silenced.append(record.at)
                case ProcessSignalled(name="SIGHUP"):
                    self._records_of(record.balancer).reloads.append(record.at)
                case ProcessExited():
                    pass

    def _records_of(self, balancer: str) -> _BalancerRecords:
        return self._balancers.setdefault(balancer, _BalancerRecords())

    def notified_at(self, balancer: str, generation: int, changed_at: float, at: float) -> float:
        """Return when the balancer process that runs at `at` counts as notified of a change.

        changed_at: when discovery had the change of that generation.
        """
        records = self._records_of(balancer)
        start = _latest_start(records.starts, at)
        if start is None or start.known_generation >= generation:
            return changed_at if start is None else max(start.at, changed_at)
        changed_since = max(changed_at, start.at)
        written = (
            record.at
            for record in records.written
            if record.generation >= generation and record.at >= start.at
        )
        possible_times = [min(written, default=math.inf)]
        if self._is_pushed:
            possible_times.append(self._notified_by_agent(records, changed_at, start.at))
        else:
            possible_times.append(self._notification_deadline(records, changed_since, start.at))
            possible_times.append(self._notified_without_poll(records, changed_since, start.at))
        return min(possible_times)

    def _notification_deadline(
        self, records: _BalancerRecords, changed_since: float, started_at: float
    ) -> float:
        """Return when a change of a polled list counts as notified at the latest, whatever was written.

        The time limit is MAX_NOTIFICATION_DELAY_S, or less after a SIGHUP. It starts once discovery has the
        change and is reachable.
        """
        return min(
            _first_reachable(records.reachable, changed_since) + MAX_NOTIFICATION_DELAY_S,
            _notified_after_reload(records, changed_since, started_at),
        )

    def _notified_by_agent(self, records: _BalancerRecords, changed_at: float, started_at: float) -> float:
        """Return when a change of a pushed list counts as notified, whatever lists were written.

        What the agent had before the process started counts from that start, also while the agent is silent.
        - If the open watches were silenced before and no other call came since, the change counts as notified
          MAX_NOTIFICATION_DELAY_S after they were silenced, but not before discovery is reachable.
        - Shortly after a SIGHUP, it counts as notified RELOAD_NOTIFICATION_DELAY_S after the signal.
        - Otherwise it counts as notified at once.
        """
        reachable_at = max(_first_reachable(records.reachable, changed_at), started_at)
        silenced = [time for time in records.silenced if started_at <= time <= reachable_at]
        if silenced and not any(silenced[-1] < call <= reachable_at for call in records.live_calls):
            return max(reachable_at, silenced[-1] + MAX_NOTIFICATION_DELAY_S)
        reloads = [
            time
            for time in records.reloads
            if started_at <= time <= reachable_at <= time + RELOAD_NOTIFICATION_DELAY_S
        ]
        return reloads[-1] + RELOAD_NOTIFICATION_DELAY_S if reloads else reachable_at

    def _notified_without_poll(
        self, records: _BalancerRecords, changed_since: float, started_at: float
    ) -> float:
        """Return when a balancer that has no open watch and does not poll counts as notified.

        The allowed poll interval starts at the change or at the balancer's last call, whichever is later.
        Return infinity if the balancer polled in time.
        """
        ends = [(end, is_answered) for end, is_answered in records.call_ends if end >= started_at]
        # When each call ended and began, and whether it was answered. The start counts as an answered call.
        ended_calls = [(started_at, started_at, True)]
        for end, is_answered in ends:
            called_at = max((call for call in records.calls if call <= end), default=started_at)
            ended_calls.append((end, called_at, is_answered))
        for end, called_at, is_answered in ended_calls:
            next_call = min((call for call in records.calls if call > end), default=math.inf)
            if next_call - end <= MAX_WATCH_GAP_S:
                continue
            limit_s = self._max_poll_interval_s * (1.0 if is_answered else FAILED_CALL_FACTOR)
            latest_notified_at = max(changed_since, called_at) + limit_s
            if end <= latest_notified_at < next_call:
                return latest_notified_at
        return math.inf


def _latest_start(starts: Iterable[ProcessStarted], at: float) -> ProcessStarted | None:
    return max((start for start in starts if start.at <= at), key=lambda start: start.at, default=None)


def _notified_after_reload(records: _BalancerRecords, changed_since: float, started_at: float) -> float:
    """Return when a change counts as notified because of a SIGHUP; infinity if none applies.

    A SIGHUP applies to changes before the first list that was written after it. The earliest one counts: a
    further SIGHUP gives no more time.
    """
    for reload_at in records.reloads:
        written = (record.at for record in records.written if record.at > reload_at)
        applies_until = min(reload_at + RELOAD_NOTIFICATION_DELAY_S, min(written, default=math.inf))
        if reload_at >= started_at and changed_since <= applies_until:
            return reload_at + RELOAD_NOTIFICATION_DELAY_S
    return math.inf


def _first_reachable(states: list[DiscoveryReachable], since: float) -> float:
    """Return the first time from `since` on at which discovery was reachable; infinity if never."""
    is_reachable = True
    for state in states:
        if state.at > since:
            if is_reachable:
                return since
            if state.reachable:
                return state.at
        else:
            is_reachable = state.reachable
    return since if is_reachable else math.inf
