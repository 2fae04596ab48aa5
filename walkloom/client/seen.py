"""Keep the former import path of `walkloom.client.metrics` for one release."""

from walkloom.client.metrics import Counters, Figures, Histogram, Spread

__all__ = ["Counters", "Figures", "Histogram", "Spread"]
