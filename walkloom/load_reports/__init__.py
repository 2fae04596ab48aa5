"""Load reports: polls endpoints for their load when the policy requests it.

Layers, from the top:

- `poller` receives the policy's requests and runs one task for each endpoint that is polled.
- `connection` is the connection of one such task.
- `codec` decodes the line of a response to a load report.
- `errors` defines the errors of a response.
"""
