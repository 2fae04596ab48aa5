"""The demonstration: a small fleet on loopback through a drain and a crash."""

from walkloom.lab.demo.scenario import Demo, View, summary

__all__ = ["Demo", "View", "summary"]
