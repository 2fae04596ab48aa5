"""walkloom's laboratory: the outside world as stand-ins, on loopback, with failures on request.

    fleet        a discovery, tile servers and real balancers round them, in one process or as processes
    tile         a tile server that follows the platform's protocol, and its troubles
    discovery    the registry that balancers watch, with delay and outages
    ledger       what really crossed the sockets, and the rules checked on it
    settings     the platform's configuration of a balancer, made for a fleet

It is a part of the product: tests, benchmarks and demonstrations stand on it. Nothing of it loads in a
balancer.
docs/lab.md has the design.
"""

from walkloom.lab.fleet import Fleet
from walkloom.lab.invariant_checker import Ledger
from walkloom.lab.stub_discovery import Discovery
from walkloom.lab.stub_server import TileServer, Trouble

__all__ = ["Discovery", "Fleet", "Ledger", "TileServer", "Trouble"]
