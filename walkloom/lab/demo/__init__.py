"""The demonstration: a small fleet on loopback that goes through a drain, a crash and a restart.

scenario    runs the fleet, its clients and the faults
view        the data for the screen, and the closing summary
"""

from walkloom.lab.demo.scenario import Demo
from walkloom.lab.demo.view import DemoView, summary

__all__ = ["Demo", "DemoView", "summary"]
