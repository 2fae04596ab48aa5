"""The exceptions of the line frontend.

LineFrontendError
└── RequestLineError

A line over the protocol's length limit raises `walkloom.transport.line_stream.LineError`: both clients and
servers may send one.
"""

from __future__ import annotations


class LineFrontendError(Exception):
    """Base class of all errors that this package raises."""


class RequestLineError(LineFrontendError, ValueError):
    """A request line that no client of the platform sends; the client is answered `ERR`.

    The message is one line for the log.
    """

    def __init__(self, reason: str, *, field: str | None = None, value: str | None = None) -> None:
        """`field` is the wire key of the invalid field, `value` its value; None if it is no single field."""
        super().__init__(reason)
        self.field = field
        self.value = value
