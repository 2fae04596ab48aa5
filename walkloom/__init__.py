"""walkloom: placement decisions for long-lived connections."""

from walkloom import process_start
from walkloom.balancer import Balancer

__all__ = ["Balancer", "process_start"]
