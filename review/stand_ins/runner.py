"""Runs a case and turns its end into the exit status."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Callable, Coroutine

COULD_NOT_RUN = 2


def run_case(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Run a case and exit with its status; any error of the case itself, and SIGTERM, give COULD_NOT_RUN.

    The case ends its processes in both events, as its tasks are cancelled.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        status = asyncio.run(main())
    except Exception:  # noqa: BLE001 - status 1 is for a broken rule alone
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.exit(status)
