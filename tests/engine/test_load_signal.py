"""Loads and delays, which servers tell in one form."""

from __future__ import annotations

from math import inf, nan

import pytest
import trio
from trio.testing import MockClock

from tests.helpers import Rig, settings
from walkloom.engine.engine import Engine
from walkloom.engine.load_signal import LoadSignalClassifier
from walkloom.messages import ConnectionSignal, Endpoint, Event, MigrateConnection, SignalKind

LOAD, DELAY = SignalKind.LOAD, SignalKind.MESSAGE_DELAY


def test_a_row_of_delays_is_told_from_loads() -> None:
    """At a slow server every connection seemed to fall idle: balancers took it for free and sent more."""
    notes = LoadSignalClassifier(60.0)
    assert notes.classify("a", 135_594.3, 0.0) == (LOAD, 135_594.3)
    assert notes.classify("a", 323.5, 100.0) == (DELAY, 60.0)  # might be a load still: nobody is moved for it
    assert notes.classify("a", 34.7, 600.0) == (LOAD, 34.7)  # an idle connection's, between two delays
    assert notes.classify("a", 483.4, 1104.0) == (DELAY, 483.4)
    assert notes.classify("b", 12.0, 1104.0) == (LOAD, 12.0)  # another server's row is its own
    assert notes.classify("a", 19.6, 2100.0) == (DELAY, 19.6)  # back under a third of the aim: the last of it
    assert notes.classify("a", 19.6, 3100.0) == (LOAD, 19.6)


def test_a_row_that_was_missed_begins_anew() -> None:
    notes = LoadSignalClassifier(60.0)
    notes.classify("a", 300.0, 0.0)
    assert notes.classify("a", 300.0, 2500.0) == (DELAY, 60.0)


def test_a_value_that_is_no_load_is_refused() -> None:
    """One nan spoiled the mean of all loads, and with it every placement from then on."""
    for value in (nan, inf, -1.0, 1e300):
        with pytest.raises(ValueError):
            LoadSignalClassifier(60.0).classify("a", value, 0.0)


def test_a_first_delay_passes_a_server_over_and_only_a_second_moves_its_clients() -> None:
    rig = Rig(server_reports_latency=False, load_reports_available=True, load_report_load_index=1)
    rig.loads = {"a": 0.5}
    rig.news(Endpoint("a"))
    notes = LoadSignalClassifier(60.0)
    ids = [rig.request() for _ in range(20)]
    for rid in ids:
        rig.up(rid)
    for turn, moved in ((0, False), (1, True)):
        kind, value = notes.classify("a", 500.0, rig.at(1000.0).now)
        rig.give(ConnectionSignal(request_id=ids[turn], attempt=0, endpoint_id="a", kind=kind, value=value))
        assert bool(rig.got(MigrateConnection)) is moved
        assert rig.now - rig.balancer.servers["a"].slow_at < 1.0


def test_the_engine_tells_the_policy_which_is_which(monkeypatch: pytest.MonkeyPatch) -> None:
    told: list[Event] = []
    monkeypatch.setattr(Engine, "dispatch", lambda self, event: told.append(event))

    async def main() -> None:
        handle = Engine(settings(), 1).adopt("a", 0)
        handle.report_load_signal(250_000.0)
        handle.report_load_signal(500.0)
        await trio.sleep(1.0)
        handle.report_load_signal(500.0)

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    notes = [(x.kind, x.value) for x in told if isinstance(x, ConnectionSignal)]
    assert notes == [(LOAD, 250_000.0), (DELAY, 100.0), (DELAY, 500.0)]
