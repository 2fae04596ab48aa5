"""The policy's timers: their order, and timers that are added during a wait."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from walkloom.engine.timer_queue import TimerQueue

# When each timer fired, ms, and its token.
Fired = list[tuple[float, int]]


def now_ms() -> float:
    """Return trio's clock, ms."""
    return trio.current_time() * 1000.0


def run_script(script: Callable[[TimerQueue, float], Awaitable[None]], duration_s: float = 10.0) -> Fired:
    """Run a timer queue together with a script; return the fired timers, with times from the start.

    script: called with the queue and the start time, ms. duration_s: how long the queue runs after the
    script.
    """
    fired: Fired = []

    async def main() -> None:
        start = now_ms()
        timers = TimerQueue(now_ms, lambda token: fired.append((round(now_ms() - start), token)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            await script(timers, start)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    return fired


def test_timers_fire_when_due_in_the_order_of_their_times() -> None:
    async def script(timers: TimerQueue, start: float) -> None:
        timers.add(start + 300.0, 1)
        timers.add(start + 100.0, 2)
        timers.add(start + 200.0, 3)

    assert run_script(script) == [(100, 2), (200, 3), (300, 1)]


def test_timers_of_the_same_time_fire_in_the_order_of_their_tokens() -> None:
    async def script(timers: TimerQueue, start: float) -> None:
        for token in (3, 1, 2):
            timers.add(start + 100.0, token)

    assert run_script(script) == [(100, 1), (100, 2), (100, 3)]


def test_an_earlier_timer_shortens_the_wait_for_a_later_one() -> None:
    async def script(timers: TimerQueue, start: float) -> None:
        timers.add(start + 5000.0, 1)
        await wait_all_tasks_blocked()
        timers.add(start + 100.0, 2)

    assert run_script(script) == [(100, 2), (5000, 1)]


def test_a_timer_whose_time_has_passed_fires_at_once() -> None:
    async def script(timers: TimerQueue, start: float) -> None:
        await trio.sleep(1.0)
        timers.add(start + 100.0, 1)

    assert run_script(script) == [(1000, 1)]


def test_a_timer_added_while_another_fires_is_fired_too() -> None:
    fired: Fired = []

    async def main() -> None:
        start = now_ms()

        def fire(token: int) -> None:
            fired.append((round(now_ms() - start), token))
            if token < 3:
                timers.add(now_ms() + 100.0 * token, token + 1)

        timers = TimerQueue(now_ms, fire)
        timers.add(start, 0)
        with trio.move_on_after(10.0):
            await timers.run()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    assert fired == [(0, 0), (0, 1), (100, 2), (300, 3)]
