"""The clients of a run, drawn before it starts."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from walkloom.lab.settings import CLASSES, TENANTS
from walkloom.lab.simulator.event_queue import START_MS
from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.models import ModelClient

LOAD_SHAPE = 4.0  # of the gamma distribution of a connection's load: its standard deviation is half its mean


def draw_loads(experiment: Experiment, random: np.random.Generator, count: int) -> np.ndarray:
    """Draw loads whose mean is one connection in `server_capacity`."""
    return random.gamma(LOAD_SHAPE, 1 / LOAD_SHAPE / experiment.server_capacity, count)


def draw_lifetimes_ms(experiment: Experiment, random: np.random.Generator, count: int) -> np.ndarray:
    """Draw exponential lifetimes of connections."""
    return random.exponential(experiment.mean_lifetime_s * 1000.0, count)


def draw_clients(experiment: Experiment, random: np.random.Generator) -> Iterator[tuple[float, ModelClient]]:
    """Yield the arrival time in ms and the client of each connection, a Poisson process."""
    rate = experiment.connection_rate_per_server * experiment.server_count
    count = int(random.poisson(rate * experiment.duration_s))
    end_ms = START_MS + experiment.duration_s * 1000.0
    arrivals_ms = np.sort(random.uniform(START_MS, end_ms, count))
    lifetimes_ms = draw_lifetimes_ms(experiment, random, count)
    loads = draw_loads(experiment, random, count)
    request_classes = random.choice(len(CLASSES), count, p=[each.share for each in CLASSES])
    tenants = random.integers(len(TENANTS), size=count)
    for n in range(count):
        arrival_ms = float(arrivals_ms[n])
        yield (
            arrival_ms,
            ModelClient(
                request_class=int(request_classes[n]),
                tenant=int(tenants[n]),
                load=float(loads[n]),
                wanted_until_ms=arrival_ms + float(lifetimes_ms[n]),
            ),
        )
