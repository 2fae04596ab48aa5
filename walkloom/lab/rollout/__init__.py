"""Simulates a release: servers are replaced in steps while the balancers restart, a tenth at a time.

Extends `walkloom.lab.simulator` with zones, affinity groups that need capacity at every server that holds one
of their connections, delayed load reports, cold servers that too many attempts overload (rule 4), and servers
that hang. It measures the number of pairs of a server and a group: each pair costs capacity of the fleet, and
no single balancer can observe that total.

    simulator        connects the models and schedules the release
    server_pool      servers that start cold, need capacity for each affinity group, and may hang
    balancer_pool    balancers in zones, some of them shutting down
    monitor          samples the service, and simulates the backlog of overloaded servers
    experiment       parameters and measurements
    recovery         servers that come back cold, in steady traffic and under a burst of clients
"""

from walkloom.lab.rollout.experiment import Rollout, RolloutResult
from walkloom.lab.rollout.simulator import RolloutSimulator, run

__all__ = ["Rollout", "RolloutResult", "RolloutSimulator", "run"]
