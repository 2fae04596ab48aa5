"""Loaded by the interpreter of a soaked balancer: steps its wall clock by what a file says.

It stands on that process's PYTHONPATH alone. The monotonic clock stays as it is.
"""

import os
import time

_PATH = os.environ.get("SOAK_WALL_CLOCK", "")
_real_time = time.time


def _stepped_time() -> float:
    try:
        with open(_PATH, encoding="ascii") as file:
            return _real_time() + float(file.read() or 0.0)
    except (OSError, ValueError):
        return _real_time()


if _PATH:
    time.time = _stepped_time
