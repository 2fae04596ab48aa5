"""The errors of the laboratory."""

from __future__ import annotations


class LabError(Exception):
    """The laboratory itself could not be set up; the text says what is missing."""
