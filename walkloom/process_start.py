"""Start time of this process on the monotonic clock; import this before modules that are slow to load."""

import time

STARTED_AT = time.monotonic()


def age_s() -> float:
    """Return the age of the process, s, without the start-up time of the interpreter."""
    return time.monotonic() - STARTED_AT
