"""Loads and message latencies, which endpoints report in the same form."""

from __future__ import annotations

from math import inf, nan

import pytest
import trio
from trio.testing import MockClock

from tests.helpers import BalancerDriver, settings
from walkloom.engine.engine import Engine
from walkloom.engine.errors import EngineError, LoadSignalError
from walkloom.engine.load_signal import LoadSignalClassifier
from walkloom.messages import ConnectionSignal, Endpoint, Event, MigrateConnection, SignalKind

LOAD = SignalKind.LOAD
LATENCY = SignalKind.MESSAGE_DELAY


def test_a_run_of_latencies_is_distinguished_from_loads() -> None:
    """If the latencies count as loads, every connection of a slow server seems idle.

    Balancers then take the server for free and send it more connections.
    """
    classifier = LoadSignalClassifier(60.0)
    assert classifier.classify("a", 135_594.3, 0.0) == (LOAD, 135_594.3)
    # This might still be a load, so it must not migrate a client.
    assert classifier.classify("a", 323.5, 100.0) == (LATENCY, 60.0)
    # The load of an idle connection, between two latencies.
    assert classifier.classify("a", 34.7, 600.0) == (LOAD, 34.7)
    assert classifier.classify("a", 483.4, 1104.0) == (LATENCY, 483.4)
    # Another endpoint has its own run.
    assert classifier.classify("b", 12.0, 1104.0) == (LOAD, 12.0)
    # Back below a third of the objective, so this is the last report of the run.
    assert classifier.classify("a", 19.6, 2100.0) == (LATENCY, 19.6)
    assert classifier.classify("a", 19.6, 3100.0) == (LOAD, 19.6)


def test_a_run_with_a_missing_report_starts_over() -> None:
    classifier = LoadSignalClassifier(60.0)
    classifier.classify("a", 300.0, 0.0)
    assert classifier.classify("a", 300.0, 2500.0) == (LATENCY, 60.0)


@pytest.mark.parametrize("value", [nan, inf, -1.0, 1e300])
def test_a_value_that_cannot_be_a_load_is_rejected(value: float) -> None:
    """A single nan would corrupt the mean of all loads, and with it every later placement."""
    with pytest.raises(LoadSignalError) as caught:
        LoadSignalClassifier(60.0).classify("a", value, 0.0)
    assert isinstance(caught.value, ValueError)
    assert isinstance(caught.value, EngineError)
    assert caught.value.value is value


def test_the_first_latency_marks_an_endpoint_as_slow_and_only_the_second_migrates_its_clients() -> None:
    driver = BalancerDriver(
        server_reports_latency=False, load_reports_available=True, load_report_load_index=1
    )
    driver.loads = {"a": 0.5}
    driver.update_list(Endpoint("a"))
    classifier = LoadSignalClassifier(60.0)
    ids = [driver.request() for _ in range(20)]
    for request_id in ids:
        driver.establish(request_id)
    for turn, migrated in ((0, False), (1, True)):
        signal = classifier.classify("a", 500.0, driver.wait(1000.0).now)
        driver.handle_event(
            ConnectionSignal(
                request_id=ids[turn], attempt=0, endpoint_id="a", kind=signal.kind, value=signal.value
            )
        )
        assert bool(driver.actions_of(MigrateConnection)) is migrated
        assert driver.now - driver.balancer.state.endpoints.by_id["a"].slow_message_at < 1.0


def test_the_engine_passes_the_classified_signals_to_the_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[Event] = []
    monkeypatch.setattr(Engine, "dispatch", lambda self, event: events.append(event))

    async def main() -> None:
        handle = Engine(settings(), 1).adopt("a", 0)
        handle.report_load_signal(250_000.0)
        handle.report_load_signal(500.0)
        await trio.sleep(1.0)
        handle.report_load_signal(500.0)

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    signals = [(event.kind, event.value) for event in events if isinstance(event, ConnectionSignal)]
    assert signals == [(LOAD, 250_000.0), (LATENCY, 100.0), (LATENCY, 500.0)]
