"""The QUIC frontend: forwards QUIC connections (RFC 9000) over UDP without terminating them.

QUIC packets are encrypted, so the balancer reads only what is in the clear: the packet headers with their
connection ids. A client's first Initial packet becomes a request, and the engine chooses the server. Later
packets are routed by connection id: each server issues ids that contain its server id (the IETF's QUIC-LB
draft). A client may therefore change its address, and any balancer can forward a connection that another one
placed. The frontend is off unless `deploy/quic.toml` exists.

One task serves one connection. Control flow, from the outside in:

- `frontend` reads client datagrams and finds the connection of each, or the server that its id names.
- `connection` implements the lifetime of one connection: handshake, relay, rejection.
- `handshake` forwards the client's first packets to one server after another until one answers.
- `relay` forwards packets in both directions until the connection has ended.

Shared parts:

- `listening_sockets` opens the sockets on which clients' datagrams arrive.
- `connection_context` holds what all connections of a frontend share, `connection_state` what the stages of
  one connection share.
- `connection_table` finds a connection by its connection ids.
- `connection_admission` limits the number of connections, in all and for each address.
- `server_paths` holds one socket to the server for each address of the client.
- `activity` infers from the traffic when a connection has ended.
- `drop_counters` counts and logs what was not forwarded.

Formats, without I/O: `packet` (headers), `connection_id`, `initial_packet`, `initial_keys`, `frames`,
`datagram_reader`. `settings` reads the configuration file; `errors` defines the exceptions.

Modules that build or decrypt Initial packets need the package cryptography; `settings` does not.
"""
