"""Stage 0: listens, and gives every client connection a task of its own."""

from __future__ import annotations

import errno
import logging
from contextlib import suppress

import trio

from walkloom.config import ConfigError
from walkloom.frontends.line.request_lifecycle import LineFrontend, serve_connection
from walkloom.transport.line_stream import LineStream
from walkloom.transport.rate_limited_log import RateLimitedLog

log = logging.getLogger("walkloom")
# guards the listener: no descriptor is free, and one soon will be
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORT_PAUSE_S = 0.02


async def accept(
    frontend: LineFrontend, address: tuple[str, int], task_status: trio.TaskStatus[list[trio.SocketListener]]
) -> None:
    """Serves until cancelled."""

    async def serve(stream: trio.SocketStream) -> None:
        client = LineStream(stream)
        try:
            await serve_connection(frontend, client)
        except Exception:  # guards the program: an exception ends its RPC only
            log.exception("rpc-crashed")
        finally:
            await client.close()

    failed = RateLimitedLog("accept-failed")
    try:
        listeners = await trio.open_tcp_listeners(address[1], host=address[0])
    except OSError as error:
        raise ConfigError(f"listen {address[0]}:{address[1]}: {error}") from None
    async with trio.open_nursery() as nursery:
        task_status.started(listeners)
        with frontend.connection_shutdown.accepting:
            while True:
                try:
                    stream = await listeners[0].accept()
                except OSError as error:  # guards the program: it concerns one client, or passes
                    failed.count(str(error))
                    if error.errno in SHORT:
                        frontend.descriptor_limit.reclaim_oldest()
                    await trio.sleep(SHORT_PAUSE_S)
                else:
                    nursery.start_soon(serve, stream)
        # guards clients that came in time: with the listener, those that wait to be accepted are reset
        with suppress(OSError):
            while listeners[0].socket.is_readable():
                nursery.start_soon(serve, await listeners[0].accept())
        await listeners[0].aclose()
        frontend.connection_shutdown.accepted.set()
