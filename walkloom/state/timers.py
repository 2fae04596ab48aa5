"""The timers that the policy starts, distinguished by their tokens."""

from enum import IntEnum


class TimerToken(IntEnum):
    """What is due when the timer fires."""

    HELD_REQUESTS = 1
    WATCH = 2
    DRAIN = 3
    LOAD_REPORTS = 4
