"""walkloom's laboratory: stubs of the outside world on loopback, with faults on request, and simulations.

    fleet                stub discovery, stub servers and real balancers round them
    balancers            handles on those balancers, in this process or as processes
    stub_server          a tile server that follows the platform's protocol, and its faults
    server_capacity      what a stub server can do
    stub_discovery       the registry that balancers watch, with delay and outages
    registry             the endpoint list behind it
    invariant_checker    the balancers' rules, checked on what really crossed the sockets
    settings             the platform's configuration of a balancer, made for a fleet
    load                 open-loop load against any balancer
    demo                 a fleet for a screen
    simulator, rollout   fleets of any size in virtual time

It is a part of the product: tests, benchmarks and demonstrations use it. A balancer loads nothing of it.
docs/lab.md has the design.
"""

from walkloom.lab.errors import LabError
from walkloom.lab.fault import Fault
from walkloom.lab.fleet import Fleet
from walkloom.lab.invariant_checker import InvariantChecker
from walkloom.lab.stub_discovery import StubDiscovery
from walkloom.lab.stub_server import StubServer

__all__ = ["Fault", "Fleet", "InvariantChecker", "LabError", "StubDiscovery", "StubServer"]
