"""Open connections migrate at an even rate over the duration of a migration."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from tests.helpers import settings
from walkloom.engine.engine import Engine
from walkloom.engine.request_handle import RequestHandle
from walkloom.messages import MigrateConnection

# When each connection was asked to migrate, in seconds from the start.
MigrationTimes = list[float]


async def record_migrations(handle: RequestHandle, start: float, migration_times: MigrationTimes) -> None:
    """Record the time of every command; each must be a migration."""
    while True:
        command = await handle.next_command()
        assert isinstance(command, MigrateConnection)
        migration_times.append(trio.current_time() - start)


def test_each_connection_migrates_once_at_an_even_rate_after_the_delay() -> None:
    migration_times: MigrationTimes = []

    async def main() -> None:
        engine = Engine(settings(), 1)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(record_migrations, engine.adopt("a", 0), start, migration_times)
            nursery.start_soon(engine.migrate_connections, 0.5, 2.0)
            await trio.sleep(0.4)
            assert not engine.stopping
            await trio.sleep(9.6)
            assert engine.stopping
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    assert len(migration_times) == 40
    assert min(migration_times) >= 0.5
    assert max(migration_times) <= 2.51
    assert 18 <= sum(at < 1.5 for at in migration_times) <= 22


def test_a_connection_established_after_the_end_migrates_in_the_next_step() -> None:
    migration_times: MigrationTimes = []

    async def main() -> None:
        engine = Engine(settings(), 1)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.migrate_connections, 0.5, 0.5)
            await trio.sleep(3.01)
            nursery.start_soon(record_migrations, engine.adopt("a", 0), start, migration_times)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    assert len(migration_times) == 1
    assert 3.01 <= migration_times[0] <= 3.07
