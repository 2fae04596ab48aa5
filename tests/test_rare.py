"""Rare moments: two events that cross, on real sockets, with scripts that force the bad order every time.

Each row of the table in docs/crossings.md names its test here.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable

import pytest
import trio

from tests import scenario
from tests.frontends.line.test_frontend import NAMES, OPEN, OTHER, UP, LinePeer, build, listen
from walkloom.config import Config
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.frontends.line import upstream
from walkloom.frontends.line.connection_shutdown import ConnectionShutdown
from walkloom.load_reports.poller import LoadReportPoller
from walkloom.messages import EndpointId, Idempotency, MigrateConnection, RequestClass
from walkloom.server import BalancerServer
from walkloom.shutdown import KILL_LONGEST_S, KILL_S, ShutdownSchedule
from walkloom.transport.line_stream import open_line_stream

UNSAFE = (RequestClass(latency_objective_ms=500.0, idempotency=Idempotency.NOT_IDEMPOTENT),)
KEYED = (
    RequestClass(latency_objective_ms=500.0, idempotency=Idempotency.WITH_KEY, deduplication_window_ms=300.0),
)
SHORT = 1100.0  # ms; the longest deadline of settings under 3 s
WAITS, AGAIN = (x.replace("d=2000", "d=1100") for x in (OPEN, OTHER))
LAST = OPEN.replace("d=2000", "d=3000")  # its deadline comes after the last answer of a stop
STANDS = UP.replace("d=2000", "d=1100")


def instance(longest: float = 3000.0) -> Callable[[scenario.World], Awaitable[None]]:
    """A whole balancer before two servers; `term` is its planned stop."""

    async def made(world: scenario.World) -> None:
        known = await listen(world)
        conf = Config(
            "n0", ("127.0.0.1", 0), ("127.0.0.1", 1), 1, 1024, known, world.engine.settings, NAMES, (),
            world.connect_timeout, longest,
        )  # fmt: skip
        scope = trio.CancelScope()
        gone = trio.Event()

        async def serve(task_status: trio.TaskStatus[BalancerServer]) -> None:
            with scope:
                await BalancerServer.serve(conf, None, task_status)
            gone.set()

        server: BalancerServer = await world.nursery.start(serve)

        async def leave() -> None:
            before = trio.current_time()
            await server.shut_down()
            scope.cancel()
            await gone.wait()
            kill = min(longest / 1000.0, KILL_LONGEST_S) + KILL_S
            assert trio.current_time() - before < kill, "still there at SIGKILL"

        async def dial_it(who: str) -> LinePeer:
            return LinePeer(await trio.open_tcp_stream(*server.address))

        world.dial = dial_it

        async def term(_: str) -> None:
            world.nursery.start_soon(leave)

        world.verbs["term"] = term
        world.instance = server  # type: ignore[attr-defined]
        world.gone = gone  # type: ignore[attr-defined]

    return made


@pytest.mark.parametrize("longest", [50.0, 300.0, SHORT, 3000.0, 8000.0])
def test_a_planned_stop_keeps_its_time_whatever_the_longest_deadline(longest: float) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s where it is longer."""
    plan, kill = ShutdownSchedule.of(longest), min(longest / 1000.0, 3.0) + 0.7
    last = plan.migrate_from + plan.migrate_for
    assert 0.0 < plan.migrate_from < last < plan.answer_by < plan.exit_by < kill
    assert last > 0.2 and kill - plan.exit_by > 0.05


STOPS = {
    "settings with short deadlines: what stands is moved in time": (SHORT, STANDS + """
        term
        within 1200 c expect MOVE
        c expect EOF
        s1 expect EOF""", {}),
    "settings with long deadlines: what stands is moved before SIGKILL at 3.7 s": (8000.0, UP + """
        term
        within 3000 c expect MOVE
        c expect EOF""", {}),
    "a hung server and a request that may be repeated: refused in time": (SHORT, f"""
        c send {WAITS}
        s1 expect OPEN*
        term
        within 1700 c expect BUSY*
        c expect EOF
        s1 expect EOF""", {}),
    "a hung server and a request that may not be repeated: failed, not refused": (3000.0, f"""
        term
        wait 350
        c send {LAST}
        s1 expect OPEN*
        within 2960 c expect ERR
        c expect EOF
        s1 expect EOF""", {"request_classes": UNSAFE}),
    "a hung server and a request that would wait longer than the stop may take: failed in time": (8000.0, f"""
        c send {OPEN.replace("d=2000", "d=8000")}
        s1 expect OPEN*
        term
        within 3400 c expect ERR
        c expect EOF""", {"request_classes": UNSAFE}),
    "a hung server and a request that may be repeated, in the last moment: refused": (3000.0, f"""
        term
        wait 350
        c send {LAST}
        s1 expect OPEN*
        s2 expect OPEN*
        s3 expect OPEN*
        within 1500 c expect BUSY*
        c expect EOF""", {}),
    "an RPC that comes up after the last move is moved as the program ends": (3000.0, f"""
        term
        wait 350
        c send {LAST}
        s1 expect OPEN*
        wait 2946
        s1 send UP 8
        c expect UP 8
        within 100 c expect MOVE
        c expect EOF
        s1 expect EOF""", {"request_classes": UNSAFE}),
    "a client that reads slowly, as its line is half written": (SHORT, STANDS + """
        s1 flood
        term
        wait 1300
        c flooded MOVE
        c expect EOF""", {}),
    "a channel at rest is told that nothing was sent on": (3000.0, """
        wait 1000
        c part OP
        term
        within 700 c expect BUSY
        c expect EOF""", {}),
    "its request arrives after the shutdown: answered, not reset, not sent on": (3000.0, f"""
        wait 1000
        c part OP
        term
        within 700 c expect BUSY
        c part {OPEN[2:]}\\r\\n
        c expect EOF
        c close""", {}),
    "a client that comes at once again after its MOVE": (SHORT, STANDS + f"""
        term
        within 1200 c expect MOVE
        c2 send {AGAIN}
        within 100 c2 expect BUSY*
        c2 expect EOF""", {}),
}  # fmt: skip


@pytest.mark.parametrize("longest, script, changes", STOPS.values(), ids=STOPS.keys())
def test_a_planned_stop_crosses(longest: float, script: str, changes: dict[str, object]) -> None:
    async def ends(world: scenario.World) -> None:
        await instance(longest)(world)

    scenario.run(script, ends, (), **changes)


@pytest.mark.parametrize("time", range(4))  # which task of a tick runs first is chance
def test_a_client_that_waits_to_be_accepted_as_the_program_ends_is_answered(
    monkeypatch: pytest.MonkeyPatch, time: int
) -> None:
    """It is in the listener's queue as the accepting ends; with the listener it would be reset."""
    end = ConnectionShutdown.shut_down
    clients: list[socket.socket] = []

    async def crossing(world: scenario.World) -> None:
        await instance(50.0)(world)
        address = world.instance.address  # type: ignore[attr-defined]

        async def crossed(self: ConnectionShutdown, gone_at: float) -> None:
            # not trio's: no other task runs meanwhile
            clients.append(socket.create_connection(address))
            clients[0].sendall(f"{OPEN.replace('2000', '50')}\r\n".encode())
            await end(self, gone_at)

        monkeypatch.setattr(ConnectionShutdown, "shut_down", crossed)
        await world.verbs["term"]("")
        await world.gone.wait()  # type: ignore[attr-defined]
        with clients[0] as client:
            client.setblocking(False)
            peer = LinePeer(trio.SocketStream(trio.socket.from_stdlib_socket(client)))
            assert (await peer.receive()).startswith("BUSY") and await peer.receive() == "EOF"
        assert not world.taken

    scenario.run("", crossing)


RESTS = {
    "its request crosses the end of its time: refused, not reset, not sent on": f"""
        c part OP
        within 2100 c expect BUSY
        c part {OPEN[2:]}\\r\\n
        c expect EOF
        c close
        c2 send {OTHER}
        s1 expect OPEN aa*""",
    "a flood after the answer is drained, not reset": f"""
        c send OPEN 1 zz c=chat
        c expect ERR
        c part {"x" * 100_000}
        c expect EOF""",
    "half a line of a server, then its end": UP + "s1 part M 1 ha\ns1 close\nc expect M 1 ha\nc expect EOF",
    "half a line of a server when its client is moved": UP + """
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
}  # fmt: skip


@pytest.mark.parametrize("script", RESTS.values(), ids=RESTS.keys())
def test_a_close_crosses(script: str) -> None:
    scenario.run(script, build)


MOVES = {
    "a client that goes on sending reads its MOVE and the end, not a reset": UP + """
        crossing 1
        c send M 0
        c expect MOVE
        c part """ + r"M 1\r\n" * 5000 + """
        c expect EOF
        wait 1000
        forgotten""",
    "a client that leaves in that tick": UP + """
        crossing 1
        c close
        s1 expect EOF
        within 900 c expect *
        wait 1000
        forgotten""",
    "a client that resets in that tick": UP + """
        crossing 1
        c reset
        s1 expect [ER]*
        wait 1000
        forgotten""",
    "after the server's BYE, before its end": UP + """
        s1 send BYE
        c expect BYE
        now
        wait 10
        s1 close
        c expect EOF
        wait 1000
        forgotten""",
    "a server that ends in that tick": UP + """
        crossing 1
        s1 send BYE
        s1 close
        c expect [BM]*
        c expect EOF
        wait 1000
        forgotten""",
    "a client that reads slowly gets the rest of its line before the MOVE": UP + """
        s1 flood
        crossing 1
        c send M 0
        wait 700
        c flooded MOVE
        c expect EOF
        wait 1000
        forgotten""",
    "one that is told twice is moved once": UP + """
        crossing 2
        c send M 0
        c expect MOVE
        c expect EOF
        wait 1000
        forgotten""",
}  # fmt: skip


@pytest.mark.parametrize("script", MOVES.values(), ids=MOVES.keys())
def test_a_move_crosses(script: str) -> None:
    """The module's order comes in the tick in which a side of the relay wakes."""

    async def ends(world: scenario.World) -> None:
        await build(world)

        async def crossing(times: str) -> None:
            def move() -> None:
                for _ in range(int(times)):
                    world.engine._act(MigrateConnection(1))

            scenario.BeforeStep("Relay._first", move)

        async def now(_: str) -> None:
            world.engine._act(MigrateConnection(1))

        world.verbs |= {"crossing": crossing, "now": now}

    scenario.run(script, ends)


class Late:
    """Connections to servers come up when the script lets them: `free`, or after `delay` seconds of each."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *delays: float) -> None:
        self.asked, self._delays = 0, list(delays)
        monkeypatch.setattr(upstream, "open_line_stream", self.dial)

    async def dial(self, address: tuple[str, int]) -> object:
        self.asked += 1
        await trio.sleep(self._delays.pop(0) if self._delays else 0.0)
        return await open_line_stream(address)


@pytest.mark.parametrize("how", ["close", "reset", "part junk\\r\\n\nc reset"])
def test_a_client_that_left_while_its_attempt_connected_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    late = Late(monkeypatch, 0.05)
    script = f"""
        c send {OPEN}
        wait 20
        c {how}
        wait 5
        forgotten
        wait 400
        c2 send {OTHER}
        s1 expect OPEN aa*"""
    scenario.run(script, build)
    assert late.asked == 2


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_left_while_it_waited_for_room_is_not_sent_on(how: str) -> None:
    """Held, as both servers had turned the one before away; they are free again 1 s later."""
    script = f"""
        c send {OTHER}
        s1 expect OPEN aa*
        s1 send BUSY
        s2 expect OPEN aa*
        s2 send BUSY
        c2 send {OPEN}
        wait 200
        c2 {how}
        c close
        wait 5
        forgotten
        wait 1500
        c3 send {OPEN.replace("9b1f", "ab")}
        s3 expect OPEN ab*"""
    scenario.run(script, build)


def test_a_client_that_left_while_servers_were_asked_for_their_load_is_not_sent_on() -> None:
    """Nobody answers; after 60 ms the request would be placed without."""
    script = f"""
        c send {OPEN}
        wait 20
        c close
        wait 5
        forgotten
        wait 300
        c2 send {OTHER}
        s1 expect OPEN aa*"""
    scenario.run(
        script, build, load_reports_available=True, load_report_load_index=0, server_reports_latency=False
    )


@pytest.mark.parametrize("how", ["close", "reset", "part junk\\r\\n\nc reset"])
def test_a_client_that_left_while_its_attempt_was_out_is_not_tried_elsewhere(how: str) -> None:
    script = f"""
        c send {OPEN}
        s1 expect OPEN*
        c {how}
        within 10 s1 expect EOF
        wait 5
        forgotten
        wait 600
        c2 send {OTHER}
        s2 expect OPEN aa*"""
    scenario.run(script, build)


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rule 2: repeats of this class are dropped for 300 ms; the second connection is up 350 ms after."""
    Late(monkeypatch, 0.0, 0.35)
    script = f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 send ERR
        s2 expect EOF
        c expect BUSY*"""
    scenario.run(script, build, connect_timeout=1000.0, request_classes=KEYED)


def test_a_drain_told_between_choice_and_connection_is_heeded(monkeypatch: pytest.MonkeyPatch) -> None:
    Late(monkeypatch, 0.7)
    script = f"""
        c send {OPEN}
        list draining
        s1 expect EOF
        c expect BUSY*"""
    scenario.run(script, build, connect_timeout=1000.0, request_classes=UNSAFE)


def test_an_attempt_that_connects_as_the_program_ends_is_given_up_and_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Though it may not be repeated: nothing was sent, and nothing is sent on afterwards."""
    late = Late(monkeypatch, 9.0)
    script = f"""
        term
        wait 350
        c send {LAST}
        within 2960 c expect BUSY*
        c expect EOF
        wait 9000"""
    worlds: list[scenario.World] = []

    async def ends(world: scenario.World) -> None:
        worlds.append(world)
        await instance()(world)

    scenario.run(script, ends, connect_timeout=math.inf, request_classes=UNSAFE)
    assert late.asked == 1 and not worlds[0].taken


def test_deadlines_are_kept_though_every_connection_is_late(monkeypatch: pytest.MonkeyPatch) -> None:
    Late(monkeypatch, *[1.5] * 9)
    scenario.run(f"c send {WAITS}\nwithin 1100 c expect BUSY*\nc expect EOF", build, connect_timeout=math.inf)


ASKED = """
    probe a
    s1 expect STATS
    s1 send PONG x0=0.5
    told a=0.5
"""
ANEW = """
    within 10 s2 expect STATS
    s2 send PONG x0=0.25
    told a=0.25
"""
PROBES = {
    "a server that closed what rested is asked over a new connection": ASKED + "s1 close\nprobe a" + ANEW,
    "one that closes it as the question comes": ASKED + "probe a\ns1 expect STATS\ns1 close" + ANEW,
    "or resets it": ASKED + "probe a\ns1 expect STATS\ns1 reset" + ANEW,
    "a new connection that ends at once is not tried again": """
        probe a
        s1 expect STATS
        s1 close
        wait 500
        probe a"""
    + ANEW,
    "a server that moved is asked where it is now": ASKED + "swap\nprobe a\ns1 expect EOF" + ANEW,
    "a question in the tick in which the connection would be closed": ASKED
    + """
        idle
        wait 10001
        s1 expect STATS
        s1 send PONG x0=0.25
        told a=0.25""",
}


@pytest.mark.parametrize("script", PROBES.values(), ids=PROBES.keys())
def test_a_probe_crosses(script: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def asks(world: scenario.World) -> None:
        watcher = EndpointWatcher(world.engine, ("127.0.0.1", 1), NAMES)
        body = await listen(world)
        watcher.load_cached(body)
        poller = LoadReportPoller(world.engine, watcher, ("x0",), 8)
        world.nursery.start_soon(poller.run)
        told, told_to = trio.open_memory_channel[str](9)

        def probed(server: EndpointId, elapsed: float, report: tuple[float, ...]) -> None:
            told.send_nowait(f"{server}={report[0]}")

        monkeypatch.setattr(world.engine, "load_report_received", probed)

        async def probe(server: str) -> None:
            world.engine._load_report_requests.send_nowait(server)

        async def expect(what: str) -> None:
            assert await told_to.receive() == what

        async def swap(_: str) -> None:
            names = body.replace(b'"a"', b'"c"').replace(b'"b"', b'"a"').replace(b'"c"', b'"b"')
            watcher.load_cached(names)

        async def idle(_: str) -> None:
            scenario.BeforeStep("LoadReportPoller._stand", lambda: poller._open["a"].send_nowait(None))

        world.verbs |= {"probe": probe, "told": expect, "swap": swap, "idle": idle}

    scenario.run(script, asks)


@pytest.mark.parametrize("patience", [45, 50, 60, 80, 100])
def test_an_answer_comes_in_time_where_servers_say_nothing_of_their_load(patience: int) -> None:
    """Its deadline comes before the wait for reports is over."""
    script = f"""
        c send {OPEN.replace("2000", str(patience))}
        within {patience} s1 expect OPEN*
        s1 send UP 7
        c expect UP 7"""
    scenario.run(
        script, build, load_reports_available=True, load_report_load_index=0, server_reports_latency=False
    )
