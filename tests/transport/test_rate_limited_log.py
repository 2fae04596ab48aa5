"""Frequent events are logged as one line a second."""

from __future__ import annotations

import logging

import pytest
import trio
import trio.testing

from walkloom.transport.rate_limited_log import RateLimitedLog


def test_one_line_a_second_with_the_count_since_the_previous_line(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        event_log = RateLimitedLog("many")
        event_log.count("first")
        event_log.count("second")
        event_log.count("third")
        await trio.sleep(1.0)
        event_log.count("fourth")

    with caplog.at_level(logging.WARNING, "walkloom"):
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert caplog.messages == ["many count=1 last='first'", "many count=3 last='fourth'"]
