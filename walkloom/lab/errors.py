"""Errors of the laboratory."""

from __future__ import annotations


class LabError(Exception):
    """The laboratory could not be set up; the message names the cause."""
