"""The faults that a stub server can be put in."""

from __future__ import annotations

from enum import Enum


class Fault(Enum):
    """What a stub server does instead of its work."""

    NONE = "none"
    AT_CAPACITY = "at capacity"  # answers BUSY
    FAILING = "failing"  # answers ERR
    RESETTING = "resetting"  # resets the connection instead of an answer
    SILENT = "silent"  # never answers
    TRICKLING = "trickling"  # sends a byte of an answer now and then, never a whole line
