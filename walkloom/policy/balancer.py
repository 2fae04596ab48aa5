"""The decisions of a balancer. Design: docs/design.md; settings, events, actions: walkloom/messages/."""

from __future__ import annotations

from collections.abc import Callable
from math import exp
from random import Random
from typing import Any
from zlib import crc32

from walkloom.messages import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ClientKey,
    ConnectionAdopted,
    ConnectionSignal,
    DeduplicationScope,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Lifecycle,
    LoadReportReceived,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    RequestId,
    Settings,
    ShutdownStarted,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)
from walkloom.state import EndpointPool, EndpointState, RequestState, split_by_zone

FAIL_STEP, FAIL_OUT = 0.3, 0.5  # weight of the newest set-up in the failure share; unusable from this share
TRIAL_MS, TRIAL_MAX_MS = 1000.0, 8000.0  # first and longest pause before a trial; doubles after a failed one
TRIAL_NEXT_MS, TRIALS_CLEAN = 250.0, 3  # pause after a clean trial; so many in a row and a server rejoins
RAMP_MS, RAMP_FROM = 3000.0, 0.1  # newcomers reach their full chance in this time, from this chance
LOOKS, RING = 12, 24  # servers that one pick looks at; of a ring, for a group: also in a fleet of hundreds
HOLD_MS, HOLD_TRIES = 100.0, 8  # how often held requests are looked at; tried: bounds a burst's work
STRAIN_MS, CHOKED_MS = 2500.0, 1000.0  # how long a slow message, told once a second, and 'full' are believed
PACE, PACE_EASE = 350.0, 0.05  # mean pause between placements after a jam, times the balancers; eased per ms
PACE_STRAIN, COUNT_MS = 330.0, 1000.0  # at any server while most at home jam; how often some are counted
USUAL, RETRY_MS = 4, 1000.0  # connections of usual load beside the own ones; mean time to come back
GROUP_SLACK, HEAVY, KNOWN_MOST = 2.5, 2.0, 20_000  # multiples of the mean: own holders first, heavy; clients
GUARD_MS, HOME_PART = 90_000.0, 0.7  # no group new to it after a late message; own zone's cold budget
LOAD_STEP, UNIT_OVER = 0.05, 100  # weight of a told load in its class's mean; loads that the unit averages
PILE_MS, MOVE_LEAST, MOVE_MOST = 4000.0, 0.05, 0.25  # the part that a late note moves: least + delay / pile
T_HOLD, T_WATCH, T_LEAVE, T_ASK = 1, 2, 3, 4  # timer tokens
WATCH_MS, CALL_MS, CALLS_MS = 200.0, 250.0, 2000.0  # least pause before a call for the list; its time; queue
REPORT_MS, NEW_MS, ASK_MS = 3000.0, 300.0, 60.0  # a report is believed; spares another; is waited for
LOAD_FULL, LOAD_MOST, GROUP_LOADS = 0.65, 0.95, 3.0  # passed over from; none used beyond; a group's cost
COST_STEP, COST_HELD, QUOTA_PART = 0.1, 4.0, 0.85  # of what a connection adds; shares ask so much of a fleet
HOMES, FEW, SKEW, FAR_LOAD = 2, 12, 4.0, 0.2  # of a group; a small sample; of homes; how much freer far
LEAVE_MS, LEAVE_PART, LAG_MS = 100.0, 0.2, 400.0  # pace off a draining server; how old a report may be
FAILURES = (
    AttemptStatus.ERROR, AttemptStatus.TIMED_OUT,
    AttemptStatus.CONNECT_FAILED, AttemptStatus.CONNECTION_RESET,
)  # fmt: skip


class Balancer:
    """One balancer: handle(event, now) returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set, self.rng, self.now, self.most = settings, Random(seed), 0.0, settings.max_attempts
        self.servers: dict[EndpointId, EndpointState] = {}
        self.home = self.far = EndpointPool([])  # the usable servers that do not drain: own zone, others
        self.outs, self.stale = list[EndpointState](), True  # the unusable ones; these three must be remade
        self.requests, self.out = dict[RequestId, RequestState](), list[Action]()  # answers owed, those open
        self.held = dict[RequestId, RequestState]()  # they wait for room
        self.asking = dict[RequestId, RequestState]()  # and these for load reports
        self.crowd = max(settings.balancer_count / max(settings.zone_count, 1), 1.0)  # on the same servers
        self.holding = self.leaving = self.listed = self.strained = False  # timers out; listed; most jam
        self.load = self.carried = self.count_at = 0.0  # own load, all together; what warm servers carry
        self.lately = self.came_at = 0.0  # requests within a window before the newest: they tell a burst
        self.class_load = [1.0] * len(settings.request_classes)
        self.known = dict[ClientKey, float]()  # told loads by client key, oldest first
        self.loads_told, self.unit, self.watch_ms, self.cost = 0, 0.0, WATCH_MS, 0.0
        # what discovery takes for all; within the time after which a balancer that did not ask counts as told
        queue_ms = max(settings.balancer_count * CALL_MS - CALLS_MS, 0.0)
        self.crowd_ms = min(queue_ms, 0.8 * settings.max_poll_interval_ms)
        reports = settings.load_reports_available and settings.load_report_load_index >= 0
        self.probes = reports and not settings.server_reports_latency
        aims = [c.message_latency_objective_ms for c in settings.request_classes]
        self.aim = min((aim for aim in aims if aim), default=1e12)
        self.handlers: dict[type, Callable[[Any], None]] = {
            ConnectionSignal: self._note, Request: self._request, AttemptEstablished: self._established,
            AttemptEnded: self._outcome, EndpointListUpdate: self._list, ClientDisconnected: self._gone,
            TimerFired: self._timer, ConnectionAdopted: self._adopted, LoadReportReceived: self._probed,
            ShutdownStarted: self._stop,
        }  # fmt: skip

    def handle(self, event: Event, now: float) -> list[Action]:
        self.now, self.out = now, []
        self.handlers.get(type(event), lambda _: None)(event)
        return self.out

    def _list(self, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            # guards against losing the list silently: ask again, ever slower, out of step with the others
            self.out.append(StartTimer(self.now + self.watch_ms * (0.5 + self.rng.random()), T_WATCH))
            most = max(self.set.max_poll_interval_ms / 4, WATCH_MS, 2 * self.crowd_ms)
            self.watch_ms = min(self.watch_ms * 2, most)
            return
        self.watch_ms = max(WATCH_MS, self.crowd_ms)
        if event.kind is UpdateKind.CACHED and self.set.polls_endpoint_list:
            # guards discovery against a queue that all fill at once, in which every call gets too old
            later = StartTimer(self.now + self.crowd_ms * self.rng.random(), T_WATCH)
            self.out.append(later if self.crowd_ms else WatchEndpointList())
        self._carried()  # guards against servers that leave together before their load was looked at
        for line in event.endpoints:
            self._line(line)
        if event.kind is not UpdateKind.INCREMENTAL:
            named = {line.id for line in event.endpoints}
            for s in [s for s in self.servers.values() if s.id not in named]:
                self._told(s, Lifecycle.REMOVED)
        self.listed, self.came_at = True, self.came_at or self.now  # a burst may be on
        if not self.cost and self.set.connection_quota:  # until reports tell what a connection adds
            self.cost = QUOTA_PART * sum(s.size for s in self.servers.values()) / self.set.connection_quota

    def _line(self, line: Endpoint) -> None:
        s = self.servers.get(line.id)
        if s is None:
            if line.lifecycle is Lifecycle.REMOVED:
                return
            s, self.stale = EndpointState(line), True
            self.servers[line.id] = s
            if self.listed:  # guards against a grace begun anew: one back as draining may have drained before
                s.ramp_from, s.told = self.now, max(self.now - self.set.drain_grace_ms, 0.0)
        elif line.started_at > s.since or (s.state, line.lifecycle) == (Lifecycle.REMOVED, Lifecycle.READY):
            s.renew(self.now)
            self.stale = True
        s.zone, s.cell, s.since = line.zone, line.cell, line.started_at
        weight = max(line.capacity_weight, 1e-6)
        # departure: a weight that follows the load is none for rule 4
        s.size, s.idle = (1.0, weight) if self.set.weights_follow_load else (weight, 1.0)
        self._told(s, line.lifecycle)

    def _told(self, s: EndpointState, state: Lifecycle) -> None:
        if state is not s.state or (s.told < 0) != (state is Lifecycle.READY):
            s.state, self.stale = state, True
            s.told = -1.0 if state is Lifecycle.READY else self.now if s.told < 0 else s.told
            if state is Lifecycle.DRAINING and not self.leaving:
                self.leaving = True
                self.out.append(StartTimer(self.now + LEAVE_MS, T_LEAVE))

    def _failed(self, s: EndpointState) -> None:
        s.failing += FAIL_STEP * (1.0 - s.failing)
        if s.out:
            s.clean, s.trial_ms = 0, min(s.trial_ms * 2, TRIAL_MAX_MS)
            s.trial_at = self.now + s.trial_ms
        elif s.failing > FAIL_OUT and s.told < 0:
            s.out = self.stale = True
            s.clean, s.trial_ms, s.trial_at = 0, TRIAL_MS, self.now + TRIAL_MS
            self.out.append(LogMessage("unusable: set-ups failed, only trials until some are clean", s.id))

    def _worked(self, s: EndpointState, trial: bool) -> None:
        s.failing *= 1.0 - FAIL_STEP
        if s.out and trial:
            s.clean, s.trial_at = s.clean + 1, self.now + TRIAL_NEXT_MS
            if s.clean >= TRIALS_CLEAN:
                s.forget(self.now)
                self.stale = True

    def _pools(self, r: RequestState) -> tuple[EndpointPool, EndpointPool]:
        """The first tier that has a usable member, over the whole list: its home servers, and the others."""
        if self.stale:
            self.stale = False
            self.servers = {k: s for k, s in self.servers.items() if s.state or s.conns}
            ready = [s for s in self.servers.values() if s.told < 0]
            self.outs = [s for s in ready if s.out]
            self.home, self.far = split_by_zone([s for s in ready if not s.out], self.set.local_zone)
        if (self.home.servers or self.far.servers) and r.ran_on is None:
            return self.home, self.far
        usable = [s for s in self.servers.values() if not s.out and s.state and self._drops_repeats(r, s)]
        tier = [s for s in usable if s.told < 0] or [s for s in usable if self._in_grace(s)]
        return split_by_zone(tier, self.set.local_zone)

    def _in_grace(self, s: EndpointState) -> bool:
        """Departure: rule 3 ends the fallback tier for a server at the grace, less the time of two rounds."""
        return s.told < 0 or s.told > self.now - self.set.drain_grace_ms + 2 * self.set.tick_ms

    def may_send(self, rid: RequestId, server: EndpointId, now: float) -> bool:
        """Rules 2 and 3 once more, for a caller that took time to connect after it was told to send."""
        self.now, r = now, self.requests.get(rid)
        fine = r is not None and not r.over and self._may_repeat(r)
        return fine and server in self.servers and self._in_grace(self.servers[server])

    def _drops_repeats(self, r: RequestState, s: EndpointState) -> bool:
        """Rule 2: a keyed request that may have run goes only where its repeats are dropped."""
        zones = r.request_class.deduplication_scope is DeduplicationScope.ZONE
        return r.ran_on is None or (s.zone == r.ran_on.zone if zones else s.cell == r.ran_on.cell)

    def _trial(self, r: RequestState, home: EndpointPool) -> EndpointState | None:
        """An unusable server whose trial is due; only for a safe first attempt; far if none is at home."""
        if not self.outs or r.attempts or r.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return None
        near = [s for s in self.outs if s.zone == self.set.local_zone or not home.servers]
        due = (s for s in near if s.out and not s.trying and s.trial_at <= self.now and self._room(s))
        if s := next(due, None):
            s.trying = r.trial = True
        return s

    def _pick(self, r: RequestState, home: EndpointPool, far: EndpointPool) -> EndpointState | None:
        rooms, tried = [], r.tried if len(r.tried) < len(home.servers) + len(far.servers) else set()
        for pool in (home, far):  # servers whose messages are slow come last, far ones before them
            if pool.servers:
                rooms.append((pool, *self._look(r, pool, tried)))
                if part := self._among(r, *rooms[-1][:2], self._free(r, rooms[-1][2])):
                    return self._draw(part)
        if self.probes and (room := self._heard([s for _, _, part in rooms for s in part])):
            price = {s: self._with(r, s) + FAR_LOAD * (s.zone != self.set.local_zone) for s in room}
            least = [s for s in room if price[s] <= min(price.values()) + FAR_LOAD / 2]
            return self.rng.choice(least) if self.crowd <= 1 or min(price.values()) <= LOAD_MOST else None
        return next((self._draw(part) for room in rooms if (part := self._among(r, *room))), None)

    def _with(self, r: RequestState, s: EndpointState) -> float:
        """Load over capacity with this request: as told, and what was placed since, which no report tells."""
        cost, since = s.cost or self.cost / s.size, s.told_at - LAG_MS
        own = self._load(r.req) + GROUP_LOADS / self.crowd * (r.req.affinity_group not in (None, *s.groups))
        if not self.probes or self.now - s.told_at > REPORT_MS:
            return (s.load * self.probes + own) * cost
        # guards against forty balancers with a comer each: what this one placed unseen, all of them did
        unseen = self.crowd * sum(load for at, load in s.fresh if at > since)
        return s.x0 + (unseen + own) * cost

    def _look(
        self, r: RequestState, pool: EndpointPool, tried: set[EndpointId]
    ) -> tuple[EndpointState, list[EndpointState]]:
        """The first and those with room of what this request may draw: the homes of its group, else any."""
        part = pool.servers
        if r.req.affinity_group is not None:
            # departure: all balancers draw the same few homes, as each holder pays; more for a large group
            part = pool.homes(crc32(repr(r.req.affinity_group).encode()), RING)
            own = sum(s.groups.get(r.req.affinity_group, 0) for s in part) / (len(self.requests) + FEW)
            part = part[: HOMES + int(len(pool.servers) * own)] if self.crowd >= 2 else part
        elif len(part) > LOOKS:  # some, the same at each look of a request: those that were asked for it
            r.lot = r.lot or self.rng.random()
            part = Random(r.lot).sample(part, LOOKS)
        return part[0], [s for s in part if s.id not in tried and self._room(s)]

    def _among(
        self, r: RequestState, pool: EndpointPool, home: EndpointState, room: list[EndpointState]
    ) -> list[EndpointState]:
        group, heavy = r.req.affinity_group, self._load(r.req) > HEAVY * self.class_load[r.req.request_class]
        most = GROUP_SLACK * self.load / pool.size
        if mates := [s for s in room if group in s.groups and self._fill(s) <= most]:
            return mates
        # guards recovering servers against groups new to them and heavy clients, which jam one by one
        old = [] if heavy else [s for s in room if group is None or group in s.groups or s is home]
        free = [s for s in room if self.now - s.late_at >= GUARD_MS or s in old]
        return free if group is None else free[:1]

    def _draw(self, part: list[EndpointState]) -> EndpointState:
        """The lesser of two random draws by own load; newcomers are drawn with their rising chance."""
        if len(part) > 2:
            chances = [self._chance(s) * s.size for s in part]
            first = self.rng.choices(part, chances)[0]
            chances[part.index(first)] = 0.0
            part = [first, self.rng.choices(part, chances)[0]]
        return min(part, key=self._fill)

    def _fill(self, s: EndpointState) -> float:
        """Own load here for the size it has now; a live weight tells better how much all balancers hold."""
        mean = self.set.weights_follow_load
        load = (s.load + USUAL) / (s.conns + USUAL) if mean else s.load + 0.01 * s.conns
        return load / (s.idle * s.size * self._chance(s))

    def _chance(self, s: EndpointState) -> float:
        return min(self._warmth(s), RAMP_FROM + (1 - RAMP_FROM) * (self.now - s.ramp_from) / RAMP_MS)

    def _warmth(self, s: EndpointState) -> float:  # the least share of its capacity that a server has now
        return s.warmth(self.now, self.set.slow_start_ms, self.set.slow_start_min_capacity)

    def _room(self, s: EndpointState) -> bool:
        """Rule 4: this balancer's part of what a cold server may be sent within one window."""
        warmth, window, rest = self._warmth(s), self.set.cold_overload_window_ms, self.set.zone_count - 1
        if self.now < s.choked_till or warmth >= 1.0 or not self.set.cold_overload_factor:
            return self.now >= s.choked_till
        since = self.now - max(s.looked, s.since)
        if s.quota <= 0 or since >= window:
            # guards against the sum of many balancers' parts: below one send by chance, saved for one window
            part = 1.0 if rest < 1 else HOME_PART if s.zone == self.set.local_zone else (1 - HOME_PART) / rest
            rate = self.set.cold_overload_factor * warmth * self._carried() * s.size / self.set.slow_start_ms
            most = part * max(rate, 1 / self.set.balancer_count / window) * min(since, window)
            if self.probes:  # departure: where reports bound a burst too, shared by those that may want it
                most = max(most, min(most * len(self.home.servers) / max(SKEW * self.lately, 1e-9), 1.0))
            s.looked, s.quota = self.now, int(most + self.rng.random())
        return s.quota > 0

    def _carried(self) -> float:
        if self.now >= self.count_at:  # guards the CPU of a large fleet: a count looks at some servers
            self.count_at = self.now + COUNT_MS
            some = self.rng.sample(self.home.servers, min(len(self.home.servers), LOOKS))
            jammed = 0 if self.probes else sum(self.now - s.late_at < STRAIN_MS for s in some)  # asked: free
            self.strained = jammed > 2 * sum(self.now - s.slow_at >= STRAIN_MS for s in some)
            if warm := [s for s in some if s.late_at <= self.now - CHOKED_MS and self._warmth(s) >= 1.0]:
                self.carried = sum(s.conns for s in warm) / sum(s.size for s in warm)
        # guards cold servers against idleness where the warm ones have lost what they carried
        return max(self.carried, LOAD_FULL / (self.cost * self.crowd) if self.probes and self.cost else 0.0)

    def _request(self, req: Request) -> None:
        if req.id not in self.requests:
            windows = max(self.now - self.came_at, 0.0) / self.set.cold_overload_window_ms
            self.lately = (self.lately + 1) * exp(-windows)
            self.came_at, self.requests[req.id] = self.now, RequestState(req, self.set)
            self._place(self.requests[req.id])

    def _place(self, r: RequestState) -> None:
        """Send, hold or end a request with no attempt out; guards keyed ones held past their window."""
        last = r.req.deadline - 2 * self.set.tick_ms
        if self.now >= last or r.attempts >= self.most or not self._may_repeat(r):
            return self._end(r)
        home, far = self._pools(r)
        if self.probes and self._asked(r, home, far):
            return
        if s := self._trial(r, home) or self._pick(r, home, far):
            self._send(r, s)
        elif r.asked > 1 or not (home.servers or far.servers) or self.now + HOLD_MS >= last:
            self._end(r)  # guards against a request held past its deadline: the next look may come too late
        else:
            self.held[r.req.id] = r
            self._hold_timer()

    def _asked(self, r: RequestState, home: EndpointPool, far: EndpointPool) -> bool:
        """Whether it waits for reports: from home, then from afar. One that nothing tells of is not free."""
        for pool in (home, far)[r.asked :]:
            if r.asked and home.servers and self._free(r, self._look(r, home, set())[1]):
                break
            r.asked, r.ask_till = r.asked + 1, min(self.now + ASK_MS, (self.now + r.req.deadline) / 2)
            some = self._look(r, pool, set())[1][:LOOKS] if pool.servers else []
            for s in [s for s in some if self.now - max(s.told_at, s.asked_at) > NEW_MS]:
                s.asked_at = self.now
                self.out.append(PollLoadReport(s.id))
            r.waits = {s.id for s in some if s.asked_at > s.told_at and self.now - s.asked_at < ASK_MS}
            if r.waits:
                self.asking[r.req.id] = r
                self.out.append(StartTimer(r.ask_till, T_ASK))
                return True
        return False

    def _heard(self, room: list[EndpointState]) -> list[EndpointState]:
        return [s for s in room if self.now - s.told_at <= NEW_MS + ASK_MS] or room  # the silent may be gone

    def _free(self, r: RequestState, servers: list[EndpointState]) -> list[EndpointState]:
        some, slow = self._heard(servers), self.now - STRAIN_MS
        return [s for s in some if s.slow_at <= slow and self._with(r, s) < LOAD_FULL]

    def _answered(self, server: EndpointId = None) -> None:
        for r in list(self.asking.values()):
            r.waits.discard(server)
            if not r.waits or r.ask_till <= self.now:
                del self.asking[r.req.id]
                self._place(r)

    def _send(self, r: RequestState, s: EndpointState) -> None:
        cls, left = r.request_class, r.req.deadline - self.now
        timeout, r.attempts, r.sent_at = cls.latency_objective_ms * 2**r.attempts, r.attempts + 1, self.now
        if r.attempts >= self.most or timeout > 0.7 * left or cls.idempotency is Idempotency.NOT_IDEMPOTENT:
            timeout = left
        r.tried.add(s.id)
        self._count(r, s)
        s.quota -= 1
        self._pause(s)
        self.out.append(StartAttempt(r.req.id, s.id, timeout))

    def _pause(self, s: EndpointState) -> None:
        """Guards against a flood through all balancers that jams a server anew once it is quick."""
        self._carried()
        pace = max(PACE - PACE_EASE * (self.now - s.late_at), PACE_STRAIN * self.strained)
        pause = pace * self.set.balancer_count * self.rng.expovariate(1.0)
        s.choked_till = max(s.choked_till, self.now + pause)

    def _count(self, r: RequestState, s: EndpointState) -> None:
        r.server, r.load = s, self._load(r.req)
        s.hold(r.load, r.req.affinity_group)
        self.load += r.load
        s.fresh = [x for x in s.fresh if x[0] > self.now - REPORT_MS] + [(self.now, r.load)] * self.probes

    def _load(self, req: Request) -> float:
        known = self.known.get(req.client_key, self.class_load[req.request_class])
        return req.load / self.unit if req.load and self.unit else known  # relative, as those told

    def _adopted(self, event: ConnectionAdopted) -> None:
        if (s := self.servers.get(event.endpoint_id)) and event.request.id not in self.requests:
            r = self.requests[event.request.id] = RequestState(event.request, self.set)
            self._count(r, s)
            r.attempts, r.open, s.fresh = 1, True, []  # not new to the server: reports hold it already

    def _mine(
        self, event: AttemptEstablished | AttemptEnded | ConnectionSignal
    ) -> tuple[RequestState, EndpointState] | None:
        r = self.requests.get(event.request_id)
        return (r, r.server) if r and r.server and event.attempt == r.attempts - 1 else None

    def _established(self, event: AttemptEstablished) -> None:
        if mine := self._mine(event):
            mine[0].open = True
            self._worked(mine[1], self._end_trial(*mine))

    def _end_trial(self, r: RequestState, s: EndpointState) -> bool:
        was, r.trial, s.trying = r.trial, False, s.trying and not r.trial
        return was

    def _outcome(self, event: AttemptEnded) -> None:
        if not (mine := self._mine(event)):
            return
        (r, s), status = mine, event.status
        trial, was_open = self._end_trial(r, s), r.open
        r.server, self.load = None, self.load - r.load
        s.release(r.load, r.req.affinity_group)
        if status is AttemptStatus.AT_CAPACITY or (was_open and status in FAILURES):
            s.choked_till = self.now + CHOKED_MS
        if status in FAILURES:
            self._failed(s)
        elif status is AttemptStatus.OK and not was_open:
            self._worked(s, trial)
        if event.request_closed or was_open or r.over:
            self.requests.pop(event.request_id, None)
            return
        if status not in NEVER_RAN and r.ran_at < 0:
            r.ran_at, cls = r.sent_at, r.request_class
            keyed = cls.idempotency is Idempotency.WITH_KEY
            r.ran_on = s if keyed and cls.deduplication_scope is not DeduplicationScope.ALL else None
        self._place(r)

    def _may_repeat(self, r: RequestState) -> bool:
        cls = r.request_class
        in_window = self.now + 2 * self.set.tick_ms < r.ran_at + cls.deduplication_window_ms
        keyed = cls.idempotency is Idempotency.WITH_KEY
        return r.ran_at < 0 or cls.idempotency is Idempotency.IDEMPOTENT or (keyed and in_window)

    def _stop(self, _: ShutdownStarted) -> None:
        self.most = 0  # attempts
        for r in [*self.held.values(), *self.asking.values()]:
            self._end(r)

    def _gone(self, event: ClientDisconnected) -> None:
        if r := self.requests.get(event.request_id):
            r.over = True
            if self.held.pop(event.request_id, None) or self.asking.pop(event.request_id, None):
                del self.requests[event.request_id]

    def _end(self, r: RequestState) -> None:
        """The final answer to a request with no attempt out: refused where harmless, else failed."""
        cls = r.request_class
        for waiting in (self.requests, self.held, self.asking):
            waiting.pop(r.req.id, None)
        keyed = cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is DeduplicationScope.ALL
        harmless = keyed or cls.idempotency is Idempotency.IDEMPOTENT
        refuse = Reject(r.req.id, min(RETRY_MS * (0.5 + self.rng.random()), self.set.max_retry_after_ms))
        self.out.append(refuse if harmless or r.ran_at < 0 else Fail(r.req.id))

    def _timer(self, event: TimerFired) -> None:
        if event.token == T_WATCH:
            return self.out.append(WatchEndpointList())
        if event.token != T_HOLD:
            return self._leave() if event.token == T_LEAVE else self._answered()
        self.holding, tries = False, HOLD_TRIES
        for r in list(self.held.values()):
            if tries or self.now + HOLD_MS + 2 * self.set.tick_ms >= r.req.deadline:
                del self.held[r.req.id]
                self._place(r)
                tries -= tries > 0 and r.req.id in self.held
        self._hold_timer()

    def _hold_timer(self) -> None:
        if self.held and not self.holding:
            self.holding = True
            self.out.append(StartTimer(self.now + HOLD_MS, T_HOLD))

    def _note(self, event: ConnectionSignal) -> None:
        if mine := self._mine(event):
            if event.kind == SignalKind.LOAD:
                self._load_told(*mine, event.value)
            elif event.kind == SignalKind.MESSAGE_DELAY:
                self._delay_told(mine[1], event.value)

    def _leave(self) -> None:
        """Departure: it does not say when it leaves, and the list is late: all move at once, evenly paced."""
        mine = self.requests.values()
        here = [r for r in mine if r.open and r.server and r.server.state is Lifecycle.DRAINING]
        self.leaving = bool(here)
        if here:
            self.out.append(StartTimer(self.now + LEAVE_MS, T_LEAVE))
        if any(s.told < 0 and not s.out for s in self.servers.values()):  # else nobody could take them
            most = int(len(here) * LEAVE_PART + self.rng.random())
            self.out += [MigrateConnection(r.req.id) for r in here[:most]]

    def _probed(self, event: LoadReportReceived) -> None:
        if s := self.servers.get(event.endpoint_id):
            report, place = event.load_report, self.set.load_report_load_index
            s.told_at, held = self.now, self.set.load_report_connections_index
            s.x0 = report[place] if 0 <= place < len(report) else 0.0  # none: never asked before
            if s.x0 and 0 <= held < len(report) and report[held] > COST_HELD:
                s.cost = s.x0 / report[held]
                self.cost += COST_STEP * (s.cost * s.size - self.cost)
            self._answered(s.id)

    def _delay_told(self, s: EndpointState, delay: float) -> None:
        s.slow_at = self.now if delay > self.aim / 3 else -1e12
        self._carried()
        # guards against a jam that feeds itself: what is placed where messages already miss their aim is lost
        s.choked_till = -1e12 if delay <= self.aim else self.now + STRAIN_MS
        if delay <= self.aim:
            return self._pause(s)
        if self.now - s.late_at >= GUARD_MS:
            self.out.append(LogMessage(f"jammed: a message takes {delay:.0f} ms, some clients move", s.id))
        s.late_at = self.now
        # departure: a server that is too slow earns nothing with all it holds; moving a part frees the rest
        here = [r for r in self.requests.values() if r.server is s and r.open]
        here.sort(key=lambda r: r.load / s.groups.get(r.req.affinity_group, 1), reverse=True)
        # guards against many balancers with one connection each that empty it together: parts by chance
        most = len(here) * min(MOVE_LEAST + delay / PILE_MS, MOVE_MOST) + self.rng.random()
        self.out += [MigrateConnection(r.req.id) for r in here[: int(most)]]

    def _load_told(self, r: RequestState, s: EndpointState, told: float) -> None:
        """Loads are relative to the mean of those told: a connection of untold load counts as one."""
        self.loads_told += 1
        self.unit += (told - self.unit) / min(self.loads_told, UNIT_OVER)
        load = told / max(self.unit, 1e-9)
        s.load, self.load, r.load = s.load + load - r.load, self.load + load - r.load, load
        if r.req.client_key is not None:
            self.known[r.req.client_key] = load
            if len(self.known) > KNOWN_MOST:
                del self.known[next(iter(self.known))]
        self.class_load[r.req.request_class] += LOAD_STEP * (load - self.class_load[r.req.request_class])
