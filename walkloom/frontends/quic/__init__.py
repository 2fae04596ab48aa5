"""The QUIC frontend: it forwards QUIC connections (RFC 9000) over UDP and terminates none.

A balancer in front of QUIC sees encrypted packets. It reads only what is in the clear: the headers, and in
them the connection ids. A client's first Initial packet becomes a request; the engine chooses the server.
From then on packets go by connection id: the servers give ids that name them (the IETF's QUIC-LB draft), so
that a client may change its address, and any balancer can forward a connection that another one placed. The
frontend is off unless `deploy/quic.toml` is there.

One task serves one connection. From the top:

- `frontend` reads datagrams from clients and finds for each the connection, or the server that its id names.
- `connection` is the life of one connection: handshake, relay, refusal.
- `handshake` forwards the client's first packets to one server after another until one answers.
- `relay` passes packets in both directions until the connection has ended.

What these share:

- `connection_context` is what all connections of a frontend share, `connection_state` what the stages of one
  connection share.
- `connection_table` finds a connection by its ids and limits their number.
- `server_paths` holds a socket to the server for each address of the client.
- `activity` says from the traffic when a connection has ended.
- `drop_counters` counts what was not forwarded, and logs it.

Formats, without I/O: `packet` (headers), `connection_id`, `initial_packet`, `initial_keys`, `frames`,
`datagram_reader`. `settings` reads the operator's file; `errors` holds the exceptions.

Modules that build or open Initial packets need the package cryptography; `settings` does without.
"""
