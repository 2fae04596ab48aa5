"""The state of a balancer: records and arithmetic without decisions, I/O or policy thresholds.

- `balancer_state`: the state shared by the modules of the policy, from the clock to the actions of an event
- `endpoint_table`, `request_table`: the known endpoints and requests, by id
- `endpoint`, `request`: the state of one endpoint and of one request
- `endpoint_pool`, `stable_hash`: endpoints of one tier, ranked for an affinity group by rendezvous hashing
- `executed_requests`: the requests that may have run, by their clients' ids
- `recent_groups`: the affinity groups of recent requests
- `start_time`: when an endpoint started, derived from the endpoint list
- `load_estimator`: the loads of connections, relative to the mean of the reported loads
- `list_lease`: how long the endpoint list may be used without confirmation
- `timers`: the tokens of the policy's timers
"""

from walkloom.state.balancer_state import BalancerState
from walkloom.state.endpoint import NEVER_HAPPENED, NOT_DRAINING, EndpointState, Placement
from walkloom.state.endpoint_pool import Candidates, EndpointPool, Endpoints, Tier
from walkloom.state.endpoint_table import EndpointTable
from walkloom.state.executed_requests import Execution
from walkloom.state.list_lease import ListLease
from walkloom.state.load_estimator import LoadEstimator
from walkloom.state.request import RequestState
from walkloom.state.request_table import Attempt, RequestTable
from walkloom.state.stable_hash import stable_hash
from walkloom.state.timers import TimerToken

__all__ = [
    "NEVER_HAPPENED",
    "NOT_DRAINING",
    "Attempt",
    "BalancerState",
    "Candidates",
    "EndpointPool",
    "EndpointState",
    "EndpointTable",
    "Endpoints",
    "Execution",
    "ListLease",
    "LoadEstimator",
    "Placement",
    "RequestState",
    "RequestTable",
    "Tier",
    "TimerToken",
    "stable_hash",
]
