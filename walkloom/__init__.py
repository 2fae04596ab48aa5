"""walkloom: placement decisions for long-lived connections."""

from walkloom.policy import Balancer

__all__ = ["Balancer"]
