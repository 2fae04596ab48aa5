"""The errors of the load tool."""

from __future__ import annotations


class LoadError(ValueError):
    """A load that makes no sense; the text says what is wrong."""
