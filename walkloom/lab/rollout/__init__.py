"""A simulated release: servers are replaced in steps while the balancers restart by tenths.

Built on `walkloom.lab.simulator`, with what such a day needs beside it: zones, affinity groups that need
capacity at every server that holds one of their connections, load reports that come late, cold servers and
the count of attempts that overloads one (rule 4), servers that hang. It measures the pairs of server and
group, whose cost a fleet bears and no single balancer sees.

    simulator        wires the models together and schedules the release
    server_pool      servers that start cold, need capacity for each affinity group, and may hang
    balancer_pool    balancers in zones, some of them shutting down
    monitor          samples of the service, and the backlog of overloaded servers
    experiment       what is played and what was measured
"""

from walkloom.lab.rollout.experiment import Rollout, RolloutResult
from walkloom.lab.rollout.simulator import RolloutSimulator, run

__all__ = ["Rollout", "RolloutResult", "RolloutSimulator", "run"]
