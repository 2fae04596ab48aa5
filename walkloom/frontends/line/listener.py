"""Stage 1: accept client connections, and start a task for each."""

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

# Errors of accept() that mean that no descriptor or buffer is free. Closing an idle connection frees one.
RESOURCE_EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

# After a failed accept(): long enough to avoid a busy loop, short compared with the clients' timeouts.
ACCEPT_RETRY_DELAY_S = 0.02


async def accept(
    frontend: LineFrontend, address: tuple[str, int], task_status: trio.TaskStatus[list[trio.SocketListener]]
) -> None:
    """Accept and serve client connections until the frontend's `connection_shutdown` cancels the accept loop.

    Returns once the last accepted connection has ended. Raises ConfigError if the address cannot be used.
    """
    listeners = await _open_listeners(address)
    listener = listeners[0]
    async with trio.open_nursery() as nursery:
        task_status.started(listeners)
        with frontend.connection_shutdown.accept_scope:
            await _accept_until_cancelled(frontend, listener, nursery)
        # Closing the listener resets the connections in its queue, so they are accepted first.
        await _accept_queued(frontend, listener, nursery)
        await listener.aclose()
        # The shutdown waits for this before it checks for open connections: now each of them has its task.
        frontend.connection_shutdown.all_accepted.set()


async def _open_listeners(address: tuple[str, int]) -> list[trio.SocketListener]:
    host, port = address
    try:
        return await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        raise ConfigError(f"listen {host}:{port}: {error}") from error


async def _accept_until_cancelled(
    frontend: LineFrontend, listener: trio.SocketListener, nursery: trio.Nursery
) -> None:
    failures = RateLimitedLog("accept_failed")
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            # It affects one client only, or is temporary: in both cases the listener must continue.
            failures.count(str(error))
            if error.errno in RESOURCE_EXHAUSTED_ERRNOS:
                frontend.descriptor_limit.reclaim_oldest()
            await trio.sleep(ACCEPT_RETRY_DELAY_S)
        else:
            nursery.start_soon(_serve_client, frontend, stream)


async def _accept_queued(
    frontend: LineFrontend, listener: trio.SocketListener, nursery: trio.Nursery
) -> None:
    with suppress(OSError):
        while listener.socket.is_readable():
            stream = await listener.accept()
            nursery.start_soon(_serve_client, frontend, stream)


async def _serve_client(frontend: LineFrontend, stream: trio.SocketStream) -> None:
    client = LineStream(stream)
    try:
        await serve_connection(frontend, client)
    except Exception:  # A fault in serving one connection must not end all others.
        log.exception("connection_task_crashed")
    finally:
        await client.close()
