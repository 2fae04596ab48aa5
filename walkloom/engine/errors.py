"""Errors of the engine.

EngineError
└── LoadSignalError   an endpoint reported a load that no connection can have
"""

from __future__ import annotations


class EngineError(Exception):
    """Base class of every error that this package raises."""


class LoadSignalError(EngineError, ValueError):
    """An endpoint reported a load that is negative, not finite, or more than any machine can do.

    `value` is the number that it reported.
    """

    def __init__(self, value: float) -> None:
        super().__init__(f"no load: {value}")
        self.value = value
