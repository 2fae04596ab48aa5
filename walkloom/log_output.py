"""Where the log goes: standard error, without ever waiting for whoever reads it.

A log line must not hold up requests. Where a line cannot be written at once (the pipe's reader stalls or is
gone, the disk is full) it is dropped and counted, and the next line that can be written is preceded by
`log_lines_dropped`.
"""

from __future__ import annotations

import logging
import os
import stat
from contextlib import suppress

FORMAT = "%(asctime)s %(levelname)s %(message)s"

# A pipe takes so many bytes whole or not at all (POSIX's PIPE_BUF on Linux).
MAX_CHUNK_BYTES = 4096


class NonBlockingLogHandler(logging.Handler):
    """Writes each record to a descriptor, or drops it."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor of the caller's; a pipe is opened anew, so that others may wait on it."""
        super().__init__()
        self._descriptor = _without_waiting(descriptor)
        self._dropped = 0
        self.setFormatter(logging.Formatter(FORMAT))

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; never raises and never waits."""
        try:
            line = self.format(record) + "\n"
        except Exception:  # noqa: BLE001 - whatever is wrong with a log line must not end a request
            line = f"log_line_malformed {record.msg!r}\n"
        if self._dropped:
            self._report_dropped(record)
        self._dropped += not self._write(line.encode(errors="replace"))

    def _report_dropped(self, record: logging.LogRecord) -> None:
        fields = {"levelname": "WARNING", "created": record.created, "msecs": record.msecs}
        notice = logging.makeLogRecord({**fields, "msg": f"log_lines_dropped count={self._dropped}"})
        if self._write(f"{self.format(notice)}\n".encode()):
            self._dropped = 0

    def _write(self, data: bytes) -> bool:
        """Return whether all was written; a long text that was begun may lose its end."""
        with suppress(OSError):
            for start in range(0, len(data), MAX_CHUNK_BYTES):
                os.write(self._descriptor, data[start : start + MAX_CHUNK_BYTES])
            return True
        return False


def _without_waiting(descriptor: int) -> int:
    """Return a descriptor for the same pipe whose writes never wait; anything else as it is."""
    try:
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return descriptor
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        # Not every system has /proc, and a pipe without a reader cannot be opened: its writes fail at once.
        return descriptor
