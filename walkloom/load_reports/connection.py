"""The connection over which one endpoint is polled."""

from __future__ import annotations

import trio

from walkloom.transport.address import SocketAddress
from walkloom.transport.line_stream import LineStream, open_line_stream


class LoadReportConnection:
    """A connection that stays open between polls, and the address to which it is open."""

    def __init__(self) -> None:
        self._stream: LineStream | None = None
        self._address: SocketAddress | None = None

    def get_stream(self, address: SocketAddress | None) -> LineStream | None:
        """Return the open stream, if there is one to this address."""
        if self._stream is None or self._address != address:
            return None
        return self._stream

    async def reconnect(self, address: SocketAddress | None) -> LineStream | None:
        """Close the open stream and open one to this address; None if it does not accept."""
        if self._stream:
            await self._stream.close()
        self._stream = await open_line_stream(address) if address else None
        self._address = address
        return self._stream

    async def close(self) -> None:
        """Close the open stream, even in a task that is being cancelled."""
        if self._stream:
            with trio.CancelScope(shield=True):
                await self._stream.close()
