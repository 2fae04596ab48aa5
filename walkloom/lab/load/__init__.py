"""The load tool: open-loop load against any balancer, or stub server, by address."""

from walkloom.lab.load.runner import Load, LoadError, Phase, Report, arrivals, play, run

__all__ = ["Load", "LoadError", "Phase", "Report", "arrivals", "play", "run"]
