"""walkloom: placement decisions for long-lived connections."""

from walkloom.balancer import Balancer

__all__ = ["Balancer"]
