"""Simulates a fleet in virtual time: the real balancing policy runs against models of everything else.

It shows the effect of a change on fleets that are too large for the loopback interface of one machine. Every
balancer is a `walkloom.balancer.Balancer` that receives the events that the engine would pass to it; the
network, the servers, endpoint discovery and the clients are models. Every random value comes from a numpy
generator that is created from the seed, so that a run is reproducible to the byte.

Modules, from the top down:

    runner               runs one experiment, or several in separate processes
    simulator            connects the models and schedules the faults of an experiment
    request_lifecycle    requests of clients: attempts, established connections, migrations, reconnects
    balancer_pool        the balancers, and the delivery of events to them
    server_pool          the simulated servers: load, capacity, load reports
    action_handler       carries out the actions of the balancers
    attempts             attempts to establish a connection at a server
    service_monitor      samples the service that clients get
    workload             draws the clients of a run
    rule_checker         checks every attempt against the rules of the balancers
    event_queue          the virtual clock
    models, experiment, result    the data types that the other modules share

The simulation leaves out sockets and their limits, the CPU time of a balancer, lost packets, and the
connection setups per second of a load report (reported as 0; the policy reads load and connections). Zones,
affinity groups and restarts of balancers are in `walkloom.lab.rollout`.
"""

from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.result import RequestResult, Result, RuleViolation
from walkloom.lab.simulator.runner import run, run_all
from walkloom.lab.simulator.simulator import Simulator

__all__ = ["Experiment", "RequestResult", "Result", "RuleViolation", "Simulator", "run", "run_all"]
