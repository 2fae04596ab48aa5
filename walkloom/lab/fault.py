"""Faults that a stub server can inject."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """How a stub server misbehaves on new connections."""

    NONE = "none"
    AT_CAPACITY = "at capacity"  # answers BUSY
    FAILING = "failing"  # answers ERR
    RESETTING = "resetting"  # resets the connection without an answer
    SILENT = "silent"  # never answers
    TRICKLING = "trickling"  # sends single bytes of an answer at intervals, never a complete line
