"""Races between two events on real sockets, with scripts that force the unfavourable order in every run.

Each row of the table in docs/crossings.md names its test here.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
import trio

from tests import scenario
from tests.frontends.line.harness import (
    ESTABLISHED,
    NAMES,
    OPEN,
    OTHER_OPEN,
    LinePeer,
    build_frontend,
    start_servers,
)
from walkloom.config import Config
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.frontends.line import upstream
from walkloom.frontends.line.connection_shutdown import ConnectionShutdown
from walkloom.load_reports.poller import LoadReportPoller
from walkloom.messages import EndpointId, Idempotency, MigrateConnection, RequestClass
from walkloom.server import BalancerServer
from walkloom.shutdown import MAX_COUNTED_DEADLINE_S, SIGKILL_DELAY_S, ShutdownSchedule
from walkloom.transport.line_stream import open_line_stream

NOT_IDEMPOTENT = (RequestClass(latency_objective_ms=500.0, idempotency=Idempotency.NOT_IDEMPOTENT),)
IDEMPOTENT_WITH_KEY = (
    RequestClass(latency_objective_ms=500.0, idempotency=Idempotency.WITH_KEY, deduplication_window_ms=300.0),
)
# SIGKILL comes later for a longer deadline, up to a deadline of 3 s; this one is shorter.
SHORT_DEADLINE_MS = 1100.0
OPEN_WITH_SHORT_DEADLINE = OPEN.replace("d=2000", "d=1100")
OTHER_OPEN_WITH_SHORT_DEADLINE = OTHER_OPEN.replace("d=2000", "d=1100")
ESTABLISHED_WITH_SHORT_DEADLINE = ESTABLISHED.replace("d=2000", "d=1100")
# Its deadline ends after a shutdown has given its last answer.
OPEN_WITH_LATE_DEADLINE = OPEN.replace("d=2000", "d=3000")


def make_config(world: scenario.World, known_endpoints: bytes, longest_deadline_ms: float) -> Config:
    return Config(
        name="n0",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", 1),
        seed=1,
        sockets=1024,
        known=known_endpoints,
        settings=world.engine.settings,
        names=NAMES,
        fields=(),
        connect_timeout=world.connect_timeout,
        longest=longest_deadline_ms,
    )


def build_server(longest_deadline_ms: float = 3000.0) -> Callable[[scenario.World], Awaitable[None]]:
    """Return a builder of a whole balancer with two servers; `terminate` starts its graceful shutdown."""

    async def build(world: scenario.World) -> None:
        known_endpoints = await start_servers(world)
        config = make_config(world, known_endpoints, longest_deadline_ms)
        process_scope = trio.CancelScope()
        exited = trio.Event()

        async def serve(task_status: trio.TaskStatus[BalancerServer]) -> None:
            with process_scope:
                await BalancerServer.serve(config, None, task_status)
            exited.set()

        server: BalancerServer = await world.nursery.start(serve)

        async def shut_down() -> None:
            terminated_at_s = trio.current_time()
            await server.shut_down()
            process_scope.cancel()
            await exited.wait()
            sigkill_after_s = min(longest_deadline_ms / 1000.0, MAX_COUNTED_DEADLINE_S) + SIGKILL_DELAY_S
            assert trio.current_time() - terminated_at_s < sigkill_after_s, "still running at SIGKILL"

        async def dial(_client: str) -> LinePeer:
            return LinePeer(await trio.open_tcp_stream(*server.address))

        async def terminate(_arguments: str) -> None:
            world.nursery.start_soon(shut_down)

        world.dial = dial
        world.verbs["terminate"] = terminate
        world.server = server  # type: ignore[attr-defined]
        world.exited = exited  # type: ignore[attr-defined]

    return build


@pytest.mark.parametrize("longest_deadline_ms", [50.0, 300.0, SHORT_DEADLINE_MS, 3000.0, 8000.0])
def test_a_graceful_shutdown_ends_before_sigkill_whatever_the_longest_deadline(
    longest_deadline_ms: float,
) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s where it is longer."""
    schedule = ShutdownSchedule.for_longest_deadline(longest_deadline_ms)
    sigkill_after_s = min(longest_deadline_ms / 1000.0, 3.0) + 0.7
    migrate_until = schedule.migration_starts_after_s + schedule.migration_duration_s
    assert 0.0 < schedule.migration_starts_after_s < migrate_until
    assert migrate_until < schedule.final_answers_after_s < schedule.process_ends_after_s < sigkill_after_s
    assert migrate_until > 0.2
    assert sigkill_after_s - schedule.process_ends_after_s > 0.05


@dataclass(frozen=True, slots=True)
class ShutdownCase:
    """A script that includes a graceful shutdown."""

    # Determines when SIGKILL comes.
    longest_deadline_ms: float

    script: str

    # The settings to change.
    settings: dict[str, object] = field(default_factory=dict)


SHUTDOWN_CASES = {
    "settings with short deadlines: what is established is migrated in time": ShutdownCase(
        longest_deadline_ms=SHORT_DEADLINE_MS,
        script=ESTABLISHED_WITH_SHORT_DEADLINE
        + """
        terminate
        within 1200 c expect MOVE
        c expect EOF
        s1 expect EOF""",
    ),
    "settings with long deadlines: what is established is migrated before SIGKILL at 3.7 s": ShutdownCase(
        longest_deadline_ms=8000.0,
        script=ESTABLISHED
        + """
        terminate
        within 3000 c expect MOVE
        c expect EOF""",
    ),
    "a hung server and a request that may be repeated: rejected in time": ShutdownCase(
        longest_deadline_ms=SHORT_DEADLINE_MS,
        script=f"""
        c send {OPEN_WITH_SHORT_DEADLINE}
        s1 expect OPEN*
        terminate
        within 1700 c expect BUSY*
        c expect EOF
        s1 expect EOF""",
    ),
    "a hung server and a request that may not be repeated: failed, not rejected": ShutdownCase(
        longest_deadline_ms=3000.0,
        script=f"""
        terminate
        wait 350
        c send {OPEN_WITH_LATE_DEADLINE}
        s1 expect OPEN*
        within 2960 c expect ERR
        c expect EOF
        s1 expect EOF""",
        settings={"request_classes": NOT_IDEMPOTENT},
    ),
    "a hung server and a request that would outlast the shutdown: failed in time": ShutdownCase(
        longest_deadline_ms=8000.0,
        script=f"""
        c send {OPEN.replace("d=2000", "d=8000")}
        s1 expect OPEN*
        terminate
        within 3400 c expect ERR
        c expect EOF""",
        settings={"request_classes": NOT_IDEMPOTENT},
    ),
    "a hung server and a request that may be repeated, in the last moment: rejected": ShutdownCase(
        longest_deadline_ms=3000.0,
        script=f"""
        terminate
        wait 350
        c send {OPEN_WITH_LATE_DEADLINE}
        s1 expect OPEN*
        s2 expect OPEN*
        s3 expect OPEN*
        within 1500 c expect BUSY*
        c expect EOF""",
    ),
    "a connection established after the last migration is migrated as the program ends": ShutdownCase(
        longest_deadline_ms=3000.0,
        script=f"""
        terminate
        wait 350
        c send {OPEN_WITH_LATE_DEADLINE}
        s1 expect OPEN*
        wait 2946
        s1 send UP 8
        c expect UP 8
        within 100 c expect MOVE
        c expect EOF
        s1 expect EOF""",
        settings={"request_classes": NOT_IDEMPOTENT},
    ),
    "a client that reads slowly, as its line is half written": ShutdownCase(
        longest_deadline_ms=SHORT_DEADLINE_MS,
        script=ESTABLISHED_WITH_SHORT_DEADLINE
        + """
        s1 flood
        terminate
        wait 1300
        c flooded MOVE
        c expect EOF""",
    ),
    "an idle client connection reads that nothing was sent on": ShutdownCase(
        longest_deadline_ms=3000.0,
        script="""
        wait 1000
        c part OP
        terminate
        within 700 c expect BUSY
        c expect EOF""",
    ),
    "its request arrives after the shutdown: answered, not reset, not sent on": ShutdownCase(
        longest_deadline_ms=3000.0,
        script=f"""
        wait 1000
        c part OP
        terminate
        within 700 c expect BUSY
        c part {OPEN[2:]}\\r\\n
        c expect EOF
        c close""",
    ),
    "a client that comes at once again after its MOVE": ShutdownCase(
        longest_deadline_ms=SHORT_DEADLINE_MS,
        script=ESTABLISHED_WITH_SHORT_DEADLINE
        + f"""
        terminate
        within 1200 c expect MOVE
        c2 send {OTHER_OPEN_WITH_SHORT_DEADLINE}
        within 100 c2 expect BUSY*
        c2 expect EOF""",
    ),
}


@pytest.mark.parametrize("case", SHUTDOWN_CASES.values(), ids=SHUTDOWN_CASES.keys())
def test_a_graceful_shutdown_answers_every_client(case: ShutdownCase) -> None:
    scenario.run(case.script, build_server(case.longest_deadline_ms), (), **case.settings)


# Repeated, because trio runs the tasks of one tick in random order.
@pytest.mark.parametrize("repetition", range(4))
def test_a_client_that_waits_to_be_accepted_as_the_program_ends_is_answered(
    monkeypatch: pytest.MonkeyPatch, repetition: int
) -> None:
    """It is in the listener's queue as the balancer stops accepting; closing the listener would reset it."""
    real_shut_down = ConnectionShutdown.shut_down
    clients: list[socket.socket] = []

    async def build(world: scenario.World) -> None:
        await build_server(50.0)(world)
        address = world.server.address  # type: ignore[attr-defined]

        async def connect_and_shut_down(self: ConnectionShutdown, exit_at_s: float) -> None:
            # A blocking socket, so that no other task runs before the shutdown.
            clients.append(socket.create_connection(address))
            clients[0].sendall(f"{OPEN.replace('2000', '50')}\r\n".encode())
            await real_shut_down(self, exit_at_s)

        monkeypatch.setattr(ConnectionShutdown, "shut_down", connect_and_shut_down)
        await world.verbs["terminate"]("")
        await world.exited.wait()  # type: ignore[attr-defined]
        with clients[0] as client:
            client.setblocking(False)
            peer = LinePeer(trio.SocketStream(trio.socket.from_stdlib_socket(client)))
            assert (await peer.receive()).startswith("BUSY") and await peer.receive() == "EOF"
        assert not world.server_connections

    scenario.run("", build)


CLOSE_RACES = {
    "its request crosses the end of its time: rejected, not reset, not sent on": f"""
        c part OP
        within 2100 c expect BUSY
        c part {OPEN[2:]}\\r\\n
        c expect EOF
        c close
        c2 send {OTHER_OPEN}
        s1 expect OPEN aa*""",
    "a flood after the answer is drained, not reset": f"""
        c send OPEN 1 zz c=chat
        c expect ERR
        c part {"x" * 100_000}
        c expect EOF""",
    "half a line of a server, then its end": ESTABLISHED
    + "s1 part M 1 ha\ns1 close\nc expect M 1 ha\nc expect EOF",
    "half a line of a server when its client is migrated": ESTABLISHED
    + """
        s1 part M 1 ha
        stop
        within 2100 c expect MOVE
        c expect EOF""",
    "half an answer, then the end: tried elsewhere": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 part UP 7
        s1 close
        s2 expect OPEN*
        s2 send UP 5
        c expect UP 5""",
    "a second answer right after the first: the first holds": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 part BUSY\\r\\nUP 7\\r\\n
        s1 expect EOF
        s2 expect OPEN*
        s2 send UP 5
        c expect UP 5""",
    "an answer that never ends is an error, and tried elsewhere": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 part UP {"7" * 5000}
        s2 expect OPEN*
        s2 send UP 5
        c expect UP 5""",
    "the client leaves before the answer: the server is let go": f"""
        c send {OPEN}
        s1 expect OPEN*
        c close
        within 10 s1 expect EOF""",
    "the client has left as the answer comes: the server is let go": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 send UP 7
        c close
        within 10 s1 expect EOF""",
}


@pytest.mark.parametrize("script", CLOSE_RACES.values(), ids=CLOSE_RACES.keys())
def test_a_close_that_crosses_input_loses_nothing(script: str) -> None:
    scenario.run(script, build_frontend)


MIGRATION_RACES = {
    "a client that goes on sending reads its MOVE and the end, not a reset": ESTABLISHED
    + """
        migrate_crossing 1
        c send M 0
        c expect MOVE
        c part """
    + r"M 1\r\n" * 5000
    + """
        c expect EOF
        wait 1000
        nothing_open""",
    "a client that leaves in that tick": ESTABLISHED
    + """
        migrate_crossing 1
        c close
        s1 expect EOF
        within 900 c expect *
        wait 1000
        nothing_open""",
    "a client that resets in that tick": ESTABLISHED
    + """
        migrate_crossing 1
        c reset
        s1 expect [ER]*
        wait 1000
        nothing_open""",
    "after the server's BYE, before its end": ESTABLISHED
    + """
        s1 send BYE
        c expect BYE
        migrate_now
        wait 10
        s1 close
        c expect EOF
        wait 1000
        nothing_open""",
    "a server that ends in that tick": ESTABLISHED
    + """
        migrate_crossing 1
        s1 send BYE
        s1 close
        c expect [BM]*
        c expect EOF
        wait 1000
        nothing_open""",
    "a client that reads slowly gets the rest of its line before the MOVE": ESTABLISHED
    + """
        s1 flood
        migrate_crossing 1
        c send M 0
        wait 700
        c flooded MOVE
        c expect EOF
        wait 1000
        nothing_open""",
    "one that is migrated twice reads one MOVE": ESTABLISHED
    + """
        migrate_crossing 2
        c send M 0
        c expect MOVE
        c expect EOF
        wait 1000
        nothing_open""",
}


@pytest.mark.parametrize("script", MIGRATION_RACES.values(), ids=MIGRATION_RACES.keys())
def test_a_migration_that_crosses_an_end_sends_one_move_at_most(script: str) -> None:
    """The policy's command is carried out in the tick in which a task of the relay wakes."""

    async def build(world: scenario.World) -> None:
        await build_frontend(world)

        async def migrate_crossing(times: str) -> None:
            def migrate() -> None:
                for _ in range(int(times)):
                    world.engine._execute(MigrateConnection(1))

            scenario.BeforeStep("Relay._run_relay_task", migrate)

        async def migrate_now(_arguments: str) -> None:
            world.engine._execute(MigrateConnection(1))

        world.verbs["migrate_crossing"] = migrate_crossing
        world.verbs["migrate_now"] = migrate_now

    scenario.run(script, build)


class DelayedConnects:
    """Delays connections to servers: each uses the next of `delays_s`, and later ones have no delay."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *delays_s: float) -> None:
        self.count = 0
        self._delays_s = list(delays_s)
        monkeypatch.setattr(upstream, "open_line_stream", self._connect)

    async def _connect(self, address: tuple[str, int]) -> object:
        self.count += 1
        await trio.sleep(self._delays_s.pop(0) if self._delays_s else 0.0)
        return await open_line_stream(address)


@pytest.mark.parametrize("departure", ["close", "reset", "part junk\\r\\n\nc reset"])
def test_a_request_whose_client_left_while_its_attempt_connected_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, departure: str
) -> None:
    delayed_connects = DelayedConnects(monkeypatch, 0.05)
    script = f"""
        c send {OPEN}
        wait 20
        c {departure}
        wait 5
        nothing_open
        wait 400
        c2 send {OTHER_OPEN}
        s1 expect OPEN aa*"""
    scenario.run(script, build_frontend)
    assert delayed_connects.count == 2


@pytest.mark.parametrize("departure", ["close", "reset"])
def test_a_request_whose_client_left_while_it_waited_for_capacity_is_not_sent(departure: str) -> None:
    """Both servers answer an earlier request with BUSY; they count as at capacity for 1 s after that."""
    script = f"""
        c send {OTHER_OPEN}
        s1 expect OPEN aa*
        s1 send BUSY
        s2 expect OPEN aa*
        s2 send BUSY
        c2 send {OPEN}
        wait 200
        c2 {departure}
        c close
        wait 5
        nothing_open
        wait 1500
        c3 send {OPEN.replace("9b1f", "ab")}
        s3 expect OPEN ab*"""
    scenario.run(script, build_frontend)


def test_a_request_whose_client_left_while_load_reports_were_polled_is_not_sent() -> None:
    """No server answers the poll; after 60 ms the request would be placed without load reports."""
    script = f"""
        c send {OPEN}
        wait 20
        c close
        wait 5
        nothing_open
        wait 300
        c2 send {OTHER_OPEN}
        s1 expect OPEN aa*"""
    scenario.run(
        script,
        build_frontend,
        load_reports_available=True,
        load_report_load_index=0,
        server_reports_latency=False,
    )


@pytest.mark.parametrize("departure", ["close", "reset", "part junk\\r\\n\nc reset"])
def test_a_request_whose_client_left_during_its_attempt_is_not_retried(departure: str) -> None:
    script = f"""
        c send {OPEN}
        s1 expect OPEN*
        c {departure}
        within 10 s1 expect EOF
        wait 5
        nothing_open
        wait 600
        c2 send {OTHER_OPEN}
        s2 expect OPEN aa*"""
    scenario.run(script, build_frontend)


def test_a_retry_that_connects_after_its_deduplication_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rule 2: servers deduplicate this class for 300 ms; the second connection takes 350 ms."""
    DelayedConnects(monkeypatch, 0.0, 0.35)
    script = f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 send ERR
        s2 expect EOF
        c expect BUSY*"""
    scenario.run(script, build_frontend, connect_timeout=1000.0, request_classes=IDEMPOTENT_WITH_KEY)


def test_a_drain_that_begins_while_an_attempt_connects_is_heeded(monkeypatch: pytest.MonkeyPatch) -> None:
    DelayedConnects(monkeypatch, 0.7)
    script = f"""
        c send {OPEN}
        list draining
        s1 expect EOF
        c expect BUSY*"""
    scenario.run(script, build_frontend, connect_timeout=1000.0, request_classes=NOT_IDEMPOTENT)


def test_an_attempt_that_connects_as_the_program_ends_is_cancelled_and_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is rejected although it is not idempotent: nothing was sent, and nothing is sent afterwards."""
    delayed_connects = DelayedConnects(monkeypatch, 9.0)
    script = f"""
        terminate
        wait 350
        c send {OPEN_WITH_LATE_DEADLINE}
        within 2960 c expect BUSY*
        c expect EOF
        wait 9000"""
    worlds: list[scenario.World] = []

    async def build(world: scenario.World) -> None:
        worlds.append(world)
        await build_server()(world)

    scenario.run(script, build, connect_timeout=math.inf, request_classes=NOT_IDEMPOTENT)
    assert delayed_connects.count == 1
    assert not worlds[0].server_connections


def test_deadlines_are_kept_though_every_attempt_connects_late(monkeypatch: pytest.MonkeyPatch) -> None:
    DelayedConnects(monkeypatch, *[1.5] * 9)
    scenario.run(
        f"c send {OPEN_WITH_SHORT_DEADLINE}\nwithin 1100 c expect BUSY*\nc expect EOF",
        build_frontend,
        connect_timeout=math.inf,
    )


POLLED_ON_FIRST_CONNECTION = """
    poll a
    s1 expect STATS
    s1 send PONG x0=0.5
    reported a=0.5
"""
POLLED_ON_NEW_CONNECTION = """
    within 10 s2 expect STATS
    s2 send PONG x0=0.25
    reported a=0.25
"""
LOAD_REPORT_POLLS = {
    "a server that closed the idle connection is polled over a new one": POLLED_ON_FIRST_CONNECTION
    + "s1 close\npoll a"
    + POLLED_ON_NEW_CONNECTION,
    "one that closes it as the poll comes": POLLED_ON_FIRST_CONNECTION
    + "poll a\ns1 expect STATS\ns1 close"
    + POLLED_ON_NEW_CONNECTION,
    "or resets it": POLLED_ON_FIRST_CONNECTION
    + "poll a\ns1 expect STATS\ns1 reset"
    + POLLED_ON_NEW_CONNECTION,
    "a new connection that ends at once is not tried again": """
        poll a
        s1 expect STATS
        s1 close
        wait 500
        poll a"""
    + POLLED_ON_NEW_CONNECTION,
    "a server that moved is polled at its new address": POLLED_ON_FIRST_CONNECTION
    + "swap_addresses\npoll a\ns1 expect EOF"
    + POLLED_ON_NEW_CONNECTION,
    "a poll in the tick in which the idle connection would be closed": POLLED_ON_FIRST_CONNECTION
    + """
        end_idle_time
        wait 10001
        s1 expect STATS
        s1 send PONG x0=0.25
        reported a=0.25""",
}


@pytest.mark.parametrize("script", LOAD_REPORT_POLLS.values(), ids=LOAD_REPORT_POLLS.keys())
def test_a_poll_that_crosses_a_close_is_answered(script: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def build(world: scenario.World) -> None:
        watcher = EndpointWatcher(world.engine, ("127.0.0.1", 1), NAMES)
        endpoint_list = await start_servers(world)
        watcher.load_cached(endpoint_list)
        poller = LoadReportPoller(world.engine, watcher, ("x0",), 8)
        world.nursery.start_soon(poller.run)
        send_report, receive_report = trio.open_memory_channel[str](9)

        def record_report(server: EndpointId, elapsed: float, report: tuple[float, ...]) -> None:
            send_report.send_nowait(f"{server}={report[0]}")

        monkeypatch.setattr(world.engine, "load_report_received", record_report)

        async def poll(endpoint_id: str) -> None:
            world.engine._load_report_requests.send_nowait(endpoint_id)

        async def expect_report(expected: str) -> None:
            assert await receive_report.receive() == expected

        async def swap_addresses(_arguments: str) -> None:
            swapped = endpoint_list.replace(b'"a"', b'"c"').replace(b'"b"', b'"a"').replace(b'"c"', b'"b"')
            watcher.load_cached(swapped)

        async def end_idle_time(_arguments: str) -> None:
            scenario.BeforeStep(
                "LoadReportPoller._poll_repeatedly", lambda: poller._poll_channels["a"].send_nowait(None)
            )

        world.verbs["poll"] = poll
        world.verbs["reported"] = expect_report
        world.verbs["swap_addresses"] = swap_addresses
        world.verbs["end_idle_time"] = end_idle_time

    scenario.run(script, build)


@pytest.mark.parametrize("patience_ms", [45, 50, 60, 80, 100])
def test_an_answer_comes_in_time_although_no_load_report_does(patience_ms: int) -> None:
    """The deadline may end before the wait for load reports does."""
    script = f"""
        c send {OPEN.replace("2000", str(patience_ms))}
        within {patience_ms} s1 expect OPEN*
        s1 send UP 7
        c expect UP 7"""
    scenario.run(
        script,
        build_frontend,
        load_reports_available=True,
        load_report_load_index=0,
        server_reports_latency=False,
    )
