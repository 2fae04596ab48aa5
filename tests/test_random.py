"""Runs a whole balancer, until its shutdown, with random clients, servers, lists, migrations and limits.

Seeds are fixed, and the clock is a mock. Faults that these runs have found have tests of their own elsewhere.
"""

from __future__ import annotations

import math
from collections import defaultdict
from contextlib import suppress
from random import Random

import pytest
import trio

from tests import scenario
from tests.frontends.line.harness import FLOOD_LINE, NAMES, LinePeer
from walkloom.config import Config
from walkloom.messages import Endpoint, Idempotency, Lifecycle, MigrateConnection, RequestClass, UpdateKind
from walkloom.server import BalancerServer

CLIENT_COUNT = 40
SERVER_NAMES = "abc"

# From SIGTERM to SIGKILL.
SIGKILL_AFTER_S = 3.7

# Allowed delay of an answer beyond its deadline, as it crosses a socket.
SLACK_S = 0.05

# How long after its client has left a request may still reach a server.
CLIENT_LEFT_SLACK_S = 0.3

# The value in the settings of tests/scenario.py.
MAX_ATTEMPTS = 3

# What a server answers to a request: lines, half a line, a close, a reset, or nothing.
HALF_RECEIPT = "UP 7"
RECEIPT = "UP 1"
SERVER_ANSWERS = [
    *[RECEIPT] * 9,
    "BUSY",
    "BUSY",
    "ERR",
    HALF_RECEIPT,
    "x" * 5000,
    r"BUSY\r\nUP 3",
    "close",
    "reset",
    "",
]
SERVER_ANSWER_DELAYS_S = [0, 0, 0, 0.01, 0.05, 0.3, 0.6, 1.5]

# How a server ends an established connection.
HALF_LINE = "M 1 ha"
SERVER_LAST_LINES = ["BYE", "MOVE", "reset", HALF_LINE, ""]


class Record:
    """Attempts and clients as seen on the sockets, and the violations of rules."""

    def __init__(self) -> None:
        # By request id on the wire: when each attempt reached a server, and when its connection ended.
        self.attempts_started = defaultdict[str, list[float]](list)
        self.attempts_ended = defaultdict[str, list[float]](list)
        self.clients_left: dict[str, float] = {}
        self.violations: list[str] = []

    def find_violations(self) -> list[str]:
        for request_id, started in self.attempts_started.items():
            ended = self.attempts_ended[request_id]
            still_open = [math.inf] * (len(started) - len(ended))
            ended = [*ended, *still_open]
            if len(started) > MAX_ATTEMPTS:
                self.violations.append(f"{request_id}: {len(started)} attempts")
            if any(later < before for before, later in zip(ended, started[1:], strict=False)):
                self.violations.append(f"{request_id}: two attempts at once")
            if started[-1] > self.clients_left.get(request_id, math.inf) + CLIENT_LEFT_SLACK_S:
                self.violations.append(f"{request_id}: sent after its client had left")
        return self.violations


class RandomServerConnection:
    """One connection at a server: a random answer, some lines and a random end."""

    def __init__(self, rng: Random, record: Record, stream: trio.SocketStream) -> None:
        self._rng = rng
        self._record = record
        self._stream = stream
        self._peer = LinePeer(stream)
        # Empty until a request arrives, and for a poll of the load report.
        self._request_id = ""
        self._line_sender, self._line_receiver = trio.open_memory_channel[str](math.inf)

    async def serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, nursery.cancel_scope)
            nursery.start_soon(self._serve_until_broken)
        if self._request_id:
            self._record.attempts_ended[self._request_id].append(trio.current_time())
        await trio.aclose_forcefully(self._stream)

    async def _read(self, scope: trio.CancelScope) -> None:
        # Raised where this side has reset the connection.
        with suppress(trio.ClosedResourceError):
            while (line := await self._peer.receive()) not in ("EOF", "RESET"):
                self._line_sender.send_nowait(line)
        scope.cancel()

    async def _serve_until_broken(self) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._serve_request()

    async def _serve_request(self) -> None:
        line = await self._line_receiver.receive()
        # Polls of the load report are not answered.
        if not line.startswith("OPEN"):
            return
        self._request_id = line.split()[1]
        self._record.attempts_started[self._request_id].append(trio.current_time())
        await trio.sleep(self._rng.choice(SERVER_ANSWER_DELAYS_S))
        answer = self._rng.choice(SERVER_ANSWERS)
        if answer == "close":
            await self._peer.close()
        elif answer == "reset":
            await self._peer.reset()
        else:
            await self._send(answer, is_partial=answer == HALF_RECEIPT)
            await self._echo_lines(is_established=answer == RECEIPT)
            await self._end()

    async def _send(self, text: str, is_partial: bool) -> None:
        if is_partial:
            await self._peer.part(text)
        else:
            await self._peer.send(text)

    async def _echo_lines(self, is_established: bool) -> None:
        end_at = trio.current_time() + self._rng.uniform(0, 6)
        while is_established and trio.current_time() < end_at:
            with trio.move_on_after(self._rng.uniform(0.4, 2)):
                await self._peer.send(await self._line_receiver.receive() + " ok")
            for _ in range(self._rng.choice([0] * 30 + [400])):
                await self._peer.send(FLOOD_LINE)

    async def _end(self) -> None:
        last_line = self._rng.choice(SERVER_LAST_LINES)
        if last_line == "reset":
            await self._peer.reset()
        elif last_line:
            await self._send(last_line, is_partial=last_line == HALF_LINE)
            await self._peer.close()


class RandomClient:
    """A client that connects at a random time, sends its request in one or two parts, and may leave early."""

    def __init__(self, rng: Random, record: Record, number: int) -> None:
        self._rng = rng
        self._record = record
        self._request_id = f"{number:x}"

    async def run(self, address: tuple[str, int]) -> None:
        await trio.sleep(self._rng.uniform(0, 9))
        try:
            peer = LinePeer(await trio.open_tcp_stream(*address))
        except OSError:
            # The balancer has exited.
            return
        try:
            await self._send_request_and_lines(peer)
        except trio.BrokenResourceError:
            # The established connection ended before the client sent a line.
            pass
        finally:
            await peer.lines.close()

    async def _send_request_and_lines(self, peer: LinePeer) -> None:
        deadline_ms = self._rng.choice([50, 300, 1000, 2000, 3000])
        group = self._rng.randrange(1, 4)
        request_line = f"OPEN {self._request_id} 7f c=chat,t=acme,d={deadline_ms},g={group}"
        leave = peer.close if self._rng.random() < 0.5 else peer.reset
        await self._send_request(peer, request_line)
        sent_at = trio.current_time()
        with trio.move_on_after(self._rng.choice([math.inf] * 6 + [0, 0.01, 0.05, 0.3, 1.0])) as answer_scope:
            answer = await peer.receive()
        if answer_scope.cancelled_caught:
            self._record.clients_left[self._request_id] = trio.current_time()
            await leave()
            return
        if answer in ("EOF", "RESET"):
            self._record.violations.append(f"{self._request_id}: {answer} for an answer")
        if trio.current_time() > sent_at + deadline_ms / 1000.0 + SLACK_S:
            self._record.violations.append(f"{self._request_id}: answered late")
        await self._send_lines(peer, answer)
        await leave()

    async def _send_request(self, peer: LinePeer, request_line: str) -> None:
        # Raised where the balancer answered and closed before the request line was complete.
        with suppress(trio.BrokenResourceError):
            cut = self._rng.choice([0, 0, 0, 9])
            if cut:
                await peer.part(request_line[:cut])
                await trio.sleep(self._rng.uniform(0, 2.2))
            await peer.send(request_line[cut:])

    async def _send_lines(self, peer: LinePeer, line: str) -> None:
        end_at = trio.current_time() + self._rng.uniform(0, 5)
        while line not in ("EOF", "RESET", "MOVE", "BYE") and trio.current_time() < end_at:
            await peer.send("M 1")
            await trio.sleep(self._rng.uniform(0.3, 2))
            with trio.move_on_after(self._rng.uniform(0.1, 0.5)):
                line = await peer.receive()


async def change_endpoints_and_migrate(rng: Random, server: BalancerServer) -> None:
    """Send the engine random endpoint list updates, and migrate all connections at random times."""
    engine = server.engine
    for _ in range(8):
        await trio.sleep(rng.uniform(0, 1.5))
        started_at = rng.choice([0.0, engine.now()])
        changed = Endpoint(
            rng.choice(SERVER_NAMES), lifecycle=rng.choice(list(Lifecycle)), started_at=started_at
        )
        kind = rng.choice([UpdateKind.INCREMENTAL, UpdateKind.SNAPSHOT, None])
        if kind is None:
            for handle in [handle for handle in engine._handles.values() if handle.is_established]:
                engine._execute(MigrateConnection(handle.id))
        elif kind is UpdateKind.SNAPSHOT:
            engine.endpoint_list_received(kind, [Endpoint(name) for name in SERVER_NAMES])
        else:
            engine.endpoint_list_received(kind, [changed])


async def start_random_servers(rng: Random, record: Record, world: scenario.World) -> bytes:
    """Start the servers and return an endpoint list of them."""

    async def serve(stream: trio.SocketStream) -> None:
        await RandomServerConnection(rng, record, stream).serve()

    entries = []
    for name in SERVER_NAMES:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.nursery.start_soon(trio.serve_listeners, serve, [listener])
        port = listener.socket.getsockname()[1]
        entries.append(f'{{"instanceId":"{name}","hostPort":"127.0.0.1:{port}","lifecycle":"up"}}')
    return f'{{"generation":1,"reset":true,"instances":[{",".join(entries)}]}}'.encode()


async def run_until_shutdown(
    rng: Random, record: Record, world: scenario.World, config: Config
) -> BalancerServer:
    """Run a balancer with its clients, shut it down at a random time, and return it once it has exited."""
    process_scope = trio.CancelScope()
    exited = trio.Event()

    async def run_server(task_status: trio.TaskStatus[BalancerServer]) -> None:
        with process_scope:
            await BalancerServer.serve(config, None, task_status)
        exited.set()

    server: BalancerServer = await world.nursery.start(run_server)
    async with trio.open_nursery() as nursery:
        for number in range(1, CLIENT_COUNT + 1):
            nursery.start_soon(RandomClient(rng, record, number).run, server.address)
        nursery.start_soon(change_endpoints_and_migrate, rng, server)
        await trio.sleep(rng.uniform(3, 11))
        terminated_at = trio.current_time()
        await server.shut_down()
        process_scope.cancel()
        await exited.wait()
        assert trio.current_time() < terminated_at + SIGKILL_AFTER_S
    return server


def assert_no_state_left(server: BalancerServer) -> None:
    state = server.engine._balancer.state
    assert server.engine.idle
    requests = state.requests
    assert not (requests.by_id or requests.held or requests.polling)
    assert not any(endpoint.connections for endpoint in state.endpoints.by_id.values())


@pytest.mark.parametrize("seed", [3, 21, 48, 187, 191, 341])
def test_rules_hold_with_random_clients_and_servers(seed: int) -> None:
    rng = Random(seed)
    record = Record()

    async def build(world: scenario.World) -> None:
        known_endpoints = await start_random_servers(rng, record, world)
        config = Config(
            name="n0",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", 1),
            seed=seed,
            sockets=rng.choice([40, 1024]),
            known=known_endpoints,
            settings=world.engine.settings,
            names=NAMES,
            fields=("x0",),
            connect_timeout=rng.choice([60.0, 1000.0]),
            longest=3000.0,
        )
        assert_no_state_left(await run_until_shutdown(rng, record, world, config))

    idempotency = rng.choice(list(Idempotency))
    request_class = RequestClass(
        latency_objective_ms=rng.choice([100.0, 500.0]),
        idempotency=idempotency,
        deduplication_window_ms=rng.choice([100.0, 5000.0]),
    )
    polls_endpoint_list = rng.random() < 0.5
    load_reports_available = rng.random() < 0.5
    scenario.run(
        "",
        build,
        request_classes=(request_class,),
        polls_endpoint_list=polls_endpoint_list,
        load_reports_available=load_reports_available,
        load_report_load_index=0,
        server_reports_latency=False,
    )
    assert not record.find_violations()
