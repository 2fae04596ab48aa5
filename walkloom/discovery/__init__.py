"""Endpoint discovery: keeps the list of endpoints and their addresses up to date.

Layers, from the top:

- `watcher` watches discovery and passes each list to the engine.
- `http_connection` makes the long-poll calls over HTTP.
- `call` classifies the end of a call: queue time, kind of failure; `call_log` counts and logs calls.
- `codec` turns the body of a response into an endpoint list update and addresses.
- `address_book` holds the address of each endpoint.
- `errors` defines the errors of a call.
"""
