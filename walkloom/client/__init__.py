"""The client library of walkloom's balancers.

It keeps the deadline of each request class, marks retries, applies the retry-after time of a rejection to
the whole class, and paces reconnects after a drain. Layers, from the top:

    on_trio, on_asyncio, blocking     Client and Session for each kind of event loop; sockets and clocks
    driver                            the code that all event loops share
    core                              the interface for drivers; no I/O in this layer and below
    attempt_scheduler, attempts       requests that wait, attempts in flight and their outcome
    established, reconnects           sessions with a connection, and sessions that reconnect
    request_results                   the one result of each request
    context, session, commands        shared state, the state of one session, commands for the driver
    admission, balancer_pool          the admission gate of a class; the choice of a balancer
    retry_budget, reconnect_pacer     the limit on retries; the times of reconnects
    request_class, timer_queue        the queue of a class; the timers of all sessions
    wire                              the lines of the protocol
    settings, errors, metrics         the public settings, exceptions and metrics

Import the client by `from walkloom.client.on_asyncio import Client` (or `on_trio`, `blocking`). All other
public names are in this package. The library imports nothing of the balancer. docs/client.md has the design
and the user guide.
"""

from walkloom.client.errors import (
    ClientError,
    Failed,
    Interrupted,
    InvalidArgumentError,
    ProtocolError,
    Refused,
    Rejected,
    TimedOut,
    TooMany,
)
from walkloom.client.metrics import Counters, Figures, Spread
from walkloom.client.settings import ClassPolicy, Limits

__all__ = [
    "ClassPolicy",
    "ClientError",
    "Counters",
    "Failed",
    "Figures",
    "Interrupted",
    "InvalidArgumentError",
    "Limits",
    "ProtocolError",
    "Refused",
    "Rejected",
    "Spread",
    "TimedOut",
    "TooMany",
]
