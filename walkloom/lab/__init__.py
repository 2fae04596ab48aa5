"""The laboratory: stub servers and stub discovery on loopback, fault injection, and simulations.

    fleet                stub discovery, stub servers and the real balancers that use them
    balancers            handles for those balancers, in this process or in processes of their own
    stub_server          a tile server that follows the platform's line protocol and can inject faults
    server_capacity      the capacity model of a stub server
    stub_discovery       the registry that balancers watch, with delays and outages
    registry             the endpoint list that the stub discovery serves
    invariant_checker    checks the balancers' rules on the traffic that stub servers observe
    settings             the platform's configuration of a balancer, generated for a fleet
    load                 open-loop load against any balancer
    demo                 a small fleet shown on a terminal
    simulator, rollout   fleets of any size in virtual time

The package is part of the product: tests, benchmarks and demonstrations use it. A balancer process does not
import it. docs/lab.md describes the design.
"""

from walkloom.lab.errors import LabError
from walkloom.lab.fault import Fault
from walkloom.lab.fleet import Fleet
from walkloom.lab.invariant_checker import InvariantChecker
from walkloom.lab.stub_discovery import StubDiscovery
from walkloom.lab.stub_server import StubServer

__all__ = ["Fault", "Fleet", "InvariantChecker", "LabError", "StubDiscovery", "StubServer"]
