"""The client library of walkloom's balancers.

It keeps the deadline of each request class, marks retries, honours Retry-After for the whole class, and paces
reconnects after a drain. Layers, from the top:

    on_trio, on_asyncio, blocking     Client and Session for each kind of event loop; sockets and clocks
    driver                            what the event loops share
    core                              what a driver calls; no I/O from here on
    attempt_scheduler, attempts       requests that wait, attempts in flight and their outcome
    established, reconnects           sessions with a connection, and sessions that reconnect
    request_results                   the one result of each request
    context, session, commands        what these parts share
    admission, balancer_pool          who has to wait, and which balancer is asked
    retry_budget, reconnect_pacer     how many retries, and who reconnects when
    request_class, timer_queue        the queue of a class; the timers of all sessions
    wire                              the lines of the protocol
    settings, errors, metrics         what a user sets, what is raised, what is measured

`from walkloom.client.on_asyncio import Client` (or `on_trio`, `blocking`); the rest is here. Nothing of the
balancer is imported. docs/client.md has the design and a user's page.
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
