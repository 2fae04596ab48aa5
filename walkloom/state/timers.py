"""Tokens that distinguish the timers of the policy."""

from enum import IntEnum


class TimerToken(IntEnum):
    """The task that is due when the timer fires."""

    HELD_REQUESTS = 1
    WATCH = 2
    DRAIN = 3
    LOAD_REPORTS = 4
