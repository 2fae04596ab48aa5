"""Writes the log to standard error without blocking.

Logging must not delay requests. A line that cannot be written at once (the reader of the pipe stalls or has
exited, the disk is full) is dropped and counted. The next line that can be written is preceded by
`log_lines_dropped`.
"""

from __future__ import annotations

import logging
import os
import stat
from contextlib import suppress

LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"

# A write of up to this size to a pipe succeeds or fails as a whole (PIPE_BUF of POSIX, on Linux).
MAX_CHUNK_BYTES = 4096


class NonBlockingLogHandler(logging.Handler):
    """Writes each record to a descriptor, or drops it if the write would block or fails."""

    def __init__(self, descriptor: int) -> None:
        """Write to the file of a descriptor.

        A pipe is reopened in non-blocking mode. The given descriptor, which other processes may share, keeps
        its own mode.
        """
        super().__init__()
        self._descriptor = _open_non_blocking(descriptor)
        self._dropped = 0
        self.setFormatter(logging.Formatter(LOG_FORMAT))

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; never raises and never blocks."""
        try:
            line = self.format(record) + "\n"
        except Exception:  # noqa: BLE001 - no fault in a log line may end a request
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
        """Return whether all data was written; data longer than one chunk may be cut off."""
        with suppress(OSError):
            for start in range(0, len(data), MAX_CHUNK_BYTES):
                os.write(self._descriptor, data[start : start + MAX_CHUNK_BYTES])
            return True
        return False


def _open_non_blocking(descriptor: int) -> int:
    """Return a non-blocking descriptor for the same pipe; a descriptor of anything else is returned as is."""
    try:
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return descriptor
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        # Not every system has /proc, and a pipe without a reader cannot be opened; its writes fail at once.
        return descriptor
