"""Errors of the simulator's wire.

SimulatorError
├── WireError       a frame that does not follow the wire
└── SettingsError   settings that lack a key or hold an invalid value
"""

from __future__ import annotations


class SimulatorError(ValueError):
    """Base class; the text is one line for the operator."""


class WireError(SimulatorError):
    """A frame that does not follow the wire; the text names the problem and its place."""


class SettingsError(SimulatorError):
    """Settings that lack a key (`problem` is None) or hold an invalid value.

    `key` is the path in the wire's form of the settings.
    """

    def __init__(self, key: str, problem: str | None = None) -> None:
        super().__init__(f"settings key {key}: {problem}" if problem else f"settings lack the key {key}")
        self.key = key
