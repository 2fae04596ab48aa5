"""The engine: runs the policy for any frontend, with its clock, timers and mailboxes.

The policy decides and does no I/O; the engine hands it events and carries out the actions that it answers
with. The engine knows no socket and no protocol, so that every frontend shares one.

Layers, from the top:

- `engine`: `Engine`, the one owner of the policy; events in, actions out.
- `request_handle`: `RequestHandle`, one request as its frontend task holds it.
- `connection_migration`: migrates open connections, spread evenly over a time.
- `latency_monitor`: `LatencyMonitor`, what messages take at each endpoint.
- `timer_queue`: `TimerQueue`, the policy's timers.
- `load_signal`: `LoadSignalClassifier`, tells a load from a message latency.
- `errors`: `EngineError` and what derives from it.
"""
