"""Errors of load reports.

LoadReportError
├── MalformedLoadReportError    a PONG whose figures are not numbers in the range of a load
└── UnexpectedResponseError     a response that is neither PONG nor ERR

Their texts are the `error` of the log event `load_report_failed`.
"""

from __future__ import annotations


class LoadReportError(ValueError):
    """A response to a poll that is no load report."""

    def __init__(self, message: str, line: bytes) -> None:
        super().__init__(message)
        self.line = line


class MalformedLoadReportError(LoadReportError):
    """A PONG whose figures are not numbers in the range of a load."""


class UnexpectedResponseError(LoadReportError):
    """A response that is neither PONG nor ERR."""
