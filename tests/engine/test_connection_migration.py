"""How open connections are spread over the time of a migration."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from tests.helpers import settings
from walkloom.engine.engine import Engine
from walkloom.engine.request_handle import RequestHandle
from walkloom.messages import MigrateConnection

# When each connection was asked to migrate, seconds from the start.
Migrated = list[float]


async def note_migrations(handle: RequestHandle, start: float, migrated: Migrated) -> None:
    """Note the time of every command that comes, each of them to migrate."""
    while True:
        command = await handle.next_command()
        assert isinstance(command, MigrateConnection)
        migrated.append(trio.current_time() - start)


def test_connections_migrate_once_each_and_evenly_from_the_delay_on() -> None:
    migrated: Migrated = []

    async def main() -> None:
        engine = Engine(settings(), 1)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(note_migrations, engine.adopt("a", 0), start, migrated)
            nursery.start_soon(engine.migrate_connections, 0.5, 2.0)
            await trio.sleep(0.4)
            assert not engine.stopping
            await trio.sleep(9.6)
            assert engine.stopping
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    assert len(migrated) == 40
    assert min(migrated) >= 0.5
    assert max(migrated) <= 2.51
    assert 18 <= sum(at < 1.5 for at in migrated) <= 22


def test_a_connection_established_after_the_time_migrates_at_the_next_step() -> None:
    migrated: Migrated = []

    async def main() -> None:
        engine = Engine(settings(), 1)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.migrate_connections, 0.5, 0.5)
            await trio.sleep(3.01)
            nursery.start_soon(note_migrations, engine.adopt("a", 0), start, migrated)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.0))
    assert len(migrated) == 1
    assert 3.01 <= migrated[0] <= 3.07
