"""Load reports: polls endpoints for their load when the policy asks for it.

Layers, from the top:

- `poller` takes the policy's orders and runs one task for each endpoint that is polled.
- `connection` is the connection of one such task.
- `codec` turns the line of a response into a load report.
- `errors` lists what can be wrong with a response.
"""
