"""The platform's line protocol over TCP: clients on one side, servers on the other.

A client opens a connection with one request line (`OPEN ...`) and waits. The frontend has the engine choose a
server, repeats the request line there, and relays lines both ways until either side ends, the server falls
silent, or the balancer migrates the client. For each request line exactly one final answer goes out: the
server's `UP` line, `BUSY` (rejected, a retry is harmless) or `ERR` (failed). All formats and time limits come
from the platform's page "Protocol".

One task serves one client connection from its start to its end, in these stages, a module each:

1. `listener` accepts client connections and starts a task for each.
2. `request_line` reads the first line and decodes it once into a `RequestLine`.
3. `request_lifecycle` is the path of a request from top to bottom; `serve_connection` calls the other stages.
4. `placement` carries out the engine's commands, one attempt after another.
5. `upstream` makes one attempt at one server, and maps what comes back to an `AttemptStatus`.
6. `relay` passes lines on in both directions.
7. `connection_shutdown` ends client connections, one by one or all at a shutdown.

`errors` holds the exceptions of the package. Decisions are made by the policy, behind the engine, and none
here. Descriptors, line streams and logs of frequent events come from `walkloom.transport`.
"""
