"""Discovery as the page "Protocol" describes it: the whole list, or a watch on its changes."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from contextlib import suppress

from stand_ins.record import Record

_HEAD = re.compile(rb"GET /registry/instances(?:\?index=(\d+)&wait=(\d+))? HTTP/1\.1\r\n")
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# SO_LINGER of 0 s: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Registry:
    """The list of tile servers, shared by all addresses of discovery."""

    def __init__(self) -> None:
        self.generation = 40
        self._entries: dict[str, tuple[int, dict[str, object]]] = {}
        self._changed = asyncio.Event()

    def put(self, name: str, address: str, lifecycle: str = "up", **fields: object) -> None:
        """Add or change a server; lifecycle: `up`, `draining` or `removed`."""
        self.generation += 1
        entry = {"instanceId": name, "hostPort": address, "zone": "poa-centro", "machineType": "std-node"}
        entry |= {"cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0, **fields}
        self._entries[name] = (self.generation, entry)
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        present = [entry for _, entry in self._entries.values() if entry["lifecycle"] != "removed"]
        return {"generation": self.generation, "reset": True, "instances": present}

    def since(self, index: int | None) -> dict[str, object]:
        """Return the changes after a version; None: the whole list."""
        if index is None or index > self.generation:
            return self.whole()
        changed = [entry for generation, entry in self._entries.values() if generation > index]
        return {"generation": self.generation, "reset": False, "instances": changed}

    async def wait_for_change(self, index: int, wait_s: float) -> None:
        """Return once there is a newer version, at the latest after `wait_s`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.generation <= index:
                    await self._changed.wait()


class Discovery:
    """One address of discovery.

    Attributes:
        refused_after_s: each of the next `refusals` calls waits so long and ends with 503.
        call_s: the time for a call's turn; calls that open a watch take turns, one after another.
    """

    def __init__(self, name: str, registry: Registry, record: Record) -> None:
        self.name = name
        self.refusals = 0
        self.refused_after_s = 0.0
        self.call_s = 0.0
        self._turn = asyncio.Lock()
        self._registry = registry
        self._record = record
        self.port = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._watching: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, later again on the same one; raises OSError if that is not possible."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._record.write(f"discovery {self.name} accepts calls")

    def silence_watches(self) -> float:
        """Never answer the calls that are open now; return the time, s of the record.

        Calls over other connections are answered.
        """
        self._silent |= self._connections
        return self._record.write(f"discovery {self.name}: open watches fall silent")

    def go_down(self) -> float:
        """Reset all connections and refuse new ones until `start`; return the time, s of the record."""
        self._listener.close()
        for writer in list(self._connections):
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()
        return self._record.write(f"discovery {self.name} is down")

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def retire(self, close_after_s: float = 1.5) -> None:
        """Accept no new connections, and close the open ones after `close_after_s`."""
        self._listener.close()
        await asyncio.sleep(close_after_s)
        for writer in list(self._connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        # A cancellation comes only at the end of the program.
        ends = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError)
        with suppress(*ends):
            while await self._serve_call(reader, writer):
                pass
        self._connections.discard(writer)
        with suppress(OSError):
            writer.close()

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        match = _HEAD.match(head)
        self._record.write(f"discovery {self.name} called: {head.split(b' HTTP')[0].decode()}")
        if not match:
            return False
        if self.refusals:
            self.refusals -= 1
            await asyncio.sleep(self.refused_after_s)
            writer.write(_UNAVAILABLE)
            self._record.write(f"discovery {self.name} answered 503: the call waited too long")
            return False
        index = int(match[1]) if match[1] else None
        if self.call_s and writer not in self._watching:
            self._watching.add(writer)
            async with self._turn:
                await asyncio.sleep(self.call_s)
        if index is not None:
            await self._registry.wait_for_change(index, min(int(match[2]), 60_000) / 1000)
        if writer in self._silent:
            await asyncio.Event().wait()
        update = self._registry.since(index)
        body = json.dumps(update).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        changes = " ".join(f"{entry['instanceId']}={entry['lifecycle']}" for entry in update["instances"])
        self._record.write(f"discovery {self.name} answered generation {update['generation']}: {changes}")
        return True
