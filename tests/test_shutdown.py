"""The schedule of a graceful shutdown."""

from __future__ import annotations

import pytest

from walkloom.shutdown import ShutdownSchedule


def test_with_long_deadlines_every_step_has_its_full_time() -> None:
    """SIGKILL comes 3.7 s after SIGTERM."""
    schedule = ShutdownSchedule.for_longest_deadline(3000.0)
    assert schedule.migration_starts_after_s == pytest.approx(2.0)
    assert schedule.migration_duration_s == pytest.approx(0.9)
    assert schedule.final_answers_after_s == pytest.approx(3.3)
    assert schedule.process_ends_after_s == pytest.approx(3.5)


def test_a_deadline_over_three_seconds_counts_as_three_seconds() -> None:
    assert ShutdownSchedule.for_longest_deadline(8000.0) == ShutdownSchedule.for_longest_deadline(3000.0)


def test_with_short_deadlines_migration_starts_after_the_last_new_connections() -> None:
    """SIGKILL comes 1.8 s after SIGTERM; the margins shrink to a fifth of that."""
    schedule = ShutdownSchedule.for_longest_deadline(1100.0)
    assert schedule.migration_starts_after_s == pytest.approx(0.5)
    assert schedule.migration_duration_s == pytest.approx(0.58)
    assert schedule.final_answers_after_s == pytest.approx(1.44)
    assert schedule.process_ends_after_s == pytest.approx(1.62)


def test_with_very_short_deadlines_migration_takes_the_second_half_of_the_available_time() -> None:
    """SIGKILL comes 0.75 s after SIGTERM."""
    schedule = ShutdownSchedule.for_longest_deadline(50.0)
    assert schedule.migration_starts_after_s == pytest.approx(0.225)
    assert schedule.migration_duration_s == pytest.approx(0.225)
    assert schedule.final_answers_after_s == pytest.approx(0.6)
    assert schedule.process_ends_after_s == pytest.approx(0.675)
