"""The decisions of a balancer, used by the real program and on the simulator's wire alike."""

from walkloom.policy.balancer import Balancer

__all__ = ["Balancer"]
