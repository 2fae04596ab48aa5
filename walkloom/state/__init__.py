"""What a balancer knows: records and arithmetic that decide nothing, do no I/O and hold no tuned threshold.

- `balancer_state`: all that the parts of the policy share, from the clock to the actions of an event
- `endpoint_table`, `request_table`: the endpoints and the requests that are known, by their ids
- `endpoint`, `request`: what is known of one endpoint and of one request
- `endpoint_pool`, `stable_hash`: endpoints of one tier, ranked for an affinity group by rendezvous hashing
- `start_time`: when an endpoint started, by what the list claims
- `load_estimator`: the loads of connections, relative to the mean of those reported
- `list_lease`: until when the endpoint list may be used
- `timers`: the timers that the policy starts
"""

from walkloom.state.balancer_state import BalancerState
from walkloom.state.endpoint import LONG_AGO, READY, EndpointState, Placement
from walkloom.state.endpoint_pool import Candidates, EndpointPool, Endpoints, Tier
from walkloom.state.endpoint_table import EndpointTable
from walkloom.state.list_lease import ListLease
from walkloom.state.load_estimator import LoadEstimator
from walkloom.state.request import RequestState
from walkloom.state.request_table import Attempt, RequestTable
from walkloom.state.stable_hash import stable_hash
from walkloom.state.timers import TimerToken

__all__ = [
    "LONG_AGO",
    "READY",
    "Attempt",
    "BalancerState",
    "Candidates",
    "EndpointPool",
    "EndpointState",
    "EndpointTable",
    "Endpoints",
    "ListLease",
    "LoadEstimator",
    "Placement",
    "RequestState",
    "RequestTable",
    "Tier",
    "TimerToken",
    "stable_hash",
]
