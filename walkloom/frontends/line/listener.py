"""Stage 0: listens, and gives every channel a task of its own."""

from __future__ import annotations

import errno
import logging
from contextlib import suppress

import trio

from walkloom.config import ConfigError
from walkloom.frontends.line.request_lifecycle import Front, live
from walkloom.transport.line_stream import Lines
from walkloom.transport.rate_limited_log import Tally

log = logging.getLogger("walkloom")
# guards the listener: no descriptor is free, and one soon will be
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SHORT_PAUSE_S = 0.02


async def accept(
    front: Front, address: tuple[str, int], task_status: trio.TaskStatus[list[trio.SocketListener]]
) -> None:
    """Serves until cancelled."""

    async def serve(stream: trio.SocketStream) -> None:
        channel = Lines(stream)
        try:
            await live(front, channel)
        except Exception:  # guards the program: an exception ends its RPC only
            log.exception("rpc-crashed")
        finally:
            await channel.close()

    failed = Tally("accept-failed")
    try:
        listeners = await trio.open_tcp_listeners(address[1], host=address[0])
    except OSError as error:
        raise ConfigError(f"listen {address[0]}:{address[1]}: {error}") from None
    async with trio.open_nursery() as nursery:
        task_status.started(listeners)
        with front.finish.accepting:
            while True:
                try:
                    stream = await listeners[0].accept()
                except OSError as error:  # guards the program: it concerns one client, or passes
                    failed.count(str(error))
                    if error.errno in SHORT:
                        front.budget.shed()
                    await trio.sleep(SHORT_PAUSE_S)
                else:
                    nursery.start_soon(serve, stream)
        # guards clients that came in time: with the listener, those that wait to be accepted are reset
        with suppress(OSError):
            while listeners[0].socket.is_readable():
                nursery.start_soon(serve, await listeners[0].accept())
        await listeners[0].aclose()
        front.finish.accepted.set()
