"""A simulation of a fleet in virtual time: the real balancing policy, before models of everything else.

It answers what a change does at sizes that no loopback interface can hold. Every balancer is a
`walkloom.balancer.Balancer` that receives the events that the engine would pass to it; the network, the
servers, endpoint discovery and the clients are models. Every random value comes from a numpy generator made
from the seed, so that a run is reproducible to the byte.

From the top:

    runner               runs one experiment, or several in processes of their own
    simulator            wires the models together and schedules the faults of an experiment
    request_lifecycle    requests of clients: attempts, established connections, migrations, reconnects
    balancer_pool        the balancers, and the events that they are notified of
    server_pool          the model servers: load, capacity, load reports
    service_monitor      samples the service that clients get
    workload             draws the clients of a run
    rule_checker         the balancers' rules, checked on every action
    event_queue          the virtual clock
    models, experiment, result    the values that they share

The model leaves out sockets and their limits, the CPU time of a balancer, lost packets, and the connection
setups per second of a load report (reported as 0; the policy reads load and connections). Zones, affinity
groups and restarts of balancers are in `walkloom.lab.rollout`.
"""

from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.result import RequestResult, Result, RuleViolation
from walkloom.lab.simulator.runner import run, run_all
from walkloom.lab.simulator.simulator import Simulator

__all__ = ["Experiment", "RequestResult", "Result", "RuleViolation", "Simulator", "run", "run_all"]
