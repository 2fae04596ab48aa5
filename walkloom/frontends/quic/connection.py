"""The life of one QUIC connection at this balancer, in one task."""

from __future__ import annotations

import logging
import math
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from walkloom.engine.engine import RequestHandle
from walkloom.frontends.quic import initial
from walkloom.frontends.quic.packet import Kind, Packet, PacketError, parse
from walkloom.frontends.quic.settings import Target
from walkloom.messages import AttemptStatus, Fail, Reject, StartAttempt

if TYPE_CHECKING:
    from walkloom.frontends.quic.frontend import QuicFrontend

log = logging.getLogger("walkloom")
Address = tuple[str, int]
PENDING, IDS, PATHS = 8, 8, 4  # most datagrams kept during set-up, ids and client addresses of one connection
IDLE_S, SILENT_S, SILENT_PACKETS = 60.0, 5.0, 3  # a few may need no answer: acknowledgements alone
LOOK_S, CLOSING_S = 0.25, 3.0
LARGEST = 65_535


class QuicConnection:
    def __init__(self, frontend: QuicFrontend, handle: RequestHandle, client: Address) -> None:
        self.frontend, self.handle, self.client = frontend, handle, client
        self.ids: list[bytes] = []
        self.first_dcid, self.client_id = b"", b""  # of the newest Initial: what its keys come from
        self.pending: list[bytes] = []
        self.closing = b""  # the refusal, for Initials that are sent again
        # a socket for each client address: the server sees the change and checks the path itself
        self.paths: dict[Address, trio.socket.SocketType] = {}
        self._nursery: trio.Nursery | None = None
        self.quiet_since = trio.current_time()
        self._unanswered, self._asked_at = 0, math.inf
        self._lost = self._leaving = False

    def learn(self, cid: bytes) -> None:
        if cid and cid not in self.ids and len(self.ids) < IDS:
            self.ids.append(cid)
            self.frontend.connections[cid] = self

    async def receive(self, packet: Packet, data: bytes, client: Address) -> None:
        """One datagram from the client."""
        self.quiet_since = trio.current_time()
        if self.closing:
            return await self.frontend.send(self.closing, client)
        if not self.handle.is_established:
            self.client = client
            if (
                packet.kind is Kind.INITIAL and packet.dcid != self.first_dcid
            ):  # the first, or one after a Retry
                self.first_dcid, self.client_id, self.pending = packet.dcid, packet.scid, []
            if len(self.pending) < PENDING:
                self.pending.append(data)
        if self._nursery and client not in self.paths and self.handle.is_established:
            await self._new_path(client)
        sock = self.paths.get(client) or (
            None if self.handle.is_established else next(iter(self.paths.values()), None)
        )
        if sock:
            self._unanswered += 1
            self._asked_at = min(self._asked_at, self.quiet_since)
            with suppress(OSError):  # a refusal is read where the answers are
                await sock.send(data)

    async def live(self) -> None:
        """Orders come from the engine, attempts go out one by one; then packets pass until it is quiet."""
        try:
            while True:
                command = await self.handle.next_command()
                if isinstance(command, Reject | Fail):
                    return await self._refuse()
                if isinstance(command, StartAttempt):
                    status = await self._attempt(command)
                    if status is None:
                        break
                    self._close_paths()
                    self.handle.report_ended(status)
            await self._carry()
        finally:
            self._end()

    async def carry_on(self, target: Target, packet: Packet, data: bytes) -> None:
        """A connection that stands at a server already, though this balancer never saw it."""
        try:
            await self._open(target)
            await self.receive(packet, data, self.client)
            await self._carry()
        finally:
            self._end()

    async def _attempt(self, command: StartAttempt) -> AttemptStatus | None:
        """None once the server's packets show that the connection stands."""
        engine, target = self.frontend.engine, self.frontend.targets.get(str(command.endpoint_id))
        until = min(self.handle.attempt_started_at + (command.timeout_ms or math.inf), self.handle.deadline)
        if target is None or not self.handle.may_start_sending():
            log.warning("quic-unsent server=%s", command.endpoint_id)
            return AttemptStatus.NOT_SENT
        try:
            with trio.move_on_after(max(until - engine.now(), 0.0) / 1000.0):
                sock = await self._open(target)
                for data in self.pending:
                    await sock.send(data)
                while True:
                    answer = await sock.recv(LARGEST)
                    with suppress(PacketError):
                        packet = parse(answer, self.frontend.form.length)
                        if (status := self._refused(packet, answer)) is not None:
                            return status
                        self.learn(packet.scid)
                        await self.frontend.send(answer, self.client)
                        if packet.kind in (Kind.INITIAL, Kind.HANDSHAKE):
                            self._answered()
                            self.handle.report_established()
                            return None
        except OSError:  # refused by ICMP: nothing listens there
            return AttemptStatus.CONNECT_FAILED
        return AttemptStatus.TIMED_OUT

    def _refused(self, packet: Packet, data: bytes) -> AttemptStatus | None:
        if packet.kind is not Kind.INITIAL:
            return None
        code = initial.close_code(initial.opened(initial.keys(self.first_dcid, initial.SERVER), data))
        if code is None:
            return None
        return AttemptStatus.AT_CAPACITY if code == initial.CONNECTION_REFUSED else AttemptStatus.ERROR

    async def _refuse(self) -> None:
        """The final answer in QUIC's own form; Initials sent again get the same for a while."""
        self.closing = initial.refusal(self.first_dcid, self.client_id, self.frontend.unroutable_id())
        log.info("quic-unavailable request=%d", self.handle.id)
        with suppress(OSError):
            await self.frontend.send(self.closing, self.client)
        await trio.sleep(CLOSING_S)

    async def _open(self, target: Target) -> trio.socket.SocketType:
        sock = self.paths[self.client] = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await sock.connect(target.address)
        return sock

    async def _new_path(self, client: Address) -> None:
        """The client's address changed: its packets still go to the same server."""
        target = self.frontend.targets[str(self.handle.endpoint_id)]
        if len(self.paths) >= PATHS:
            self.paths.pop(next(iter(self.paths))).close()
        self.client = client
        sock = await self._open(target)
        log.info("quic-address-changed request=%d server=%s", self.handle.id, target.server)
        if self._nursery:
            self._nursery.start_soon(self._downward, sock, client)

    async def _carry(self) -> None:
        status = AttemptStatus.CANCELLED
        try:
            async with trio.open_nursery() as self._nursery:
                for client, sock in self.paths.items():
                    self._nursery.start_soon(self._downward, sock, client)
                self._nursery.start_soon(self._commands)
                status = await self._until_over()
                self._nursery.cancel_scope.cancel()
        finally:
            self.handle.report_ended(status, closed=True)

    async def _downward(self, sock: trio.socket.SocketType, client: Address) -> None:
        while True:
            try:
                data = await sock.recv(LARGEST)
            except trio.ClosedResourceError:  # gave way to a newer address
                return
            except OSError:
                if self.paths.get(client) is sock:
                    self._lost = True  # refused by ICMP: the server's process is gone
                return
            self._answered()
            with suppress(PacketError):
                self.learn(parse(data, self.frontend.form.length).scid)
            with suppress(OSError):
                await self.frontend.send(data, client)

    def _answered(self) -> None:
        self.quiet_since = trio.current_time()
        self._unanswered, self._asked_at = 0, math.inf

    async def _until_over(self) -> AttemptStatus:
        """QUIC hides its closes: a connection is over once quiet, or once its server refuses or is silent."""
        while not self._lost:
            await trio.sleep(LOOK_S)
            now = trio.current_time()
            if self._leaving:
                return AttemptStatus.CANCELLED
            if self._unanswered >= SILENT_PACKETS and now - self._asked_at > SILENT_S:
                break
            if now - self.quiet_since > IDLE_S:
                return AttemptStatus.OK
        log.warning("quic-server-lost server=%s request=%d", self.handle.endpoint_id, self.handle.id)
        return AttemptStatus.CONNECTION_RESET

    async def _commands(self) -> None:
        """A balancer cannot tell a QUIC client to move; when it stops itself, others route its ids."""
        while True:
            await self.handle.next_command()
            self._leaving = self.frontend.engine.stopping
            self.frontend.count("moves-untold")

    def _close_paths(self) -> None:
        for sock in self.paths.values():
            sock.close()
        self.paths.clear()

    def _end(self) -> None:
        self._close_paths()
        for cid in self.ids:
            self.frontend.connections.pop(cid, None)
        self.handle.close()
