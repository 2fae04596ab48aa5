"""Which connections get a descriptor when descriptors run short."""

from __future__ import annotations

import logging

import pytest
import trio

from walkloom.transport.descriptor_limit import RESERVED_DESCRIPTORS, DescriptorLimit


def limit_for(connections: int) -> DescriptorLimit:
    """Create a limit with room for this many connections besides all reserved descriptors."""
    descriptor_limit = DescriptorLimit(connections + RESERVED_DESCRIPTORS + 2)
    assert descriptor_limit.load_report_connections == 2
    return descriptor_limit


def test_acquiring_fails_at_the_limit_and_succeeds_once_a_descriptor_is_free() -> None:
    descriptor_limit = limit_for(1)
    with descriptor_limit.acquire() as first:
        with descriptor_limit.acquire() as second:
            assert (first, second) == (True, False)
        with descriptor_limit.acquire() as third:
            assert not third
    with descriptor_limit.acquire() as fourth:
        assert fourth


def test_the_connection_that_has_been_idle_longest_is_closed_first(caplog: pytest.LogCaptureFixture) -> None:
    async def main() -> None:
        descriptor_limit = limit_for(0)
        oldest = trio.CancelScope()
        newest = trio.CancelScope()
        with descriptor_limit.reclaimable(oldest), descriptor_limit.reclaimable(newest):
            with descriptor_limit.acquire() as acquired:
                assert acquired
            assert oldest.cancel_called
            assert not newest.cancel_called
            assert descriptor_limit.reclaim_oldest()
            assert newest.cancel_called
            assert not descriptor_limit.reclaim_oldest()

    with caplog.at_level(logging.WARNING, "walkloom"):
        trio.run(main)
    assert caplog.messages == ["idle_connections_closed count=1 last='idle 1'"]
