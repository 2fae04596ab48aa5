"""The times of a graceful shutdown."""

from __future__ import annotations

import pytest

from walkloom.shutdown import ShutdownSchedule


def test_long_deadlines_give_every_step_its_full_time() -> None:
    """SIGKILL comes 3.7 s after SIGTERM."""
    schedule = ShutdownSchedule.of(3000.0)
    assert schedule.migrate_from == pytest.approx(2.0)
    assert schedule.migrate_for == pytest.approx(0.9)
    assert schedule.answer_by == pytest.approx(3.3)
    assert schedule.exit_by == pytest.approx(3.5)


def test_a_deadline_over_three_seconds_counts_as_three() -> None:
    assert ShutdownSchedule.of(8000.0) == ShutdownSchedule.of(3000.0)


def test_short_deadlines_begin_to_migrate_once_new_connections_cease_to_come() -> None:
    """SIGKILL comes 1.8 s after SIGTERM; the margins shrink to a fifth of that."""
    schedule = ShutdownSchedule.of(1100.0)
    assert schedule.migrate_from == pytest.approx(0.5)
    assert schedule.migrate_for == pytest.approx(0.58)
    assert schedule.answer_by == pytest.approx(1.44)
    assert schedule.exit_by == pytest.approx(1.62)


def test_very_short_deadlines_migrate_in_the_second_half_of_what_time_there_is() -> None:
    """SIGKILL comes 0.75 s after SIGTERM."""
    schedule = ShutdownSchedule.of(50.0)
    assert schedule.migrate_from == pytest.approx(0.225)
    assert schedule.migrate_for == pytest.approx(0.225)
    assert schedule.answer_by == pytest.approx(0.6)
    assert schedule.exit_by == pytest.approx(0.675)
