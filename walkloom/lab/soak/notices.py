"""When each balancer counts as notified of a server's drain, reckoned from the records alone. No I/O.

The rules are the platform's (pages "Protocol" and "Standing test"). Times are seconds of the history's clock.
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

# A change counts as notified so long after discovery had it and could be reached.
MAX_NOTICE_S = 6.0
# Pushed lists: what the agent of a new configuration has counts so long after the SIGHUP.
RELOAD_NOTICE_S = 4.0
# A failed call makes the time that the settings give for asking so many times as long.
FAILED_CALL_FACTOR = 4.0
# A watch goes on if its next call comes within this time.
WATCH_GAP_S = 0.2


@dataclass
class _BalancerRecords:
    """What concerns one balancer, each list in the order of time."""

    starts: list[ProcessStarted] = field(default_factory=list)
    written: list[ListWritten] = field(default_factory=list)
    reachable: list[DiscoveryReachable] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)
    call_ends: list[tuple[float, bool]] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)
    silenced: list[float] = field(default_factory=list)


class Notices:
    """Answers when a balancer counts as notified of a change."""

    def __init__(self, history: History, *, is_pushed: bool, ask_within_s: float) -> None:
        self._is_pushed = is_pushed
        self._ask_within_s = ask_within_s
        self._balancers: dict[str, _BalancerRecords] = {}
        for record in history.records:
            match record:
                case ProcessStarted():
                    self._of(record.balancer).starts.append(record)
                case ListWritten():
                    self._of(record.balancer).written.append(record)
                    self._of(record.balancer).call_ends.append((record.at, True))
                case CallFailed():
                    self._of(record.balancer).call_ends.append((record.at, False))
                case DiscoveryReachable():
                    self._of(record.balancer).reachable.append(record)
                case CallReceived():
                    self._of(record.balancer).calls.append(record.at)
                case WatchSilenced():
                    self._of(record.balancer).silenced.append(record.at)
                case ProcessSignalled(name="SIGHUP"):
                    self._of(record.balancer).reloads.append(record.at)
                case ProcessExited():
                    pass

    def _of(self, balancer: str) -> _BalancerRecords:
        return self._balancers.setdefault(balancer, _BalancerRecords())

    def notified_at(self, balancer: str, generation: int, changed_at: float, at: float) -> float:
        """Return when the life of a balancer that runs at `at` counts as notified of a change.

        changed_at: when discovery had the change of that generation.
        """
        records = self._of(balancer)
        life = _latest(records.starts, at)
        if life is None or life.known_generation >= generation:
            return changed_at if life is None else max(life.at, changed_at)
        known_from = max(changed_at, life.at)
        written = (w.at for w in records.written if w.generation >= generation and w.at >= life.at)
        candidates = [min(written, default=math.inf), self._by_time(records, known_from)]
        if not self._is_pushed:
            candidates.append(self._by_not_asking(records, known_from, life.at))
        return min(candidates)

    def _by_time(self, records: _BalancerRecords, known_from: float) -> float:
        """The change counts at the latest so long after discovery could be reached, whatever arrived."""
        reachable_at = _first_reachable(records.reachable, known_from)
        if not self._is_pushed:
            return reachable_at + MAX_NOTICE_S
        silenced = [time for time in records.silenced if time <= reachable_at]
        if silenced and not any(silenced[-1] < call <= reachable_at for call in records.calls):
            return max(reachable_at, silenced[-1] + MAX_NOTICE_S)
        reloads = [time for time in records.reloads if time <= reachable_at <= time + RELOAD_NOTICE_S]
        return reloads[-1] + RELOAD_NOTICE_S if reloads else reachable_at

    def _by_not_asking(self, records: _BalancerRecords, known_from: float, life_from: float) -> float:
        """A balancer without a watch that does not ask counts as notified after the settings' time."""
        ends = [(end, is_answered) for end, is_answered in records.call_ends if end >= life_from]
        gaps = [(life_from, life_from, True)]
        for end, is_answered in ends:
            called_at = max((call for call in records.calls if call <= end), default=life_from)
            gaps.append((end, called_at, is_answered))
        for end, called_at, is_answered in gaps:
            next_call = min((call for call in records.calls if call > end), default=math.inf)
            if next_call - end <= WATCH_GAP_S:
                continue
            limit_s = self._ask_within_s * (1.0 if is_answered else FAILED_CALL_FACTOR)
            counts_at = max(known_from, called_at) + limit_s
            if end <= counts_at < next_call:
                return counts_at
        return math.inf


def _latest(starts: Iterable[ProcessStarted], at: float) -> ProcessStarted | None:
    return max((start for start in starts if start.at <= at), key=lambda start: start.at, default=None)


def _first_reachable(states: list[DiscoveryReachable], since: float) -> float:
    """Return the first time from `since` on at which discovery could be reached."""
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
