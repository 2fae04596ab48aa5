"""A stand-in of discovery: one registry, and for each balancer one address that it calls.

Where lists are pushed, each address is the agent on that balancer's machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
import struct
from dataclasses import asdict, dataclass, replace
from typing import Any

from stand_ins_2.ports import HOST, free_port
from stand_ins_2.record import Record

_RESET = struct.pack("ii", 1, 0)
_HEAD = re.compile(r"GET /registry/instances(?:\?index=(\d+)&wait=(\d+(?:\.\d+)?))? HTTP/1\.1\r\n")
MAX_WAIT_MS = 60_000.0


@dataclass(frozen=True)
class Entry:
    """One entry of the list, under the names of the wire."""

    instanceId: str  # noqa: N815 - a name of the wire
    hostPort: str  # noqa: N815
    zone: str
    machineType: str = "std-node"  # noqa: N815
    cell: int = 0
    lifecycle: str = "up"
    weight: float = 1.0
    startedAtMs: float = 0.0  # noqa: N815


class _Connection:
    """One connection of a balancer."""

    def __init__(self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.balancer = balancer
        self.reader = reader
        self.writer = writer
        # The watch on it fell silent: nothing more is written.
        self.is_silent = False

    def reset(self) -> None:
        with contextlib.suppress(OSError):
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.writer.transport.abort()


class Discovery:
    """The registry, and the addresses at which balancers call it."""

    def __init__(self, record: Record) -> None:
        """Create an empty registry that answers calls."""
        self._record = record
        self._entries: dict[str, Entry] = {}
        self._changed_in: dict[str, int] = {}
        self._change = asyncio.Event()
        self._listeners: dict[str, asyncio.Server] = {}
        self._ports: dict[str, int] = {}
        self._connections: set[_Connection] = set()
        self.generation = 0
        self.is_down = False
        # When each version was first written to each balancer, s.
        self.written_at: dict[tuple[str, int], float] = {}
        # When discovery had each version, s.
        self.had_at: dict[int, float] = {}

    def put(self, entry: Entry) -> int:
        """Add or change an entry; return the version of the list that has it."""
        self.generation += 1
        self._entries[entry.instanceId] = entry
        self._changed_in[entry.instanceId] = self.generation
        text = f"list {self.generation}: {entry.instanceId} {entry.lifecycle}"
        self.had_at[self.generation] = self._record.add(text)
        self._wake()
        return self.generation

    def set_lifecycle(self, name: str, lifecycle: str) -> int:
        """Change the lifecycle of an entry; return the version of the list. Raises KeyError if unknown."""
        return self.put(replace(self._entries[name], lifecycle=lifecycle))

    def entry(self, name: str) -> Entry:
        """Return the entry of a server; raises KeyError if it was never listed."""
        return self._entries[name]

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list, in the form of the wire."""
        listed = [asdict(each) for each in self._entries.values() if each.lifecycle != "removed"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage in which calls stay unanswered."""
        self.is_down = is_down
        self._record.add("discovery down" if is_down else "discovery back")
        self._wake()

    def silence_watches(self) -> None:
        """Let the connections that are open now fall silent; calls over new ones are answered."""
        for connection in self._connections:
            connection.is_silent = True
        self._record.add(f"{len(self._connections)} watches fall silent")

    async def refuse(self, is_down: bool) -> None:
        """Begin an outage in which connections are reset and new ones refused, or end it. Raises OSError."""
        self._record.add("discovery down, it refuses calls" if is_down else "discovery back")
        if not is_down:
            for balancer in self._ports:
                await self._listen(balancer)
            return
        for listener in self._listeners.values():
            listener.close()
        self._listeners.clear()
        for connection in list(self._connections):
            connection.reset()

    def _wake(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    async def listen_for(self, balancer: str) -> str:
        """Listen at a new address for a balancer; return the address. Raises OSError."""
        self._ports[balancer] = free_port()
        await self._listen(balancer)
        return f"{HOST}:{self._ports[balancer]}"

    async def _listen(self, balancer: str) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = _Connection(balancer, reader, writer)
            self._connections.add(connection)
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    while await self._serve_call(connection):
                        pass
            finally:
                self._connections.discard(connection)
                writer.close()

        self._listeners[balancer] = await asyncio.start_server(serve, HOST, self._ports[balancer])

    async def _serve_call(self, connection: _Connection) -> bool:
        """Answer one call; return whether another one may follow."""
        balancer, writer = connection.balancer, connection.writer
        head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("ascii", "replace")
        match = _HEAD.match(head)
        if match is None:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return False
        if match[1] is None:
            while self.is_down:
                await self._change.wait()
            body = self.whole_list()
        else:
            body = await self._changes_after(int(match[1]), min(float(match[2]), MAX_WAIT_MS) / 1000.0)
        while connection.is_silent:
            await self._change.wait()
            if writer.is_closing():
                return False
        data = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
        at = self._record.now()
        for version in range(1, body["generation"] + 1):
            self.written_at.setdefault((balancer, version), at)
        if body["instances"]:
            self._record.add(f"list {body['generation']} written to {balancer}")
        await writer.drain()
        return True

    async def _changes_after(self, index: int, wait_s: float) -> dict[str, Any]:
        """Wait for a version after `index`, for `wait_s` at most; never answer during an outage."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while self.is_down or (self.generation <= index and loop.time() < ends_at):
            left_s = None if self.is_down else ends_at - loop.time()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change.wait(), left_s)
        changed = [asdict(entry) for name, entry in self._entries.items() if self._changed_in[name] > index]
        return {"generation": self.generation, "reset": False, "instances": changed}
