"""The platform's line protocol over TCP: clients on one side, servers on the other.

A client opens a connection with one request line (`OPEN ...`) and waits. The frontend asks the engine
for a server, forwards the request line to it, and relays lines in both directions until either side ends the
connection, the server falls silent, or the balancer migrates the client. Each request line gets exactly one
final answer: the server's `UP` line, `BUSY` (rejected, safe to retry) or `ERR` (failed). All formats and time
limits are defined by the platform's page "Protocol".

One task serves one client connection from start to end. Each of its stages is a module:

1. `listener` accepts client connections and starts a task for each.
2. `request_line` reads the first line and decodes it into a `RequestLine`.
3. `request_lifecycle` handles a request from start to end; its `serve_connection` calls the other stages.
4. `placement` carries out the engine's commands, one attempt at a time.
5. `upstream` makes one attempt on one server, and maps the server's answer to an `AttemptStatus`.
6. `relay` forwards lines in both directions.
7. `connection_shutdown` ends client connections, one by one or all of them at a shutdown.

`errors` holds the exceptions of the package. All placement decisions are made by the policy, behind the
engine. Descriptor limits, line streams and rate-limited logs come from `walkloom.transport`.
"""
