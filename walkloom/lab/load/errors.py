"""Errors of the load tool."""

from __future__ import annotations


class LoadError(ValueError):
    """Invalid parameters of a load; the message names the cause."""
