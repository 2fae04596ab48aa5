"""When this process started, on the monotonic clock; to be imported before what takes long to load."""

import time

STARTED_AT = time.monotonic()


def age_s() -> float:
    """Return for how long the process has run, s, but for the interpreter's own start."""
    return time.monotonic() - STARTED_AT
