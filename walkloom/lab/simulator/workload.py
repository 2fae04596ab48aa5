"""Draws the clients of a run before it starts."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from walkloom.lab.settings import CLASSES, TENANTS
from walkloom.lab.simulator.event_queue import START_TIME_MS
from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.models import ModelClient

# Shape of the gamma distribution of connection loads: the standard deviation is half of the mean
LOAD_GAMMA_SHAPE = 4.0


def draw_loads(experiment: Experiment, random: np.random.Generator, count: int) -> np.ndarray:
    """Draw connection loads with a mean of 1 / `server_capacity`."""
    return random.gamma(LOAD_GAMMA_SHAPE, 1 / LOAD_GAMMA_SHAPE / experiment.server_capacity, count)


def draw_lifetimes_ms(experiment: Experiment, random: np.random.Generator, count: int) -> np.ndarray:
    """Draw exponentially distributed lifetimes of connections."""
    return random.exponential(experiment.mean_lifetime_s * 1000.0, count)


def draw_clients(experiment: Experiment, random: np.random.Generator) -> Iterator[tuple[float, ModelClient]]:
    """Yield the arrival time (Unix ms) and the client of each connection. Arrivals are a Poisson process."""
    connections_per_s = experiment.connection_rate_per_server * experiment.server_count
    count = int(random.poisson(connections_per_s * experiment.duration_s))
    end_time_ms = START_TIME_MS + experiment.duration_s * 1000.0
    arrival_times_ms = np.sort(random.uniform(START_TIME_MS, end_time_ms, count))
    lifetimes_ms = draw_lifetimes_ms(experiment, random, count)
    loads = draw_loads(experiment, random, count)
    request_classes = random.choice(len(CLASSES), count, p=[each.share for each in CLASSES])
    tenants = random.integers(len(TENANTS), size=count)
    for n in range(count):
        arrives_at_ms = float(arrival_times_ms[n])
        yield (
            arrives_at_ms,
            ModelClient(
                request_class=int(request_classes[n]),
                tenant=int(tenants[n]),
                load=float(loads[n]),
                wanted_until_ms=arrives_at_ms + float(lifetimes_ms[n]),
            ),
        )
