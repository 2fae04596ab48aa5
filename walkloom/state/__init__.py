"""What a balancer knows: records and arithmetic that decide nothing, do no I/O and hold no tuned threshold.

`endpoint` is what is known of one server, `request` of one request, `rendezvous_hash` ranks servers for a
group alike at all balancers. What is decided from them is in the decision module.
"""

from walkloom.state.endpoint import EndpointState
from walkloom.state.rendezvous_hash import EndpointPool, split_by_zone
from walkloom.state.request import RequestState

__all__ = ["EndpointPool", "EndpointState", "RequestState", "split_by_zone"]
