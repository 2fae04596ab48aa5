"""The planted changes of rules by which `policy_check` tests the characterisation, as old and new text."""

from __future__ import annotations

NOT_TUNED = ("T_HOLD", "T_WATCH", "T_LEAVE", "T_ASK")  # tokens that tell timers apart

PLANTS = {
    "greater of two draws": ("return min(part, key=self._fill)", "return max(part, key=self._fill)"),
    "draining servers are no fallback": (
        "[s for s in usable if s.told < 0] or [s for s in usable if self._in_grace(s)]",
        "[s for s in usable if s.told < 0]",
    ),
    "retry after the deduplication window": (
        "in_window = self.now + 2 * self.set.tick_ms < r.ran_at + cls.deduplication_window_ms",
        "in_window = True",
    ),
    "retry of an unsafe request": (
        "r.ran_at < 0 or cls.idempotency is Idempotency.IDEMPOTENT or",
        "r.ran_at < 0 or not keyed or",
    ),
    "deduplication scope not observed": (
        "r.ran_on = s if keyed and cls.deduplication_scope is not DeduplicationScope.ALL else None",
        "r.ran_on = None",
    ),
    "drain grace without the slack of two rounds": (
        "s.told > self.now - self.set.drain_grace_ms + 2 * self.set.tick_ms",
        "s.told > self.now - self.set.drain_grace_ms",
    ),
    "one attempt more than allowed": (
        "r.attempts >= self.most or not self._may_repeat(r)",
        "r.attempts > self.most or not self._may_repeat(r)",
    ),
    "cold servers have no budget": (
        "s.looked, s.quota = self.now, int(most + self.rng.random())",
        "s.looked, s.quota = self.now, 1000",
    ),
    "at capacity counts as a failure": (
        "        if status in FAILURES:\n",
        "        if status in FAILURES or status is AttemptStatus.AT_CAPACITY:\n",
    ),
    "trials of requests that are not idempotent": (
        "if not self.outs or r.attempts or r.request_class.idempotency is not Idempotency.IDEMPOTENT:",
        "if not self.outs or r.attempts:",
    ),
    "own zone not preferred": (
        "for pool in (home, far):  # servers whose",
        "for pool in (far, home):  # servers whose",
    ),
    "a retry may go to the same server": (
        "return part[0], [s for s in part if s.id not in tried and self._room(s)]",
        "return part[0], [s for s in part if self._room(s)]",
    ),
    "restarted servers keep their past": ("            s.renew(self.now)\n", "            pass\n"),
    "rejected where a failure is owed": ("refuse if harmless or r.ran_at < 0 else Fail(r.req.id)", "refuse"),
    "held requests lie past their deadline": (
        "if tries or self.now + HOLD_MS + 2 * self.set.tick_ms >= r.req.deadline:",
        "if tries:",
    ),
    "silent servers are not passed over": (
        "return [s for s in room if self.now - s.told_at <= NEW_MS + ASK_MS] or room",
        "return room",
    ),
    "groups have no homes": (
        "part = pool.homes(crc32(repr(r.req.affinity_group).encode()), RING)",
        "part = pool.servers",
    ),
    "requests that wait are not ended at shutdown": (
        "        for r in [*self.held.values(), *self.asking.values()]:\n            self._end(r)",
        "",
    ),
}
