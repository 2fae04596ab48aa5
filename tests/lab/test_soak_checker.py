"""The soak test's checker on handwritten histories: it reports a rule where it is broken, and only there."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from walkloom.lab.soak.checker import check
from walkloom.lab.soak.client import ClientBehaviour, ClientPlan
from walkloom.lab.soak.deployment import Deployment
from walkloom.lab.soak.history import (
    AttemptBegan,
    AttemptEnd,
    AttemptEnded,
    AttemptNamed,
    CallFailed,
    CallReceived,
    ClientConnectionEnded,
    ClientLeft,
    DiscoveryReachable,
    HarnessStalled,
    History,
    Lifecycle,
    LineReturned,
    LineUnanswered,
    ListChanged,
    ListWritten,
    ProcessExited,
    ProcessMeasured,
    ProcessReady,
    ProcessSignalled,
    ProcessStarted,
    Record,
    RequestAnswered,
    RequestSent,
    ServerConnectionEnded,
    WatchSilenced,
)

# The request of every history: sent at 10.0 with a deadline of 1 s.
SENT_AT = 10.0
PLAN = ClientPlan(SENT_AT, "n0", "r", "view", 1000, group=1, lifetime_s=5.0)
DEPLOYMENT = Deployment(
    balancer_count=3,
    process_count=1,
    server_count=2,
    is_pushed=False,
    max_poll_interval_ms=10_000.0,
    drain_grace_ms=500.0,
    longest_deadline_ms=1500,
    load_reports=False,
    request_rate=1.0,
    has_crowd=False,
)
START = (
    DiscoveryReachable(0.0, "n0", True),
    ListChanged(0.0, 1, "a", Lifecycle.READY),
    ListChanged(0.0, 2, "b", Lifecycle.READY),
    ProcessStarted(0.1, "n0", 2),
    ProcessReady(0.5, "n0"),
)
SENT = RequestSent(SENT_AT, "n0", "r", 1000.0)


def attempt(at: float, server: str = "a", number: int = 1, end: float | None = None) -> list[Record]:
    """Return the records of an attempt from `at` on that is established 10 ms later, or fails at `end`."""
    outcome = AttemptEnd.ESTABLISHED if end is None else AttemptEnd.ERROR
    return [
        AttemptBegan(at, server, number),
        AttemptNamed(at, number, "r"),
        AttemptEnded(at + 0.01 if end is None else end, number, outcome),
    ]


def answered(at: float, word: str = "UP") -> RequestAnswered:
    return RequestAnswered(at, "r", word)


def broken_rules(
    *records: Record,
    deployment: Deployment = DEPLOYMENT,
    plan: ClientPlan = PLAN,
    start: tuple[Record, ...] = START,
) -> list[str]:
    ordered = sorted((*start, *records), key=lambda record: record.at)
    return [violation.rule for violation in check(deployment, [plan], History(ordered))]


def drained(at: float, server: str = "a") -> ListChanged:
    return ListChanged(at, 3, server, Lifecycle.DRAINING)


def reload(at: float) -> ProcessSignalled:
    return ProcessSignalled(at, "n0", "SIGHUP")


SOUND = (SENT, *attempt(10.01), answered(10.03))


def test_a_sound_run_has_no_violation() -> None:
    assert broken_rules(*SOUND) == []


DRAINS = {
    "written, within the grace": ([drained(9.5), ListWritten(9.5, "n0", 3)], []),
    "written, past the grace": ([drained(9.4), ListWritten(9.4, "n0", 3)], ["drain"]),
    "not written, within 6 s": ([drained(3.6)], []),
    "not written, past 6 s": ([drained(3.4)], ["drain"]),
    "discovery was down until 5": (
        [DiscoveryReachable(3.0, "n0", False), drained(3.4), DiscoveryReachable(5.0, "n0", True)],
        [],
    ),
    "discovery went down after the drain": ([drained(3.4), DiscoveryReachable(3.5, "n0", False)], ["drain"]),
    "a reload less than 4 s before the grace": ([reload(5.5), drained(5.6)], []),
    "a reload, past 4 s": ([reload(5.4), drained(5.5)], ["drain"]),
    "a drain in an outage, past 4 s after a reload": (
        [DiscoveryReachable(5.0, "n0", False), reload(5.4), drained(5.5)],
        ["drain"],
    ),
    "two reloads, the first past 4 s": ([reload(5.4), drained(5.5), reload(8.0)], ["drain"]),
    "a reload that was answered before the drain": (
        [reload(5.4), ListWritten(5.5, "n0", 2), drained(5.6)],
        [],
    ),
    "a reload of the process before": (
        [reload(5.4), drained(5.5), ProcessStarted(9.0, "n0", 2), ProcessReady(9.5, "n0")],
        [],
    ),
    "the server is ready again": ([drained(3.4), ListChanged(9.9, 4, "a", Lifecycle.READY)], []),
    "a process that started later": (
        [drained(3.4), ProcessStarted(9.0, "n0", 2), ProcessReady(9.5, "n0")],
        [],
    ),
    "a process that started with that list": (
        [drained(3.4), ProcessStarted(9.0, "n0", 3), ProcessReady(9.3, "n0")],
        ["drain"],
    ),
}


@pytest.mark.parametrize(("records", "rules"), DRAINS.values(), ids=DRAINS.keys())
def test_new_work_on_a_draining_server_is_judged_by_when_its_drain_counts_as_notified(
    records: list[Record], rules: list[str]
) -> None:
    assert broken_rules(*records, *SOUND) == rules


def test_a_balancer_that_does_not_poll_counts_as_notified_after_the_poll_interval() -> None:
    short = replace(DEPLOYMENT, max_poll_interval_ms=2000.0)
    calls = (CallReceived(6.0, "n0"), ListWritten(6.0, "n0", 2))
    assert broken_rules(*calls, drained(7.0), *SOUND, deployment=short) == ["drain"]
    assert broken_rules(*calls, drained(7.6), *SOUND, deployment=short) == []
    failed = (CallReceived(6.0, "n0"), CallFailed(6.0, "n0"))
    assert broken_rules(*failed, drained(7.0), *SOUND, deployment=short) == []


def test_a_change_that_the_agent_of_a_pushed_list_has_counts_as_notified_at_once() -> None:
    pushed = replace(DEPLOYMENT, is_pushed=True)
    assert broken_rules(drained(9.5), *SOUND, deployment=pushed) == []
    assert broken_rules(drained(9.4), *SOUND, deployment=pushed) == ["drain"]
    silenced = WatchSilenced(9.0, "n0")
    assert broken_rules(silenced, drained(9.4), *SOUND, deployment=pushed) == []
    assert broken_rules(silenced, CallReceived(9.3, "n0"), drained(9.4), *SOUND, deployment=pushed) == [
        "drain"
    ]


def test_what_the_agent_had_before_a_process_started_counts_from_its_start() -> None:
    """Guards against a checker that takes an agent's silence for a list without the drain."""
    pushed = replace(DEPLOYMENT, is_pushed=True)
    outage = (drained(3.4), DiscoveryReachable(3.5, "n0", False))
    early = (ProcessStarted(9.0, "n0", 2), ProcessReady(9.2, "n0"))
    late = (ProcessStarted(9.6, "n0", 2), ProcessReady(9.8, "n0"))
    assert broken_rules(*outage, *early, *SOUND, deployment=pushed) == ["drain"]
    assert broken_rules(*outage, *late, *SOUND, deployment=pushed) == []
    silenced_before = (WatchSilenced(3.3, "n0"), reload(8.9))
    assert broken_rules(*silenced_before, *outage, *early, *SOUND, deployment=pushed) == ["drain"]
    learned_later = (DiscoveryReachable(3.3, "n0", False), drained(3.4))
    assert broken_rules(*learned_later, *early, *SOUND, deployment=pushed) == []


def test_a_call_that_continues_a_silent_watch_does_not_end_its_silence() -> None:
    pushed = replace(DEPLOYMENT, is_pushed=True)
    silenced = WatchSilenced(9.0, "n0")
    continued = CallReceived(9.001, "n0", on_silent_watch=True)
    assert broken_rules(silenced, continued, drained(9.4), *SOUND, deployment=pushed) == []
    early = WatchSilenced(3.4, "n0")
    continued = CallReceived(3.401, "n0", on_silent_watch=True)
    assert broken_rules(early, continued, drained(3.5), *SOUND, deployment=pushed) == ["drain"]


ANSWERS = {
    "late by less than half a second": ([SENT, answered(11.4, "BUSY")], []),
    "later": ([SENT, answered(11.6, "BUSY")], ["lost"]),
    "none": ([SENT], ["lost"]),
    "a close without an answer": ([SENT, ClientConnectionEnded(10.1, "r", "", False)], ["lost"]),
    "the client left": ([SENT, ClientLeft(10.2, "r")], []),
    "its process was killed outright": ([SENT, ProcessSignalled(10.2, "n0", "SIGKILL")], []),
    "its process was killed at the end of a planned stop": (
        [SENT, ProcessSignalled(9.9, "n0", "SIGTERM"), ProcessSignalled(12.1, "n0", "SIGKILL")],
        ["lost"],
    ),
    "the stand-ins stalled": ([SENT, HarnessStalled(11.7, 11.0), answered(11.7, "BUSY")], []),
}


@pytest.mark.parametrize(("records", "rules"), ANSWERS.values(), ids=ANSWERS.keys())
def test_each_request_must_be_answered_in_time(records: list[Record], rules: list[str]) -> None:
    assert broken_rules(*records) == rules


ATTEMPTS = {
    "one after another": ([*attempt(10.01, end=10.05), *attempt(10.06, "b", 2)], []),
    "two at once": ([*attempt(10.01, end=10.5), *attempt(10.2, "b", 2)], ["duplicate"]),
    "four": (
        [
            *attempt(10.01, end=10.02),
            *attempt(10.03, "b", 2, 10.04),
            *attempt(10.05, "a", 3, 10.06),
            *attempt(10.07, "b", 4),
        ],
        ["attempts"],
    ),
}


@pytest.mark.parametrize(("records", "rules"), ATTEMPTS.values(), ids=ATTEMPTS.keys())
def test_attempts_come_one_after_another_and_three_at_most(records: list[Record], rules: list[str]) -> None:
    assert broken_rules(SENT, *records, answered(10.9)) == rules


def test_an_attempt_after_the_client_left_is_a_lost_request() -> None:
    assert broken_rules(SENT, ClientLeft(10.1, "r"), *attempt(10.2)) == []
    assert broken_rules(SENT, ClientLeft(10.1, "r"), *attempt(10.3)) == ["left"]


ENDS = {
    "MOVE": ([ClientConnectionEnded(12.0, "r", "MOVE", False)], []),
    "a cut": ([ClientConnectionEnded(12.0, "r", "M 1", False)], ["cut"]),
    "a cut by the server": (
        [ServerConnectionEnded(11.9, 1, True), ClientConnectionEnded(12.0, "r", "M 1", True)],
        [],
    ),
    "a kill without a warning": (
        [ProcessSignalled(11.9, "n0", "SIGKILL"), ClientConnectionEnded(12.0, "r", "M 1", True)],
        [],
    ),
    "MOVE within a line": ([ClientConnectionEnded(12.0, "r", "M 1MOVE", False)], ["move", "cut"]),
    "a line held for a second": ([LineReturned(12.0, "r", 1.2)], ["held"]),
}


@pytest.mark.parametrize(("records", "rules"), ENDS.values(), ids=ENDS.keys())
def test_an_established_connection_ends_as_the_rules_require(records: list[Record], rules: list[str]) -> None:
    assert broken_rules(*SOUND, *records) == rules


def test_a_client_that_stops_midway_is_closed_in_time() -> None:
    plan = ClientPlan(
        SENT_AT, "n0", "r", "view", 1000, group=1, lifetime_s=5.0, behaviour=ClientBehaviour.STOPS_MIDWAY
    )
    other = RequestSent(0.0, "n0", "r", 1000.0)
    early = ClientConnectionEnded(2.1, "r", "BUSY", False)
    late = ClientConnectionEnded(16.0, "r", "BUSY", False)
    assert broken_rules(other, early, plan=plan) == []
    assert broken_rules(other, late, plan=plan) == ["bad_client"]


def test_a_process_that_crashes_or_is_not_ready_is_reported() -> None:
    assert broken_rules(*SOUND, ProcessExited(20.0, "n0", 1)) == ["crash"]
    assert broken_rules(*SOUND, ProcessExited(20.0, "n0", 0)) == []
    assert broken_rules(*SOUND, ProcessStarted(20.0, "n0", 2)) == ["ready"]


EDIT = replace(PLAN, request_class="edit")
ERROR_THEN_UP = (*attempt(10.01, end=10.05), *attempt(10.2, "b", 2))
REPEATS = {
    "an idempotent class": ("idempotent", "all", ERROR_THEN_UP, "UP", []),
    "at most once": ("at_most_once", "all", ERROR_THEN_UP, "UP", ["repeat"]),
    "at most once, refused after it may have run": (
        "at_most_once",
        "all",
        attempt(10.01, end=10.05),
        "BUSY",
        ["promise"],
    ),
    "at most once, failed": ("at_most_once", "all", attempt(10.01, end=10.05), "ERR", []),
    "within the window": (
        "deduplicated",
        "all",
        [*attempt(10.01, end=10.05), *attempt(10.2, "b", 2)],
        "UP",
        [],
    ),
    "after the window": (
        "deduplicated",
        "all",
        [*attempt(10.01, end=10.05), *attempt(10.6, "b", 2)],
        "UP",
        ["repeat"],
    ),
    "in another zone": (
        "deduplicated",
        "zone",
        [*attempt(10.01, "s-0", end=10.05), *attempt(10.1, "s-1", 2)],
        "UP",
        ["repeat"],
    ),
    "in the same zone": (
        "deduplicated",
        "zone",
        [*attempt(10.01, "s-0", end=10.05), *attempt(10.1, "s-2", 2)],
        "UP",
        [],
    ),
    "a local scope, refused after it may have run": (
        "deduplicated",
        "zone",
        attempt(10.01, "s-0", end=10.05),
        "BUSY",
        ["promise"],
    ),
}


@pytest.mark.parametrize(
    ("repeat", "scope", "records", "word", "rules"), REPEATS.values(), ids=REPEATS.keys()
)
def test_a_request_that_may_have_run_is_repeated_only_as_its_class_allows(
    repeat: str, scope: str, records: Sequence[Record], word: str, rules: list[str]
) -> None:
    deployment = replace(
        DEPLOYMENT, zones=("x", "y"), repeat=repeat, deduplication_scope=scope, deduplication_window_ms=500.0
    )
    assert broken_rules(SENT, *records, answered(10.9, word), deployment=deployment, plan=EDIT) == rules


def test_a_connection_without_a_returned_line_for_seven_seconds_is_reported() -> None:
    assert broken_rules(*SOUND, LineUnanswered(18.0, "r", 7.4)) == []
    assert broken_rules(*SOUND, LineUnanswered(18.0, "r", 7.6)) == ["silent"]


def test_a_process_that_leaks_descriptors_or_memory_is_reported() -> None:
    base = ProcessMeasured(0.6, "n0", 10, 30_000)
    assert broken_rules(*SOUND, base, ProcessMeasured(20.0, "n0", 22, 50_000)) == []
    assert broken_rules(*SOUND, base, ProcessMeasured(20.0, "n0", 23, 50_000)) == ["growth"]
    assert broken_rules(*SOUND, base, ProcessMeasured(20.0, "n0", 22, 60_000)) == ["growth"]
