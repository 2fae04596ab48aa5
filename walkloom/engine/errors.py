"""Errors of the engine.

EngineError
└── LoadSignalError   an endpoint reported a load that is out of range
"""

from __future__ import annotations


class EngineError(Exception):
    """Base class of every error that this package raises."""


class LoadSignalError(EngineError, ValueError):
    """An endpoint reported a load that is negative, not finite, or more than any machine can perform.

    `value` is the reported number.
    """

    def __init__(self, value: float) -> None:
        super().__init__(f"load out of range: {value}")
        self.value = value
