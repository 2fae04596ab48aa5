"""What the simulator's wire carries beyond the policy's own messages.

Of these the program handles InstanceStarted and InstanceStopped; the others are there because the wire's page
has records for them.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from walkloom.messages import Action, EndpointId, Event, RequestId


class InstanceStarted(NamedTuple):
    """Event `Attach`: a balancer starts, with nothing known."""

    # For its random numbers (`rng-seed`).
    seed: int

    # Its settings (`profile-data`): path=value lines.
    settings_text: str


class InstanceStopped(NamedTuple):
    """Event `Halt`: a balancer has ended; all that it held is void."""


class PeerMessageReceived(NamedTuple):
    """Event `Memo`: bytes came from another balancer. The policy takes none."""

    # Number of the balancer (`who`).
    sender: int

    # What was sent (`msg`).
    data: bytes


class CancelAttempt(NamedTuple):
    """Action `Revoke`: end the wait for one attempt. The policy never asks for it."""

    # The request that the attempt is for (`txn`).
    request_id: RequestId

    # Number of the attempt, from 0 for each request (`send-no`).
    attempt: int


class CloseIdleConnections(NamedTuple):
    """Action `LetGo`: close the idle connections to an endpoint. The policy never asks for it."""

    # The endpoint to which they are open (`server`).
    endpoint_id: EndpointId


class SendPeerMessage(NamedTuple):
    """Action `Tell`: send up to 256 bytes to other balancers. The policy never asks for it."""

    # Number of the balancer (`peer`); None: all.
    peer: int | None

    # What is sent (`msg`).
    data: bytes


class FetchEndpointList(NamedTuple):
    """Action `ReadList`: ask once for the complete endpoint list. The policy never asks for it."""


WireEvent: TypeAlias = Event | PeerMessageReceived | InstanceStarted | InstanceStopped
WireAction: TypeAlias = Action | CancelAttempt | CloseIdleConnections | SendPeerMessage | FetchEndpointList
