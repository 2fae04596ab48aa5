"""The demonstration: a small fleet on loopback through a drain and a crash.

scenario    plays it
view        what a screen shows of it, and its closing summary
"""

from walkloom.lab.demo.scenario import Demo
from walkloom.lab.demo.view import DemoView, summary

__all__ = ["Demo", "DemoView", "summary"]
