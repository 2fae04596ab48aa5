"""The core as a whole: closing sessions, figures, and invalid arguments."""

from __future__ import annotations

import pytest

from tests.client.core_harness import EDIT, ONE, TWO, VIEW, CoreHarness
from walkloom.client.core import ClientCore
from walkloom.client.errors import InvalidArgumentError
from walkloom.client.settings import ClassPolicy, Limits, parse_address
from walkloom.client.wire import encode_line


def test_closing_at_any_moment_leaves_nothing_behind() -> None:
    harness = CoreHarness(ONE, TWO, setups=3)
    sessions = [harness.open() for _ in range(6)]
    harness.answer(sessions[0], "UP 1")
    harness.deliver(sessions[0], "MOVE\r\n")
    harness.answer(sessions[1], "UP 1")
    harness.answer(sessions[2], "ERR")
    for session in sessions:
        harness.core.close(session, harness.now)
        harness.core.close(session, harness.now)
        harness.step()
    figures = harness.core.figures()
    assert not harness.open_connections and figures.sessions == 0 and harness.core._scheduler.in_flight == 0
    assert all(balancer.in_flight == 0 for balancer in harness.core._pool.balancers)
    harness.advance(100_000)
    assert figures.counters.requests == figures.counters.established + figures.counters.abandoned


def test_figures_report_counts_and_delays() -> None:
    harness = CoreHarness()
    for ms in (10, 20, 400):
        session = harness.open()
        harness.advance(ms)
        harness.answer(session, "UP 1")
    harness.send(session, "a")
    harness.advance(50)
    harness.deliver(session, "a\r\n")
    figures = harness.core.figures()
    setup, delay = figures.setup_times["tile-view"], figures.line_delays["tile-view"]
    assert setup.count == 3 and 19 <= setup.p50 <= 21 and 395 <= setup.max <= 405 and 49 <= delay.p99 <= 51
    assert figures.established == figures.sessions == 3 and figures.counters.lines_received == 1


@pytest.mark.parametrize(
    ("make", "text"),
    [
        (lambda: ClassPolicy("a b", 1, 2), "class name"),
        (lambda: ClassPolicy("a", 3, 2), "aim_ms"),
        (lambda: ClassPolicy("a", 1, 2, tries=4), "tries"),
        (lambda: ClassPolicy("a", 1, 2, worth=0), "worth"),
        (lambda: Limits(setups=0), "setups"),
        (lambda: Limits(retry_share=2), "retry_share"),
        (lambda: Limits(backoff_ms=50, backoff_most_ms=10), "backoff_most_ms"),
        (lambda: parse_address("nowhere"), "host:port"),
        (lambda: parse_address("h:0"), "host:port"),
        (lambda: ClientCore([], [VIEW], Limits()), "at least one balancer"),
        (lambda: ClientCore([ONE], [], Limits()), "at least one class"),
        (lambda: ClientCore([ONE], [VIEW, VIEW], Limits()), "each once"),
        (lambda: CoreHarness().open("none"), "no class 'none'"),
        (lambda: CoreHarness().open(tenant="a,b"), "tenant"),
        (lambda: CoreHarness().open(key=1 << 64), "64 bits"),
        (lambda: CoreHarness().open(load=float("nan")), "load"),
        (lambda: encode_line("a\nb"), "line end"),
        (lambda: encode_line("a" * 4095), "bytes"),
    ],
)
def test_invalid_arguments_are_reported_by_name(make: object, text: str) -> None:
    with pytest.raises(ValueError, match=text) as error:
        make()  # type: ignore[operator]
    assert isinstance(error.value, InvalidArgumentError) and error.value.name


def test_addresses_accept_names_and_ipv6() -> None:
    assert parse_address("[::1]:9000") == ("::1", 9000) and parse_address("a.example:1") == ("a.example", 1)
    assert EDIT.worth > VIEW.worth
