"""Events and actions of the simulator's wire that are not messages of the policy.

The host handles InstanceStarted and InstanceStopped. The others complete the set of records that the wire's
specification defines.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from walkloom.messages import Action, EndpointId, Event, RequestId


class InstanceStarted(NamedTuple):
    """Event `Attach`: a balancer starts, with an empty state."""

    # Seed of its random numbers (`rng-seed`).
    seed: int

    # Its settings (`profile-data`): path=value lines.
    settings_text: str


class InstanceStopped(NamedTuple):
    """Event `Halt`: a balancer has stopped; its state is discarded."""


class PeerMessageReceived(NamedTuple):
    """Event `Memo`: another balancer sent a message. The policy does not use it."""

    # Number of the sending balancer (`who`).
    sender: int

    # Content of the message (`msg`).
    data: bytes


class CancelAttempt(NamedTuple):
    """Action `Revoke`: stop waiting for one attempt. The policy never uses it."""

    # The request that the attempt is for (`txn`).
    request_id: RequestId

    # Number of the attempt, counted from 0 for each request (`send-no`).
    attempt: int


class CloseIdleConnections(NamedTuple):
    """Action `LetGo`: close the idle connections to an endpoint. The policy never uses it."""

    # The endpoint of these connections (`server`).
    endpoint_id: EndpointId


class SendPeerMessage(NamedTuple):
    """Action `Tell`: send a message of up to 256 bytes to other balancers. The policy never uses it."""

    # Number of the receiving balancer (`peer`); None: all.
    peer: int | None

    # Content of the message (`msg`).
    data: bytes


class FetchEndpointList(NamedTuple):
    """Action `ReadList`: fetch the complete endpoint list once. The policy never uses it."""


WireEvent: TypeAlias = Event | PeerMessageReceived | InstanceStarted | InstanceStopped
WireAction: TypeAlias = Action | CancelAttempt | CloseIdleConnections | SendPeerMessage | FetchEndpointList
