"""The exceptions of the line frontend.

LineFrontendError
└── RequestLineError

A line over the protocol's length limit raises `walkloom.transport.line_stream.LineError`: either side may
send one.
"""

from __future__ import annotations


class LineFrontendError(Exception):
    """Base class of all errors that this package raises."""


class RequestLineError(LineFrontendError, ValueError):
    """A request line that no client of the platform sends; its client is answered `ERR`.

    The text says what is wrong, in one line for the log.
    """

    def __init__(self, reason: str, *, field: str | None = None, value: str | None = None) -> None:
        """Name the offending field by its key on the wire, and its value; None if no one field is."""
        super().__init__(reason)
        self.field = field
        self.value = value
