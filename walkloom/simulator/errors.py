"""What can be wrong with the simulator's wire.

SimulatorError
├── WireError       a frame that does not follow the wire
└── SettingsError   settings that lack a key or hold a wrong value
"""

from __future__ import annotations


class SimulatorError(ValueError):
    """Base class; the text is one line for the staff."""


class WireError(SimulatorError):
    """A frame that does not follow the wire; the text says what is wrong and where."""


class SettingsError(SimulatorError):
    """Settings that lack a key (no `problem`) or hold a wrong value; `key` is named as on the page."""

    def __init__(self, key: str, problem: str | None = None) -> None:
        super().__init__(f"settings key {key}: {problem}" if problem else f"settings lack the key {key}")
        self.key = key
