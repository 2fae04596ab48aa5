"""Random clients and servers against a whole balancer, with lists, moves, few descriptors and a planned stop.

Seeds are fixed, and time is the mock clock's: what these runs once found has a test of its own elsewhere.
"""

from __future__ import annotations

import math
from collections import defaultdict
from contextlib import suppress
from random import Random

import pytest
import trio

from tests import scenario
from tests.frontends.line.test_frontend import FLOOD, NAMES, LinePeer
from walkloom.config import Config
from walkloom.messages import Endpoint, Idempotency, Lifecycle, MigrateConnection, RequestClass, UpdateKind
from walkloom.server import BalancerServer

CLIENTS, LAST_S = 40, 3.7  # SIGKILL comes so long after SIGTERM
SLACK_S = 0.05  # of every time on sockets


class Record:
    """What crossed the sockets, and what broke a rule."""

    def __init__(self) -> None:
        self.opened = defaultdict[str, list[float]](list)  # when each attempt of an id came to a server,
        self.ended = defaultdict[str, list[float]](list)  # and when its connection ended
        self.left: dict[str, float] = {}
        self.broken: list[str] = []

    def check(self) -> list[str]:
        for rid, opened in self.opened.items():
            ended = [*self.ended[rid], *[math.inf] * (len(opened) - len(self.ended[rid]))]
            if len(opened) > 3:
                self.broken.append(f"{rid}: {len(opened)} attempts")
            if any(later < before for before, later in zip(ended, opened[1:], strict=False)):
                self.broken.append(f"{rid}: two attempts at once")
            if opened[-1] > self.left.get(rid, math.inf) + 0.3:
                self.broken.append(f"{rid}: sent on after its client had left")
        return self.broken


async def serve(rnd: Random, record: Record, stream: trio.SocketStream) -> None:
    """A tile server's connection: an answer of any kind, some lines, an end of any kind."""
    peer, rid = LinePeer(stream), ""
    put, lines = trio.open_memory_channel[str](math.inf)

    async def read(scope: trio.CancelScope) -> None:
        with suppress(trio.ClosedResourceError):  # this side has reset it
            while (got := await peer.receive()) not in ("EOF", "RESET"):
                put.send_nowait(got)
        scope.cancel()

    async def speak() -> None:
        nonlocal rid
        line = await lines.receive()
        if not line.startswith("OPEN"):  # a probe: nobody answers
            return
        rid = line.split()[1]
        record.opened[rid].append(trio.current_time())
        await trio.sleep(rnd.choice([0, 0, 0, 0.01, 0.05, 0.3, 0.6, 1.5]))
        answers = [
            *["UP 1"] * 8,
            "UP 1",
            "BUSY",
            "BUSY",
            "ERR",
            "UP 7",
            "x" * 5000,
            r"BUSY\r\nUP 3",
            "close",
            "reset",
            "",
        ]
        answer = rnd.choice(answers)
        if answer in ("close", "reset"):
            return await (peer.close if answer == "close" else peer.reset)()
        await (peer.part if answer == "UP 7" else peer.send)(answer)
        until = trio.current_time() + rnd.uniform(0, 6)
        while answer == "UP 1" and trio.current_time() < until:
            with trio.move_on_after(rnd.uniform(0.4, 2)):
                await peer.send(await lines.receive() + " ok")
            for _ in range(rnd.choice([0] * 30 + [400])):
                await peer.send(FLOOD)
        last = rnd.choice(["BYE", "MOVE", "reset", "M 1 ha", ""])
        if last == "reset":
            await peer.reset()
        elif last:
            await (peer.part if last == "M 1 ha" else peer.send)(last)
            await peer.close()

    async def speak_on() -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await speak()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, nursery.cancel_scope)
        nursery.start_soon(speak_on)
    if rid:
        record.ended[rid].append(trio.current_time())
    await trio.aclose_forcefully(stream)


async def call(rnd: Random, record: Record, address: tuple[str, int], number: int) -> None:
    """A client that comes some time, in pieces or at once, and may leave before its answer or after."""
    await trio.sleep(rnd.uniform(0, 9))
    try:
        peer = LinePeer(await trio.open_tcp_stream(*address))
    except OSError:  # the balancer has left
        return
    rid, patience = f"{number:x}", rnd.choice([50, 300, 1000, 2000, 3000])
    line = f"OPEN {rid} 7f c=chat,t=acme,d={patience},g={rnd.randrange(1, 4)}"
    leave = peer.close if rnd.random() < 0.5 else peer.reset
    try:
        with suppress(trio.BrokenResourceError):  # closed, and told so, before its request is whole
            if cut := rnd.choice([0, 0, 0, 9]):
                await peer.part(line[:cut])
                await trio.sleep(rnd.uniform(0, 2.2))
            await peer.send(line[cut:])
        sent = trio.current_time()
        with trio.move_on_after(rnd.choice([math.inf] * 6 + [0, 0.01, 0.05, 0.3, 1.0])) as early:
            got = await peer.receive()
        if early.cancelled_caught:
            record.left[rid] = trio.current_time()
            return await leave()
        if got in ("EOF", "RESET"):
            record.broken.append(f"{rid}: {got} for an answer")
        if trio.current_time() > sent + patience / 1000.0 + SLACK_S:
            record.broken.append(f"{rid}: answered late")
        until = trio.current_time() + rnd.uniform(0, 5)
        while got not in ("EOF", "RESET", "MOVE", "BYE") and trio.current_time() < until:
            await peer.send("M 1")
            await trio.sleep(rnd.uniform(0.3, 2))
            with trio.move_on_after(rnd.uniform(0.1, 0.5)):
                got = await peer.receive()
        await leave()
    except trio.BrokenResourceError:
        pass  # it stood, and ended as it was to speak
    finally:
        await peer.lines.close()


async def trouble(rnd: Random, server: BalancerServer) -> None:
    engine = server.engine
    for _ in range(8):
        await trio.sleep(rnd.uniform(0, 1.5))
        since = rnd.choice([0.0, engine.now()])
        one = Endpoint(rnd.choice("abc"), lifecycle=rnd.choice(list(Lifecycle)), started_at=since)
        kind = rnd.choice([UpdateKind.INCREMENTAL, UpdateKind.SNAPSHOT, None])
        if kind is None:
            for handle in [t for t in engine._handles.values() if t.is_established]:
                engine._act(MigrateConnection(handle.id))
        else:
            engine.endpoint_list_received(
                kind, [Endpoint(x) for x in "abc"] if kind is UpdateKind.SNAPSHOT else [one]
            )


@pytest.mark.parametrize("seed", [3, 21, 48, 187, 191, 341])
def test_no_rule_breaks_whatever_crosses(seed: int) -> None:
    rnd, record = Random(seed), Record()

    async def world_of(world: scenario.World) -> None:
        async def take(stream: trio.SocketStream) -> None:
            await serve(rnd, record, stream)

        known = []
        for name in "abc":
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, take, [listener])
            port = listener.socket.getsockname()[1]
            known.append(f'{{"instanceId":"{name}","hostPort":"127.0.0.1:{port}","lifecycle":"up"}}')
        conf = Config(
            "n0", ("127.0.0.1", 0), ("127.0.0.1", 1), seed, rnd.choice([40, 1024]),
            f'{{"generation":1,"reset":true,"instances":[{",".join(known)}]}}'.encode(),
            world.engine.settings, NAMES, ("x0",), rnd.choice([60.0, 1000.0]), 3000.0,
        )  # fmt: skip
        scope, gone = trio.CancelScope(), trio.Event()

        async def run(task_status: trio.TaskStatus[BalancerServer]) -> None:
            with scope:
                await BalancerServer.serve(conf, None, task_status)
            gone.set()

        server: BalancerServer = await world.nursery.start(run)
        async with trio.open_nursery() as nursery:
            for number in range(1, CLIENTS + 1):
                nursery.start_soon(call, rnd, record, server.address, number)
            nursery.start_soon(trouble, rnd, server)
            await trio.sleep(rnd.uniform(3, 11))
            told_at = trio.current_time()
            await server.shut_down()
            scope.cancel()
            await gone.wait()
            assert trio.current_time() < told_at + LAST_S
        balancer = server.engine._balancer
        assert server.engine.idle and not (balancer.requests or balancer.held or balancer.asking)
        assert not any(s.conns for s in balancer.servers.values())

    effect = rnd.choice(list(Idempotency))
    kind = RequestClass(
        latency_objective_ms=rnd.choice([100.0, 500.0]),
        idempotency=effect,
        deduplication_window_ms=rnd.choice([100.0, 5000.0]),
    )
    asks, probes = rnd.random() < 0.5, rnd.random() < 0.5
    scenario.run(
        "",
        world_of,
        request_classes=(kind,),
        polls_endpoint_list=asks,
        load_reports_available=probes,
        load_report_load_index=0,
        server_reports_latency=False,
    )
    assert not record.check()
