"""What all TCP parts share.

- `address` names the form of a socket address.
- `line_stream` reads and writes lines over one TCP stream.
- `descriptor_limit` shares the process's descriptors among connections.
- `rate_limited_log` logs what may come by the thousand.
"""
