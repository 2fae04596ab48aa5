"""The engine: runs the policy for any frontend, with its clock, timers and mailboxes.

The policy decides and does no I/O. The engine passes it events and carries out the actions that it returns.
The engine handles no sockets and no protocol, so all frontends can share one engine.

Layers, from the top:

- `engine`: `Engine`, owns the policy, passes it events and carries out its actions.
- `request_handle`: `RequestHandle`, one request, as seen by the frontend task that serves it.
- `connection_migration`: migrates open connections at an even rate over a period.
- `latency_monitor`: `LatencyMonitor`, measures the message latency of each endpoint.
- `timer_queue`: `TimerQueue`, the policy's timers.
- `load_signal`: `LoadSignalClassifier`, distinguishes loads from message latencies.
- `errors`: `EngineError` and its subclasses.
"""
