"""The UDP side: reads datagrams, finds their connection or server by connection id, counts the dropped."""

from __future__ import annotations

import logging
import os
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from walkloom.engine.engine import Engine
from walkloom.frontends.quic.connection import LARGEST, Address, QuicConnection
from walkloom.frontends.quic.packet import (
    FIRST_ID_LEAST,
    INITIAL_LEAST,
    Kind,
    Packet,
    PacketError,
    parse,
    version_negotiation,
)
from walkloom.frontends.quic.settings import QuicConfig

log = logging.getLogger("walkloom")
REPORT_S = 10.0


class QuicFrontend:
    def __init__(self, engine: Engine, conf: QuicConfig) -> None:
        self.engine, self._conf, self.form = engine, conf, conf.form
        self.targets = {t.server: t for t in conf.targets}
        self._by_id = {t.id: t for t in conf.targets}
        self.connections: dict[bytes, QuicConnection] = {}
        self._open = 0
        self.dropped: Counter[str] = Counter()
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def run(self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED) -> None:
        with self._socket:
            await self._socket.bind(self._conf.listen)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._report)
                task_status.started(self._socket.getsockname())
                while True:
                    try:
                        data, client = await self._socket.recvfrom(LARGEST)
                        await self._route(nursery, data, client)
                    except PacketError:
                        self.count("malformed")
                    except Exception as error:  # guards the frontend: a datagram ends itself only
                        log.exception("quic-error error=%r", error)

    async def _route(self, nursery: trio.Nursery, data: bytes, client: Address) -> None:
        packet = parse(data, self.form.length)
        if connection := self.connections.get(packet.dcid):
            await connection.receive(packet, data, client)
        elif self._open >= self._conf.connections:
            self.count("table-full")
        elif target := self._by_id.get(self.form.server(packet.dcid) or b""):
            handle = self.engine.adopt(target.server, self._conf.request_class, tenant=self._conf.tenant)
            connection = QuicConnection(self, handle, client)
            connection.learn(packet.dcid)
            self._start(nursery, connection.carry_on, target, packet, data)
        elif packet.kind is Kind.OTHER and packet.version and len(data) >= INITIAL_LEAST:
            await self.send(version_negotiation(packet), client)
        elif packet.kind is Kind.INITIAL:
            await self._new(nursery, packet, data, client)
        else:
            self.count("unroutable")

    async def _new(self, nursery: trio.Nursery, packet: Packet, data: bytes, client: Address) -> None:
        if len(data) < INITIAL_LEAST or len(packet.dcid) < FIRST_ID_LEAST:
            raise PacketError("too short for a first Initial")
        deadline = self.engine.now() + self._conf.patience_ms
        handle = self.engine.submit(self._conf.request_class, deadline, tenant=self._conf.tenant)
        connection = QuicConnection(self, handle, client)
        connection.learn(packet.dcid)
        await connection.receive(packet, data, client)
        self._start(nursery, connection.live)

    def _start(self, nursery: trio.Nursery, life: Callable[..., Awaitable[None]], *args: object) -> None:
        self._open += 1  # at once: many datagrams may be read before the first task runs
        nursery.start_soon(self._guard, life, *args)

    async def _guard(self, life: Callable[..., Awaitable[None]], *args: object) -> None:
        try:
            await life(*args)
        except Exception:  # guards the program: an exception ends its connection only
            log.exception("quic-flow-error")
        finally:
            self._open -= 1

    async def send(self, data: bytes, client: Address) -> None:
        await self._socket.sendto(data, client)

    def unroutable_id(self) -> bytes:
        return b"\xe0" + os.urandom(7)

    def count(self, why: str) -> None:
        self.dropped[why] += 1

    async def _report(self) -> None:
        told = 0
        while True:
            await trio.sleep(REPORT_S)
            if (total := self.dropped.total()) > told:
                told = total
                log.info("quic-dropped %s", " ".join(f"{k}={v}" for k, v in sorted(self.dropped.items())))
