"""Shared parts of all code that uses TCP.

- `address` defines the type of a socket address.
- `line_stream` reads and writes lines over one TCP stream.
- `descriptor_limit` divides the process's descriptors among connections.
- `rate_limited_log` logs events that may occur thousands of times a second.
"""
