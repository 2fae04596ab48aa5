"""Events by the thousand, and the lines that they leave."""

from __future__ import annotations

import logging

import pytest
import trio
import trio.testing

from walkloom.transport.rate_limited_log import RateLimitedLog


def test_a_line_a_second_with_the_count_since_the_last(caplog: pytest.LogCaptureFixture) -> None:
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
