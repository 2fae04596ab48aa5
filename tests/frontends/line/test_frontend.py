"""The line frontend, the endpoint watcher and their decoders, with scripted peers on loopback."""

from __future__ import annotations

import errno
from functools import partial

import orjson
import pytest
import trio

from tests import scenario
from tests.frontends.line.harness import ESTABLISHED, NAMES, OPEN, OTHER_OPEN, LinePeer, build_frontend
from tests.helpers import settings
from walkloom.discovery.watcher import DiscoveryError, EndpointWatcher
from walkloom.discovery.watcher import decode as decode_list
from walkloom.engine.engine import Engine
from walkloom.frontends.line.errors import RequestLineError
from walkloom.frontends.line.request_line import RequestLine, decode
from walkloom.load_reports.poller import decode as decode_report
from walkloom.messages import Lifecycle, StartAttempt
from walkloom.policy import dispatch, outlier_detection
from walkloom.transport.line_stream import LineError, LineStream

REQUESTS = {
    "a ping is answered, and a request may follow": "c send PING\nc expect PONG" + ESTABLISHED,
    "lines pass both ways unchanged": ESTABLISHED
    + "c send M 1\ns1 expect M 1\ns1 send M 1 ok\nc expect M 1 ok",
    "the end of the client passes as FIN": ESTABLISHED + "c close\ns1 expect EOF",
    "BYE passes, then FIN": ESTABLISHED + "s1 send BYE\ns1 close\nc expect BYE\nc expect EOF",
    "MOVE of a draining server passes": ESTABLISHED + "s1 send MOVE\ns1 close\nc expect MOVE\nc expect EOF",
    "a reset of the server passes as reset": ESTABLISHED + "s1 reset\nc expect RESET\nwait 10",
    "a reset of the client passes as reset": ESTABLISHED + "c reset\ns1 expect RESET\nwait 10",
    "LOAD and malformed LOAD pass": ESTABLISHED
    + "s1 send LOAD 12.5\ns1 send LOAD x\nc expect LOAD 12.5\nc expect LOAD x",
    "a silent server's client is moved before 7 s": ESTABLISHED
    + "c send M 1\nwait 4500\nc expect MOVE\nc expect EOF",
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
    "a server that never answers: rejected before the client's time is over": f"""
        c send {OPEN}
        s1 expect OPEN*
        wait 1990
        c expect BUSY*""",
    "the client leaves early: the attempt ends": f"c send {OPEN}\ns1 expect OPEN*\nc close\ns1 expect EOF",
    "no server: rejected at once": f"list removed\nc send {OPEN}\nc expect BUSY [0-9]*\nc expect EOF",
    "all drain longer than the grace: rejected": f"list draining\nwait 600\nc send {OPEN}\nc expect BUSY*",
    "all drain within the grace: still served": "list draining" + ESTABLISHED,
    "an adopted connection goes back to its server": """
        c send OPEN 9b1f 7f3a c=chat,t=acme,at=b
        s1 expect OPEN 9b1f 7f3a c=chat,t=acme,at=b
        s1 send UP 3
        c expect UP 3""",
    "an adopted connection without its server fails": """
        c send OPEN 9b1f 7f3a c=chat,t=acme,at=z
        c expect ERR""",
    "a malformed first line fails": "c send OPEN 1 zz c=chat\nc expect ERR\nc expect EOF",
    "an unknown class fails": "c send OPEN 1 2 c=none,d=100\nc expect ERR",
    "an over-long first line fails": f"c send OPEN {'x' * 5000}\nc expect ERR",
    "shutdown: served until the migrations begin, then new requests are rejected": ESTABLISHED
    + f"""
        stop
        wait 400
        c2 send {OTHER_OPEN}
        s2 expect OPEN aa*
        s2 send UP 8
        c2 expect UP 8
        wait 110
        c3 send {OTHER_OPEN.replace("aa", "ab")}
        c3 expect BUSY 500
        wait 1500
        c expect MOVE
        c expect EOF
        s1 expect EOF
        c2 expect MOVE""",
}


MALFORMED_REQUESTS = {
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
        c send {OPEN}\r\n{OTHER_OPEN}\r\n{OTHER_OPEN}
        within 100 c expect ERR
        c2 send {OTHER_OPEN}
        s1 expect OPEN aa *""",
    "a command before the answer ends the attempt": f"""
        c send {OPEN}
        s1 expect OPEN*
        c send {OTHER_OPEN}
        within 100 c expect ERR
        c expect EOF
        s1 expect EOF""",
    "the id of an established connection": ESTABLISHED
    + f"c2 send {OPEN}\nwithin 100 c2 expect ERR\nc send M\ns1 expect M",
    "many commands do not end the time for adoptions": rf"""
        c send {OPEN}\r\n{OTHER_OPEN}
        c expect ERR
        c2 send OPEN a 7 c=chat,at=b
        s1 expect OPEN a 7 *""",
    "an adopted connection once others have come": ESTABLISHED
    + "c2 send OPEN a 7 c=chat,at=b\nc2 expect ERR",
    "an adopted connection long after the start": "wait 61000\nc send OPEN a 7 c=chat,at=b\nc expect ERR",
    "an adopted connection at no server known": "c send OPEN a 7 c=chat,at=z\nwithin 100 c expect ERR",
}


@pytest.mark.parametrize(
    "script", (REQUESTS | MALFORMED_REQUESTS).values(), ids=(REQUESTS | MALFORMED_REQUESTS).keys()
)
def test_each_request_gets_its_one_final_answer(script: str) -> None:
    scenario.run(script, build_frontend)


STALLED_SIDES = {"a client that reads nothing": "s1 flood", "a server that reads nothing": "c flood"}


@pytest.mark.parametrize("flood", STALLED_SIDES.values(), ids=STALLED_SIDES.keys())
def test_a_side_that_reads_nothing_stalls_its_own_relay_only(flood: str) -> None:
    script = (
        ESTABLISHED
        + f"""
        {flood}
        c2 send {OTHER_OPEN}
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
    scenario.run(script, build_frontend)


DESCRIPTOR_SHORTAGES = {
    "the client connection that was idle for longest is closed": """
        c1 part O\nc2 part O\nc3 part O\nc4 send PING\nc4 expect PONG
        within 100 c1 expect BUSY 500
        c1 expect EOF
        c2 part P\nc3 part P""",
    "a request's upstream connection goes before an idle client connection": f"""
        c1 part O\nc2 part O
        c send {OPEN}\ns1 expect OPEN*\ns1 send UP 7\nc expect UP 7
        within 100 c1 expect BUSY 500
        c1 expect EOF""",
    "a request that crosses that: rejected, not reset": """
        c1 part O\nc2 part O\nc3 part O\nc4 part """
    + f"O\nc1 part {OPEN[1:]}"
    + r"\r\n"
    + """
        c1 expect BUSY 500
        c1 expect EOF""",
    "where no connection is idle the next request is rejected at once": f"""
        c send {OPEN}\ns1 expect OPEN*\ns1 send UP 7\nc expect UP 7
        c2 send {OTHER_OPEN}\nwithin 100 c2 expect BUSY 500
        c send M\ns1 expect M""",
}


@pytest.mark.parametrize("script", DESCRIPTOR_SHORTAGES.values(), ids=DESCRIPTOR_SHORTAGES.keys())
def test_a_shortage_of_descriptors_closes_idle_connections_first(script: str) -> None:
    async def build_with_three_descriptors(world: scenario.World) -> None:
        # Of 21 descriptors, load reports take 2 and the process itself 16: 3 are left.
        world.sockets = 21  # type: ignore[attr-defined]
        await build_frontend(world)

    scenario.run(script, build_with_three_descriptors)


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ECONNABORTED, errno.ENETDOWN])
def test_the_listener_survives_errors_of_accept(monkeypatch: pytest.MonkeyPatch, error_number: int) -> None:
    real_accept = trio.SocketListener.accept
    remaining_failures = iter(range(3))
    worlds: list[scenario.World] = []

    async def accept_or_fail(self: trio.SocketListener) -> trio.SocketStream:
        if self not in worlds[0].listeners and next(remaining_failures, None) is not None:
            raise OSError(error_number, "not now")
        return await real_accept(self)

    async def build_and_record(world: scenario.World) -> None:
        worlds.append(world)
        await build_frontend(world)

    monkeypatch.setattr(trio.SocketListener, "accept", accept_or_fail)
    scenario.run(ESTABLISHED, build_and_record)
    assert next(remaining_failures, None) is None


def test_a_descriptor_shortage_of_the_balancer_is_not_recorded_as_a_server_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail_without_descriptor(address: object) -> None:
        raise OSError(errno.EMFILE, "too many")

    monkeypatch.setattr("walkloom.frontends.line.upstream.open_line_stream", fail_without_descriptor)
    recorded_failures: list[object] = []
    monkeypatch.setattr(
        outlier_detection, "record_failure", lambda _, endpoint: recorded_failures.append(endpoint)
    )
    scenario.run(f"c send {OPEN}\nwithin 100 c expect BUSY*", build_frontend, ("attempt_not_sent",) * 3)
    assert not recorded_failures


def test_a_failing_policy_still_gives_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("policy")

    monkeypatch.setattr(dispatch, "place", fail)
    scenario.run(f"c send {OPEN}\nc expect ERR\nc expect EOF", build_frontend, ("policy_error",))


def test_a_request_line_is_decoded_and_forwarded_unchanged_except_for_its_timeout() -> None:
    line = b"OPEN 9b1f 7f3a c=chat,t=best,d=2000,g=5c0f,h=1.5,r=1,again=1,other=9\r\n"
    request_line = decode(line, NAMES, 3000.0)
    assert request_line == RequestLine(
        raw_line=line,
        id="9b1f",
        request_class=0,
        tenant=1,
        request_timeout_ms=2000.0,
        client_key=0x7F3A,
        affinity_group=0x5C0F,
        load=1.5,
        is_retry=True,
        is_reconnect=True,
        adopted_endpoint_id=None,
    )
    assert request_line.for_upstream(1234.9) == line.replace(b"d=2000", b"d=1234")


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
def test_a_request_line_that_no_client_sends_raises(line: str) -> None:
    with pytest.raises(RequestLineError):
        decode(line.encode("latin-1") + b"\r\n", NAMES, 3000.0)


@pytest.mark.parametrize(
    "changed_field",
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
def test_an_unusable_entry_is_ignored_and_the_others_are_used(changed_field: str) -> None:
    valid_entry: dict[str, object] = {
        "instanceId": "b",
        "hostPort": "127.0.0.1:1",
        "lifecycle": "up",
        "new": [1],
    }
    valid_entry |= {"zone": None, "machineType": None, "cell": None, "weight": None, "startedAtMs": None}
    key, separator, value = changed_field.partition("=")
    invalid_entry = {**valid_entry, "instanceId": "a", key: value or None}
    if not separator:
        del invalid_entry[key]
    body = orjson.dumps({"generation": 1, "reset": True, "instances": [invalid_entry, valid_entry, "x"]})
    result = decode_list(body, NAMES)
    assert [(s.id, s.cell, s.capacity_weight, s.started_at) for s in result.servers] == [("b", 0, 1.0, 0.0)]
    # A list without any usable entry must not replace the known one.
    with pytest.raises(DiscoveryError, match="no entry"):
        decode_list(orjson.dumps({"generation": 1, "reset": True, "instances": [invalid_entry]}), NAMES)


@pytest.mark.parametrize("indent", [0, orjson.OPT_INDENT_2])
def test_a_list_of_1024_servers_with_repeated_entries_is_decoded_and_a_truncated_one_raises(
    indent: int,
) -> None:
    """The last of several entries of a server is used; a truncated list raises."""
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


@pytest.mark.parametrize("value", ["nan", "inf", "-1", "1e300", "x"])
def test_a_load_report_with_an_invalid_number_raises(value: str) -> None:
    assert decode_report(b"PONG x0=0.5\r\n", ("x0",)) == (0.5,)
    with pytest.raises(ValueError, match=r"x0|could not convert"):
        decode_report(f"PONG x0={value}\r\n".encode(), ("x0",))


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"generation":1,"reset":true,"instances":[{}]}'])
def test_a_malformed_list_is_a_failed_call(body: bytes) -> None:
    with pytest.raises(DiscoveryError, match="malformed"):
        decode_list(body, NAMES)


def test_a_line_over_the_limit_raises() -> None:
    async def main() -> None:
        own_socket, peer_socket = trio.socket.socketpair()
        await peer_socket.send(b"x" * 5000)
        with pytest.raises(LineError):
            await LineStream(trio.SocketStream(own_socket)).read_complete_lines()

    trio.run(main)


EMPTY_UPDATE = '{"generation":4,"reset":false,"instances":[]}'
ANSWER = f"HTTP/1.1 200 OK\\r\\nContent-Length: {len(EMPTY_UPDATE)}\\r\\n\\r\\n{EMPTY_UPDATE}"
CLOSING_ANSWER = ANSWER.replace("OK\\r\\n", "OK\\r\\nConnection: close\\r\\n")
EXPECT_WATCH = "expect GET /registry/instances?index=0&wait=0 HTTP/1.1\n"
EXPECT_WHOLE_LIST = "expect GET /registry/instances HTTP/1.1\n"
# The empty line at the end of the head is received as EOF.
EXPECT_REST_OF_HEAD = "s{0} expect Host: *\ns{0} expect EOF\n"
WATCHES = {
    "the next call follows at once, on the same connection": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send {ANSWER}
        s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "a 503 is reported, and the call comes again": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send HTTP/1.1 503 no\\r\\nContent-Length: 0\\r\\n
        s2 {EXPECT_WATCH}""",
    "a reset is reported, and the call comes again": f"s1 {EXPECT_WATCH} s1 reset\ns2 {EXPECT_WATCH}",
    "a stall is no failed call: the next comes at once": f"""
        s1 {EXPECT_WATCH} wait 3850
        within 50 s2 {EXPECT_WATCH}""",
    "a change of discovery ends the call in flight and asks for the whole list, then for changes": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        change_discovery
        within 100 s2 {EXPECT_WHOLE_LIST} {EXPECT_REST_OF_HEAD.format(2)}
        s1 expect EOF
        s2 send {ANSWER}
        within 100 s2 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "an answer of the discovery before that crosses a change of discovery is not taken": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        change_discovery crossing
        s1 send {ANSWER}
        within 100 s2 {EXPECT_WHOLE_LIST}""",
    "an answer that is cut off is a failed call": f"""
        s1 {EXPECT_WATCH} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 99\\r\\n\\r\\n{{"gen
        s1 close
        within 350 s2 {EXPECT_WATCH}""",
    "one that is reset in the middle, too": f"""
        s1 {EXPECT_WATCH} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 99\\r\\n\\r\\n{{"gen
        s1 reset
        within 350 s2 {EXPECT_WATCH}""",
    "a list of over 4 MiB, too": f"""
        s1 {EXPECT_WATCH} s1 part HTTP/1.1 200 OK\\r\\nContent-Length: 9000000\\r\\n\\r\\n{"x" * 4_195_000}
        within 350 s2 {EXPECT_WATCH}""",
    "news at once, as discovery returns": f"""
        s1 {EXPECT_WATCH} s1 reset\ns2 {EXPECT_WATCH} s2 reset
        s3 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(3)}
        s3 send {ANSWER}
        within 20 s3 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "an answer that nobody asked for is not taken for the next one": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 part {ANSWER}HTTP/1.1 200 OK\\r\\n
        within 400 s2 expect GET /registry/instances?index=4&wait=0 HTTP/1.1""",
    "a discovery that holds no call is asked at a pace": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 part {ANSWER}
        within 10 s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1
        {EXPECT_REST_OF_HEAD.format(1)}
        s1 part {ANSWER}
        after 90 s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "a discovery that closes after each answer is watched on": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 part {CLOSING_ANSWER}
        s1 close
        within 50 s2 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "one that closes, and holds no call, is asked at a pace, too": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 part {CLOSING_ANSWER}
        s1 close
        s2 expect GET /registry/instances?index=4&wait=500 HTTP/1.1
        {EXPECT_REST_OF_HEAD.format(2)}
        s2 part {CLOSING_ANSWER}
        s2 close
        after 90 s3 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "a change of discovery waits for no pause after failed calls, nor do those that follow": f"""
        s1 {EXPECT_WATCH} s1 reset
        s2 {EXPECT_WATCH} s2 reset
        s3 {EXPECT_WATCH} s3 reset
        s4 {EXPECT_WATCH} s4 reset
        change_discovery
        within 100 s5 {EXPECT_WHOLE_LIST} s5 reset
        within 350 s6 {EXPECT_WHOLE_LIST}""",
    "a change of discovery during a change": f"""
        change_discovery
        within 100 s1 {EXPECT_WHOLE_LIST}
        change_discovery
        within 100 s2 {EXPECT_WHOLE_LIST}""",
    "a body that is no list is reported, and the call comes again": f"""
        s1 {EXPECT_WATCH} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send HTTP/1.1 200 OK\\r\\nContent-Length: 1\\r\\n\\r\\n[
        s2 {EXPECT_WATCH}""",
}


@pytest.mark.parametrize("script", WATCHES.values(), ids=WATCHES.keys())
def test_the_watch_of_the_endpoint_list(script: str) -> None:
    run_watch(script)


def test_one_of_many_balancers_reopens_a_silent_watch_before_missed_changes_count_as_notified() -> None:
    """A late next call after silent watches let requests reach draining servers.

    In the scenario join, seed 13478303390, 17 watches fell silent and three requests went to draining
    servers. Changes count as notified after 6 s, but the next call came 4 to 12 s after the stall, as after a
    failed call.
    """
    # The first call comes within 8 s, and each stall is detected 3.8 s after its call.
    run_watch(
        f"wait 11850\nwithin 10 s1 {EXPECT_WATCH} within 10 s2 {EXPECT_WATCH}",
        balancer_count=200,
        max_poll_interval_ms=10_000.0,
    )


PUSHED_WATCHES = {
    "the agent is called at once, for all it has, and then for changes": f"""
        within 20 s1 {EXPECT_WHOLE_LIST} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send {ANSWER}
        within 20 s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1""",
    "a silent agent is asked again within half the grace, for all it has": f"""
        s1 {EXPECT_WHOLE_LIST} wait 255
        within 20 s2 {EXPECT_WHOLE_LIST} wait 255
        within 20 s3 {EXPECT_WHOLE_LIST}""",
    "after a watch that broke the whole list is wanted, which needs no wait": f"""
        s1 {EXPECT_WHOLE_LIST} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send {ANSWER}
        s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1
        s1 reset
        within 350 s2 {EXPECT_WHOLE_LIST}""",
    "after a watch that fell silent, too": f"""
        s1 {EXPECT_WHOLE_LIST} {EXPECT_REST_OF_HEAD.format(1)}
        s1 send {ANSWER}
        s1 expect GET /registry/instances?index=4&wait=500 HTTP/1.1
        wait 3850
        within 20 s2 {EXPECT_WHOLE_LIST}""",
}


@pytest.mark.parametrize("script", PUSHED_WATCHES.values(), ids=PUSHED_WATCHES.keys())
def test_the_watch_of_a_pushed_endpoint_list(script: str) -> None:
    """On a site with pushed lists no call was made, and 66 requests went to draining servers."""
    run_watch(script, polls_endpoint_list=False)


def run_watch(script: str, polls_endpoint_list: bool = True, **changes: object) -> None:
    async def start_watcher(world: scenario.World) -> None:
        async def accept_connection(stream: trio.SocketStream) -> None:
            world.add_server_connection(LinePeer(stream))
            await trio.sleep_forever()

        async def change_discovery(crossing: str) -> None:
            """Change the address now or, with `crossing`, in the tick in which the watcher wakes next."""
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, accept_connection, [listener])
            change = partial(watcher.change_discovery, listener.socket.getsockname())
            if crossing:
                scenario.BeforeStep("EndpointWatcher.run", change)
            else:
                change()

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        world.nursery.start_soon(trio.serve_listeners, accept_connection, [listener])
        watcher = EndpointWatcher(world.engine, listener.socket.getsockname(), NAMES)
        world.verbs["change_discovery"] = change_discovery
        watcher.load_cached(b"no list")
        world.nursery.start_soon(watcher.run)

    scenario.run(script, start_watcher, (), polls_endpoint_list=polls_endpoint_list, **changes)


def test_a_list_that_is_old_when_it_is_loaded_has_a_shorter_lease() -> None:
    async def main() -> None:
        limits = {"polls_endpoint_list": True, "max_list_age_ms": 6000.0, "drain_grace_ms": 500.0}
        engine = Engine(settings(**limits), 1)
        body = orjson.dumps({"generation": 1, "reset": True, "instances": []})
        EndpointWatcher(engine, ("127.0.0.1", 1), NAMES).load_cached(body, age_s=2.0)
        assert engine.list_lease_ms() <= 4500.0

    trio.run(main)


def test_one_of_1024_balancers_uses_a_list_of_1024_servers_whole() -> None:
    """No limit is below the size of the largest fleets: every entry has an address and can be chosen."""

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
            command = await engine.submit(0, engine.now() + 3000.0, affinity_group=n).next_command()
            assert isinstance(command, StartAttempt)
            chosen.add(command.endpoint_id)
        assert len(chosen) > 800

    trio.run(main)
