"""Input and output of the policy, as plain values without behaviour.

- `settings`: the configuration, passed once at start-up
- `events`: the input
- `actions`: the output, which the caller carries out
- `identifiers`: types that identify endpoints, requests and clients

Times are milliseconds of one clock: Unix time at start-up, advanced by a monotonic clock. Durations are
milliseconds, and their names end in `_ms`.
"""

from walkloom.messages.actions import (
    Action,
    AnswerReason,
    Fail,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    StartAttempt,
    StartTimer,
    WatchEndpointList,
)
from walkloom.messages.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    DiscoveryChanged,
    Endpoint,
    EndpointListUpdate,
    Event,
    Lifecycle,
    ListFailure,
    LoadReportReceived,
    Request,
    ShutdownStarted,
    SignalKind,
    TimerFired,
    UpdateKind,
)
from walkloom.messages.identifiers import AffinityGroup, ClientKey, EndpointId, RequestId
from walkloom.messages.settings import DeduplicationScope, Idempotency, RequestClass, Settings

__all__ = [
    "NEVER_RAN",
    "Action",
    "AffinityGroup",
    "AnswerReason",
    "AttemptEnded",
    "AttemptEstablished",
    "AttemptStatus",
    "ClientDisconnected",
    "ClientKey",
    "ConnectionAdopted",
    "ConnectionSignal",
    "DeduplicationScope",
    "DiscoveryChanged",
    "Endpoint",
    "EndpointId",
    "EndpointListUpdate",
    "Event",
    "Fail",
    "Idempotency",
    "Lifecycle",
    "ListFailure",
    "LoadReportReceived",
    "LogMessage",
    "MigrateConnection",
    "PollLoadReport",
    "Reject",
    "Request",
    "RequestClass",
    "RequestId",
    "Settings",
    "ShutdownStarted",
    "SignalKind",
    "StartAttempt",
    "StartTimer",
    "TimerFired",
    "UpdateKind",
    "WatchEndpointList",
]
