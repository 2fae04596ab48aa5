"""The platform's front, against stand-in clients and servers on loopback."""

from __future__ import annotations

import errno
from functools import partial

import orjson
import pytest
import trio

from tests import scenario
from tests.helpers import settings
from walkloom.config import SettingNames
from walkloom.discovery.watcher import DiscoveryError, EndpointWatcher
from walkloom.discovery.watcher import decode as decode_list
from walkloom.engine.engine import Engine
from walkloom.frontends.line.listener import accept
from walkloom.frontends.line.request_lifecycle import LineFrontend
from walkloom.frontends.line.request_line import RequestLineError, decode
from walkloom.load_reports.poller import decode as decode_report
from walkloom.messages import Lifecycle, StartAttempt
from walkloom.transport.descriptor_limit import DescriptorLimit
from walkloom.transport.line_stream import LineError, LineStream

NAMES = SettingNames(("chat",), ("acme", "best"), ("here",), ("fast",))
OTHER = "OPEN aa 7f3a c=chat,t=acme,d=2000,g=5c0f"
OPEN = "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f"


FLOOD = "LOAD 1 " + "x" * 1000


class LinePeer:
    def __init__(self, stream: trio.SocketStream) -> None:
        self.lines = LineStream(stream)

    async def send(self, text: str) -> None:
        await self.part(text + r"\r\n")

    async def part(self, text: str) -> None:
        await self.lines.send(text.encode().decode("unicode_escape").encode())

    async def flood(self) -> None:
        """Sends until nothing more is taken."""
        with trio.move_on_after(1.0):
            while True:
                await self.send(FLOOD)

    async def flooded(self, last: str) -> None:
        while (got := await self.receive()) == FLOOD:
            pass
        assert got == last, f"got {got[:80]!r}"

    async def receive(self) -> str:
        try:
            line = (
                await self.lines.read_line() or await self.lines.read_complete_lines()
            )  # a half line reads as one, too
            return line.decode().strip() or "EOF"
        except trio.BrokenResourceError:
            return "RESET"

    async def close(self) -> None:
        await self.lines.send_eof()

    async def reset(self) -> None:
        await self.lines.reset()


async def listen(world: scenario.World) -> bytes:
    """Two scripted servers a and b; the list that names them."""
    world.servers = ("a", "b")

    async def take(stream: trio.SocketStream) -> None:
        world.take(LinePeer(stream))
        await trio.sleep_forever()

    lines = []
    for name in world.servers:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.listeners.append(listener)
        world.nursery.start_soon(trio.serve_listeners, take, [listener])
        port = listener.socket.getsockname()[1]
        lines.append(f'{{"instanceId":"{name}","hostPort":"127.0.0.1:{port}","lifecycle":"up"}}')
    return f'{{"generation":1,"reset":true,"instances":[{",".join(lines)}]}}'.encode()


async def build(world: scenario.World) -> None:
    """The front before two servers."""
    watcher = EndpointWatcher(world.engine, ("127.0.0.1", 1), NAMES)
    watcher.load_cached(await listen(world))
    descriptor_limit = DescriptorLimit(getattr(world, "sockets", 1024))
    frontend = LineFrontend(world.engine, watcher, NAMES, world.connect_timeout, 3000.0, descriptor_limit)
    listeners = await world.nursery.start(accept, frontend, ("127.0.0.1", 0))
    port = listeners[0].socket.getsockname()[1]

    async def dial(who: str) -> LinePeer:
        return LinePeer(await trio.open_tcp_stream("127.0.0.1", port))

    async def forgotten(_: str) -> None:
        assert world.engine.idle and not world.engine._balancer.requests

    world.dial, world.verbs["forgotten"] = dial, forgotten


UP = f"""
    c send {OPEN}
    s1 expect OPEN 9b1f 7f3a c=chat,t=acme,d=*,g=5c0f
    s1 send UP 77
    c expect UP 77
"""
CASES = {
    "a ping is answered, and an RPC may follow": "c send PING\nc expect PONG" + UP,
    "lines pass both ways unchanged": UP + "c send M 1\ns1 expect M 1\ns1 send M 1 ok\nc expect M 1 ok",
    "the end of the client passes as FIN": UP + "c close\ns1 expect EOF",
    "BYE passes, then FIN": UP + "s1 send BYE\ns1 close\nc expect BYE\nc expect EOF",
    "MOVE of a draining server passes": UP + "s1 send MOVE\ns1 close\nc expect MOVE\nc expect EOF",
    "a reset of the server passes as reset": UP + "s1 reset\nc expect RESET\nwait 10",
    "a reset of the client passes as reset": UP + "c reset\ns1 expect RESET\nwait 10",
    "LOAD and odd LOAD pass": UP + "s1 send LOAD 12.5\ns1 send LOAD x\nc expect LOAD 12.5\nc expect LOAD x",
    "a silent server's client is moved before 7 s": UP + "c send M 1\nwait 4500\nc expect MOVE\nc expect EOF",
    "a full server is left for the other": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 send BUSY
        s1 expect EOF
        s2 expect OPEN*
        s2 send UP 5
        c expect UP 5""",
    "a reset before the answer is tried elsewhere": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 reset
        s2 expect OPEN*
        s2 send UP 5
        c expect UP 5""",
    "three errors are the end, with a time to come back": f"""
        c send {OPEN}
        s1 expect OPEN*
        s1 send ERR
        s2 expect OPEN*
        s2 send ERR
        s3 expect OPEN*
        s3 send ERR
        c expect BUSY [0-9]*
        c expect EOF""",
    "a server that never answers: refused before the client's time is over": f"""
        c send {OPEN}
        s1 expect OPEN*
        wait 1990
        c expect BUSY*""",
    "the client leaves early: the attempt ends": f"c send {OPEN}\ns1 expect OPEN*\nc close\ns1 expect EOF",
    "no server: refused at once": f"list removed\nc send {OPEN}\nc expect BUSY [0-9]*\nc expect EOF",
    "all drain longer than the grace: refused": f"list draining\nwait 600\nc send {OPEN}\nc expect BUSY*",
    "all drain within the grace: still served": "list draining" + UP,
    "a standing connection goes back to its server": """
        c send OPEN 9b1f 7f3a c=chat,t=acme,at=b
        s1 expect OPEN 9b1f 7f3a c=chat,t=acme,at=b
        s1 send UP 3
        c expect UP 3""",
    "a standing connection without its server fails": """
        c send OPEN 9b1f 7f3a c=chat,t=acme,at=z
        c expect ERR""",
    "a malformed first line fails": "c send OPEN 1 zz c=chat\nc expect ERR\nc expect EOF",
    "an unknown class fails": "c send OPEN 1 2 c=none,d=100\nc expect ERR",
    "an over-long first line fails": f"c send OPEN {'x' * 5000}\nc expect ERR",
    "stopping: served until the moves begin, then new ones are refused": UP + f"""
        stop
        wait 400
        c2 send {OTHER}
        s2 expect OPEN aa*
        s2 send UP 8
        c2 expect UP 8
        wait 110
        c3 send {OTHER.replace("aa", "ab")}
        c3 expect BUSY 500
        wait 1500
        c expect MOVE
        c expect EOF
        s1 expect EOF
        c2 expect MOVE""",
}  # fmt: skip


BAD = {
    "silent": "c part O\nwithin 2100 c expect BUSY\nc expect EOF",
    "silent after a ping": "c send PING\nc expect PONG\nwithin 2100 c expect BUSY\nc expect EOF",
    "trickling": "c part O\nwait 900\nc part P\nwait 900\nc part E\nwithin 300 c expect BUSY\nc expect EOF",
    "pinging on": """
        c send PING
        c expect PONG
        wait 1500
        c send PING
        c expect PONG
        within 600 c expect BUSY
        c expect EOF""",
    "pings by the hundred": "c part " + r"PING\r\n" * 100 + "\n" + "c expect PONG\n" * 16 + "c expect ERR",
    "half a command": "c part OPEN 1\nc close\nwithin 100 c expect EOF",
    "an endless line": f"c part {'x' * 4_000_000}\nwithin 100 c expect ERR\nc expect EOF",
    "many commands at once reach no server": rf"""
        c send {OPEN}\r\n{OTHER}\r\n{OTHER}
        within 100 c expect ERR
        c2 send {OTHER}
        s1 expect OPEN aa *""",
    "a command before the answer ends the attempt": f"""
        c send {OPEN}
        s1 expect OPEN*
        c send {OTHER}
        within 100 c expect ERR
        c expect EOF
        s1 expect EOF""",
    "the id of an open RPC": UP + f"c2 send {OPEN}\nwithin 100 c2 expect ERR\nc send M\ns1 expect M",
    "many commands do not end the time for standing connections": rf"""
        c send {OPEN}\r\n{OTHER}
        c expect ERR
        c2 send OPEN a 7 c=chat,at=b
        s1 expect OPEN a 7 *""",
    "a standing connection once others have come": UP + "c2 send OPEN a 7 c=chat,at=b\nc2 expect ERR",
    "a standing connection long after the start": "wait 61000\nc send OPEN a 7 c=chat,at=b\nc expect ERR",
    "a standing connection at no server known": "c send OPEN a 7 c=chat,at=z\nwithin 100 c expect ERR",
}


@pytest.mark.parametrize("script", (CASES | BAD).values(), ids=(CASES | BAD).keys())
def test_front(script: str) -> None:
    scenario.run(script, build)


STALLS = {"a client that reads nothing": "s1 flood", "a server that reads nothing": "c flood"}


@pytest.mark.parametrize("flood", STALLS.values(), ids=STALLS.keys())
def test_a_side_that_reads_nothing_stalls_its_own_relay_only(flood: str) -> None:
    script = (
        UP
        + f"""
        {flood}
        c2 send {OTHER}
        s2 expect OPEN aa*
        s2 send UP 8
        within 100 c2 expect UP 8
        c2 send M 1
        within 100 s2 expect M 1
        s2 send M 1 ok
        within 100 c2 expect M 1 ok
        c2 close
        s2 expect EOF"""
    )
    scenario.run(script, build)


CROWDS = {
    "the channel that was silent for longest gives way": """
        c1 part O\nc2 part O\nc3 part O\nc4 send PING\nc4 expect PONG
        within 100 c1 expect BUSY 500
        c1 expect EOF
        c2 part P\nc3 part P""",
    "an RPC's subchannel comes before a silent channel": f"""
        c1 part O\nc2 part O
        c send {OPEN}\ns1 expect OPEN*\ns1 send UP 7\nc expect UP 7
        within 100 c1 expect BUSY 500
        c1 expect EOF""",
    "its request crosses that: refused, not reset": """
        c1 part O\nc2 part O\nc3 part O\nc4 part """
    + f"O\nc1 part {OPEN[1:]}"
    + r"\r\n"
    + """
        c1 expect BUSY 500
        c1 expect EOF""",
    "where all are RPCs the next is refused at once": f"""
        c send {OPEN}\ns1 expect OPEN*\ns1 send UP 7\nc expect UP 7
        c2 send {OTHER}\nwithin 100 c2 expect BUSY 500
        c send M\ns1 expect M""",
}


@pytest.mark.parametrize("script", CROWDS.values(), ids=CROWDS.keys())
def test_descriptors_run_out(script: str) -> None:
    async def small(world: scenario.World) -> None:
        world.sockets = 21  # type: ignore[attr-defined]  # 2 for probes, 16 of its own: 3 are left
        await build(world)

    scenario.run(script, small)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ECONNABORTED, errno.ENETDOWN])
def test_no_channel_can_be_accepted_for_a_while(monkeypatch: pytest.MonkeyPatch, number: int) -> None:
    real, left = trio.SocketListener.accept, iter(range(3))

    worlds: list[scenario.World] = []

    async def accept_short(self: trio.SocketListener) -> trio.SocketStream:
        if self not in worlds[0].listeners and next(left, None) is not None:
            raise OSError(number, "not now")
        return await real(self)

    async def short(world: scenario.World) -> None:
        worlds.append(world)
        await build(world)

    monkeypatch.setattr(trio.SocketListener, "accept", accept_short)
    scenario.run(UP, short)
    assert next(left, None) is None


def test_a_server_is_not_blamed_for_descriptors_that_we_lack(monkeypatch: pytest.MonkeyPatch) -> None:
    async def none_left(address: object) -> None:
        raise OSError(errno.EMFILE, "too many")

    monkeypatch.setattr("walkloom.frontends.line.upstream.open_line_stream", none_left)
    blamed: list[object] = []
    monkeypatch.setattr("walkloom.policy.balancer.Balancer._failed", lambda _, server: blamed.append(server))
    scenario.run(f"c send {OPEN}\nwithin 100 c expect BUSY*", build, ("attempt-unsent",) * 3)
    assert not blamed


def test_a_failing_module_still_gives_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("module")

    monkeypatch.setattr("walkloom.policy.balancer.Balancer._request", broken)
    scenario.run(f"c send {OPEN}\nc expect ERR\nc expect EOF", build, ("module-error",))


def test_the_opening_line_is_decoded_once_and_passed_on_but_for_its_patience() -> None:
    line = b"OPEN 9b1f 7f3a c=chat,t=best,d=2000,g=5c0f,h=1.5,r=1,again=1,other=9\r\n"
    got = decode(line, NAMES, 3000.0)
    assert (got.request_class, got.tenant, got.patience_ms, got.client_key, got.affinity_group) == (
        0,
        1,
        2000.0,
        0x7F3A,
        0x5C0F,
    )
    assert (got.load, got.is_retry, got.is_reconnect, got.stands_at) == (1.5, True, True, None)
    assert got.for_upstream(1234.9) == line.replace(b"d=2000", b"d=1234")


@pytest.mark.parametrize(
    "line",
    [
        "HELLO",
        "OPEN 1 2 c=chat",
        "OPEN 1 2 d=9",
        "OPEN 1 2 c",
        "\xff",
        "OPEN 1 2",
        "OPEN 1 c=chat,d=9",
        "OPEN",
    ]
    + ["OPEN 1\x0b2 c=chat,d=9", "OPEN 1  2 c=chat,d=9", "OPEN x 2 c=chat,d=9", "OPEN 1 2 c=chat,d=9 "]
    + [
        f"OPEN 1 2 c=chat,d={d}"
        for d in ("nan", "inf", "-5", "0", "1e3", "1_0", "", "3001", "9" * 40, "9soon")
    ]
    + [
        f"OPEN 1 2 c=chat,d=9,{x}"
        for x in ("h=nan", "h=inf", "h=-1", "h=" + "9" * 12, "h=", "r=2", "again=x")
    ]
    + [
        f"OPEN 1 2 c=chat,d=9,{x}"
        for x in ("d=9", "c=chat", "g=z", "g=" + "f" * 17, "=1", "x", "x=1=2", "t=none")
    ],
)
def test_opening_lines_that_no_client_sends_are_named(line: str) -> None:
    with pytest.raises(RequestLineError):
        decode(line.encode("latin-1") + b"\r\n", NAMES, 3000.0)


@pytest.mark.parametrize(
    "odd",
    [
        "lifecycle=asleep",
        "lifecycle=",
        "hostPort=127.0.0.1:99999",
        "hostPort=1",
        "hostPort=",
        "weight=x",
        "cell=x",
        "instanceId",
        "startedAtMs=x",
    ],
)
def test_an_entry_that_cannot_be_used_is_left_out_alone(odd: str) -> None:
    sound: dict[str, object] = {"instanceId": "b", "hostPort": "127.0.0.1:1", "lifecycle": "up", "new": [1]}
    sound |= {"zone": None, "machineType": None, "cell": None, "weight": None, "startedAtMs": None}
    key, told, value = odd.partition("=")
    bad = {**sound, "instanceId": "a", key: value or None}
    if not told:
        del bad[key]
    body = orjson.dumps({"generation": 1, "reset": True, "instances": [bad, sound, "x"]})
    result = decode_list(body, NAMES)
    assert [(s.id, s.cell, s.capacity_weight, s.started_at) for s in result.servers] == [("b", 0, 1.0, 0.0)]
    with pytest.raises(
        DiscoveryError, match="no entry"
    ):  # guards what is known against a list in another form
        decode_list(orjson.dumps({"generation": 1, "reset": True, "instances": [bad]}), NAMES)


@pytest.mark.parametrize("indent", [0, orjson.OPT_INDENT_2])
def test_a_list_of_1024_with_repeats_cut_off_and_indented(indent: int) -> None:
    """The last of several entries of one server holds; a list that was cut off is none."""
    entries = [
        {
            "instanceId": f"s-{n % 1024}",
            "hostPort": f"127.0.0.1:{1 + n}",
            "lifecycle": ("draining", "up")[n > 9],
        }
        for n in range(1034)
    ]
    body = orjson.dumps({"generation": 7, "reset": True, "instances": entries}, option=indent)
    result = decode_list(body, NAMES)
    assert len(result.servers) == 1034 and len(result.addresses) == 1024
    assert result.addresses["s-3"] == ("127.0.0.1", 1028) and result.servers[-1].lifecycle is Lifecycle.READY
    for end in (1, len(body) // 2, len(body) - 1):
        with pytest.raises(DiscoveryError, match="malformed"):
            decode_list(body[:end], NAMES)


@pytest.mark.parametrize("figure", ["nan", "inf", "-1", "1e300", "x"])
def test_a_report_that_is_no_number_is_none(figure: str) -> None:
    assert decode_report(b"PONG x0=0.5\r\n", ("x0",)) == (0.5,)
    with pytest.raises(ValueError):
        decode_report(f"PONG x0={figure}\r\n".encode(), ("x0",))


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"generation":1,"reset":true,"instances":[{}]}'])
def test_a_malformed_list_is_a_failed_call(body: bytes) -> None:
    with pytest.raises(DiscoveryError, match="malformed"):
        decode_list(body, NAMES)


def test_lines_over_the_limit_are_refused() -> None:
    async def main() -> None:
        ours, theirs = trio.socket.socketpair()
        await theirs.send(b"x" * 5000)
        with pytest.raises(LineError):
            await LineStream(trio.SocketStream(ours)).read_complete_lines()

    trio.run(main)


LISTED = '{"generation":4,"reset":false,"instances":[]}'
CALL = "expect GET /registry/instances?index=0&wait=2000 HTTP/1.1\n"
WHOLE = "expect GET /registry/instances HTTP/1.1\n"
REST = "s{0} expect Host: *\ns{0} expect EOF\n"  # an empty line reads as EOF does
WATCHES = {
    "the next call follows at once, on the same connection": f"""
        s1 {CALL} {REST.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "a 503 is told, and the call comes again": f"""
        s1 {CALL} {REST.format(1)}
        s1 send HTTP/1.1 503 no\\r\\nContent-Length: 0\\r\\n
        s2 {CALL}""",
    "a reset is told, and the call comes again": f"s1 {CALL} s1 reset\ns2 {CALL}",
    "a stall is no failed call: the next comes at once": f"s1 {CALL} wait 3850\nwithin 50 s2 {CALL}",
    "a move ends the call in flight and asks for the whole list, then for changes": f"""
        s1 {CALL} {REST.format(1)}
        move
        within 100 s2 {WHOLE} {REST.format(2)}
        s1 expect EOF
        s2 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        within 100 s2 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "an answer of the discovery before that crosses a move is not taken": f"""
        s1 {CALL} {REST.format(1)}
        move crossing
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        within 100 s2 {WHOLE}""",
    "an answer that is cut off is a failed call": f"""
        s1 {CALL} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 99\\r\\n\\r\\n{{"gen
        s1 close
        within 350 s2 {CALL}""",
    "one that is reset in the middle, too": f"""
        s1 {CALL} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 99\\r\\n\\r\\n{{"gen
        s1 reset
        within 350 s2 {CALL}""",
    "a list of over 4 MiB, too": f"""
        s1 {CALL} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 9000000\\r\\n\\r\\n{"x" * 4_195_000}
        within 350 s2 {CALL}""",
    "news at once, as discovery returns": f"""
        s1 {CALL} s1 reset\ns2 {CALL} s2 reset
        s3 {CALL} {REST.format(3)}
        s3 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        within 20 s3 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "an answer that nobody asked for is not taken for the next one": f"""
        s1 {CALL} {REST.format(1)}
        s1 part HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}HTTP/1.1 200 OK\\r\\n
        within 400 s2 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "a discovery that holds no call is asked at a pace": f"""
        s1 {CALL} {REST.format(1)}
        s1 part HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        within 10 s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1
        {REST.format(1)}
        s1 part HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        after 90 s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "a move waits for no pause after failed calls, nor do those that follow": f"""
        s1 {CALL} s1 reset\ns2 {CALL} s2 reset\ns3 {CALL} s3 reset\ns4 {CALL} s4 reset
        move
        within 100 s5 {WHOLE} s5 reset
        within 350 s6 {WHOLE}""",
    "a move during a move": f"move\nwithin 100 s1 {WHOLE} move\nwithin 100 s2 {WHOLE}",
    "a body that is no list is told, and the call comes again": f"""
        s1 {CALL} {REST.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\n[
        s2 {CALL}""",
}


@pytest.mark.parametrize("script", WATCHES.values(), ids=WATCHES.keys())
def test_watch(script: str) -> None:
    watch(script)


def test_a_balancer_among_many_opens_a_silent_watch_anew_before_what_it_missed_counts_as_told() -> None:
    """Join, seed 13478303390: 17 watches fell silent; 6 s later all counts as told, and the next call came 4
    to 12 s after the stall was seen, as after a failed call. Three sends went to servers that drained."""
    # the first call comes within 8 s, each stall is seen 3.8 s after its call
    watch(
        f"wait 11850\nwithin 10 s1 {CALL} within 10 s2 {CALL}",
        balancer_count=200,
        max_poll_interval_ms=10_000.0,
    )


PUSHED = {
    "the agent is called at once, for all it has, and then for changes": f"""
        within 20 s1 {WHOLE} {REST.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        within 20 s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1""",
    "a silent agent is asked again within half the grace, for all it has": f"""
        s1 {WHOLE} wait 255
        within 20 s2 {WHOLE} wait 255
        within 20 s3 {WHOLE}""",
    "after a watch that broke the whole list is wanted, which needs no wait": f"""
        s1 {WHOLE} {REST.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1
        s1 reset
        within 350 s2 {WHOLE}""",
    "after a watch that fell silent, too": f"""
        s1 {WHOLE} {REST.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: {len(LISTED)}\\r\\n\\r\\n{LISTED}
        s1 expect GET /registry/instances?index=4&wait=2000 HTTP/1.1
        wait 3850
        within 20 s2 {WHOLE}""",
}


@pytest.mark.parametrize("script", PUSHED.values(), ids=PUSHED.keys())
def test_watch_of_a_pushed_list(script: str) -> None:
    """An own site with pushed lists, before the mend: no call was made at all, and 66 sends of one short day
    went to servers that drained."""
    watch(script, polls_endpoint_list=False)


def watch(script: str, polls_endpoint_list: bool = True, **changes: object) -> None:
    async def discovery(world: scenario.World) -> None:
        async def take(stream: trio.SocketStream) -> None:
            world.take(LinePeer(stream))
            await trio.sleep_forever()

        async def move(crossing: str) -> None:
            """In the tick in which the resolver wakes next, where it is to cross."""
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, take, [listener])
            do = partial(watcher.change_discovery, listener.socket.getsockname())
            scenario.BeforeStep("EndpointWatcher.run", do) if crossing else do()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.nursery.start_soon(trio.serve_listeners, take, [listener])
        watcher = EndpointWatcher(world.engine, listener.socket.getsockname(), NAMES)
        world.verbs["move"] = move
        watcher.load_cached(b"no list")
        world.nursery.start_soon(watcher.run)

    scenario.run(script, discovery, (), polls_endpoint_list=polls_endpoint_list, **changes)


def test_a_list_of_1024_servers_is_taken_whole_by_one_of_1024_balancers() -> None:
    """No bound below what the largest fleets have: every entry has its address and can be chosen."""

    async def main() -> None:
        engine = Engine(
            settings(
                balancer_count=1024, zone_count=4, polls_endpoint_list=True, max_poll_interval_ms=10_000.0
            ),
            1,
        )
        watcher = EndpointWatcher(engine, ("127.0.0.1", 1), NAMES)
        entries = [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{20_000 + n}", "lifecycle": "up"}
            for n in range(1024)
        ]
        watcher.load_cached(orjson.dumps({"generation": 1, "reset": True, "instances": entries}))
        assert all(watcher.address(f"s-{n}") == ("127.0.0.1", 20_000 + n) for n in range(1024))
        chosen = set()
        for n in range(2000):
            order = await engine.submit(0, engine.now() + 3000.0, affinity_group=n).next_command()
            assert isinstance(order, StartAttempt)
            chosen.add(order.endpoint_id)
        assert len(chosen) > 800

    trio.run(main)
