"""The client library of walkloom's balancers: it keeps each class's deadline, marks its retries, honours a
refusal, and comes back gently after a drain.

Layers, from the top:

    on_trio, on_asyncio, blocking    Client and Session on each kind of loop; sockets and clocks
    core                             all sessions of one client: turns, tries, returns; no I/O
    session                          one session's state machine and lines; no I/O
    admission, balancer_pool         who is held back, whom to ask; no I/O
    retry_budget, reconnect_pacer    how many retries, who reconnects when; no I/O
    wire                             the lines of the protocol
    settings, errors, metrics           what a user sets, what is raised, what was seen

`from walkloom.client.on_asyncio import Client` (or `on_trio`, `blocking`); the rest is here. Nothing of the
balancer is imported. docs/client.md has the design and a user's page.
"""

from walkloom.client.errors import ClientError, Failed, Interrupted, Refused, TimedOut, TooMany
from walkloom.client.metrics import Counters, Figures, Spread
from walkloom.client.settings import ClassPolicy, Limits

__all__ = [
    "ClassPolicy",
    "ClientError",
    "Counters",
    "Failed",
    "Figures",
    "Interrupted",
    "Limits",
    "Refused",
    "Spread",
    "TimedOut",
    "TooMany",
]
