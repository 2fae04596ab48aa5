"""Errors of load reports.

LoadReportError
├── MalformedLoadReportError    a PONG with values that are not numbers in the valid range
└── UnexpectedResponseError     a response that is neither PONG nor ERR

They are written to the field `error` of the log event `load_report_failed`.
"""

from __future__ import annotations


class LoadReportError(ValueError):
    """A response to a poll that is not a load report."""

    def __init__(self, message: str, line: bytes) -> None:
        super().__init__(message)
        self.line = line


class MalformedLoadReportError(LoadReportError):
    """A PONG with values that are not numbers in the valid range."""


class UnexpectedResponseError(LoadReportError):
    """A response that is neither PONG nor ERR."""
