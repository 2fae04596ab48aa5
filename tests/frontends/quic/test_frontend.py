"""The QUIC front, against stand-in clients and servers on loopback UDP.

Clients send: initial, version, short, unseen (an id of server a that no balancer saw), stray, cut, small.
Servers send: initial, retry, short, refuse, close. What comes is told by these names, `NAME at a` at servers.
"""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
import trio

from tests import scenario
from walkloom.config import ConfigError, SettingNames
from walkloom.frontends.quic import initial
from walkloom.frontends.quic.frontend import QuicFrontend
from walkloom.frontends.quic.ids import IdForm
from walkloom.frontends.quic.packet import Kind, PacketError, parse, varint
from walkloom.frontends.quic.settings import QuicConfig, Target, load

FORM = IdForm(1, 2, 6)
LOCAL = ("127.0.0.1", 0)
NAMES = SettingNames(("view",), (), ("here",), ("fast",))
FIRST, OWN, ODD = b"first-id", b"cl", b"\xff" * FORM.length
CRYPTO = b"\x06\x00\x04helo"


def long_header(kind: int, version: int, dcid: bytes, scid: bytes) -> bytes:
    ids = bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid
    return bytes([0xC0 | kind << 4]) + version.to_bytes(4) + ids


def name(data: bytes, side: bytes, first: bytes = FIRST) -> str:
    """What a peer sees in a datagram; refused and closed are read with the Initial's keys."""
    packet = parse(data, FORM.length)
    if packet.kind is not Kind.INITIAL:
        return packet.kind.name.lower()
    code = initial.close_code(initial.opened(initial.keys(first, side), data))
    return "initial" if code is None else f"close {code}"


class Client:
    def __init__(self, world: Any, to: tuple[str, int]) -> None:
        self.world, self.to, self.first, self.id = world, to, FIRST, FIRST
        self.socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def send(self, text: str) -> None:
        hello = initial.seal(initial.keys(self.first, initial.CLIENT), self.first, OWN, CRYPTO + bytes(20))
        data = {
            "initial": hello.ljust(1200, b"\0"),
            "small": hello,
            "version": long_header(0, 0x1A2A3A4A, FIRST, OWN).ljust(1200, b"\0"),
            "short": b"\x40" + self.id + b"x" * 20,
            "unseen": b"\x40" + FORM.make(b"\0a", b"unseen") + b"x" * 20,
            "stray": b"\x40" + ODD + b"x" * 20,
            "cut": hello[:9],
        }[text]
        await self.socket.sendto(data, self.to)

    async def receive(self) -> str:
        data = await self.socket.recv(2000)
        packet = parse(data, FORM.length if data[0] & 0x80 else len(OWN))
        if not data[0] & 0x80:
            return "short"
        if packet.kind is Kind.RETRY:
            self.first = packet.scid
        else:
            self.id = packet.scid
        return name(data, initial.SERVER, self.first)

    async def close(self) -> None:
        self.socket.close()

    async def reset(self) -> None:
        """Another network: a new address, the same connection."""
        self.socket.close()
        self.socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)

    async def other(self) -> None:
        """The same connection through the second balancer."""
        self.to = self.world.others


class Conn:
    """One connection as a server sees it: an address that packets come from."""

    def __init__(self, server: str, socket: Any, address: Any) -> None:
        self.server, self.socket, self.address = server, socket, address
        self.put, self.get = trio.open_memory_channel[bytes](100)
        self.first = FIRST

    async def send(self, text: str) -> None:
        own = FORM.make(b"\0" + self.server.encode(), b"nonce!")
        sealed = initial.keys(self.first, initial.SERVER)
        data = {
            "initial": initial.seal(sealed, OWN, own, CRYPTO + bytes(20)),
            "refuse": initial.seal(sealed, OWN, own, b"\x02\0\0\0\0\x1c\x02\0\0" + bytes(20)),
            "close": initial.seal(sealed, OWN, own, b"\x1c\x01\0\0" + bytes(20)),
            "retry": long_header(3, 1, OWN, own) + b"token" + bytes(16),
            "short": b"\x40" + OWN + b"y" * 20,
        }[text]
        await self.socket.sendto(data, self.address)

    async def receive(self) -> str:
        data = await self.get.receive()
        if data[0] & 0x80:
            self.first = parse(data, 0).dcid
        return f"{name(data, initial.CLIENT, self.first)} at {self.server}"

    async def close(self) -> None:
        self.socket.close()

    async def reset(self) -> None:
        raise NotImplementedError


async def build(world: Any) -> None:
    """Servers a and b, and two balancers that share nothing; clients start at the first."""
    world.servers = ("a", "b")
    targets = []
    for server in world.servers:
        sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await sock.bind(LOCAL)
        world.nursery.start_soon(serve, world, server, sock)
        targets.append(Target(server, b"\0" + server.encode(), sock.getsockname()))
    conf = QuicConfig(LOCAL, FORM, 0, 0, 2000.0, 3, tuple(targets))
    first = world.frontend = QuicFrontend(world.engine, conf)
    address = await world.nursery.start(first.run)

    async def dropped(counts: str) -> None:
        assert " ".join(f"{k}={v}" for k, v in sorted(first.dropped.items())) == counts

    world.verbs["dropped"] = dropped
    second = scenario.World(world.nursery)
    second.servers = world.servers
    second.listed("up")
    world.others = await world.nursery.start(QuicFrontend(second.engine, conf).run)

    async def dial(who: str) -> Client:
        client = Client(world, address)
        if who != "c":
            client.first = client.id = who.encode().ljust(8, b"-")
        return client

    world.dial = dial


async def serve(world: Any, server: str, sock: Any) -> None:
    conns: dict[Any, Conn] = {}
    with suppress(trio.ClosedResourceError):
        while True:
            data, address = await sock.recvfrom(2000)
            if address not in conns:
                conns[address] = Conn(server, sock, address)
                world.take(conns[address])
            conns[address].put.send_nowait(data)


UP = """
    c send initial
    s1 expect initial at ?
    s1 send initial
    c expect initial
"""
AT_A = UP.replace("at ?", "at a")
CASES = {
    "placed, then packets go by id, both ways": UP + """
        c send short
        s1 expect short at ?
        s1 send short
        c expect short""",
    "an Initial sent again is the same request": """
        c send initial
        s1 expect initial at ?
        c send initial
        s1 expect initial at ?
        s1 send initial
        c expect initial""",
    "a changed address stays with its server, on a path of its own": UP + """
        c reset
        c send short
        s2 expect short at ?
        s2 send short
        c expect short""",
    "an id that was never seen reaches its server": """
        c send unseen
        s1 expect short at a
        s1 send short
        c expect short""",
    "an id that was never seen reaches its server also while that drains": """
        list draining
        wait 900
        c send unseen
        s1 expect short at a""",
    "a standing connection goes on while its server drains": UP + """
        list draining
        wait 900
        c send short
        s1 expect short at ?""",
    "another balancer routes by the id alone": UP + """
        c other
        c send short
        s2 expect short at ?
        s2 send short
        c expect short""",
    "a stopping balancer lets go, the other goes on": UP + """
        stop
        wait 2500
        c other
        c send short
        s2 expect short at ?""",
    "no server: refused in QUIC's form, again for an Initial sent again": """
        list removed
        c send initial
        c expect close 2
        c send initial
        c expect close 2""",
    "all drain longer than the grace: refused": "list draining\nwait 900\nc send initial\nc expect close 2",
    "a server that refuses is left for the other": """
        c send initial
        s1 expect initial at ?
        s1 send refuse
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "a server that closes with an error is left for the other": """
        c send initial
        s1 expect initial at ?
        s1 send close
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "a port where nothing listens is left for the other": """
        c send initial
        s1 expect initial at ?
        s1 close
        c send initial
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "silence: tried elsewhere, and refused by the deadline": """
        c send initial
        s1 expect initial at ?
        wait 600
        s2 expect initial at ?
        wait 1500
        c expect close 2""",
    "a Retry passes, and the Initial after it goes on": """
        c send initial
        s1 expect initial at ?
        s1 send retry
        c expect retry
        c send initial
        s1 expect initial at ?
        s1 send initial
        c expect initial""",
    "another version is told ours": "c send version\nc expect other",
    "more connections than the file allows are dropped": """
        c send initial
        c2 send initial
        c3 send initial
        c4 send initial
        wait 20
        dropped table-full=1""",
    "what cannot be routed or read is dropped and counted": """
        c send stray
        c send cut
        c send small
        wait 20
        dropped malformed=2 unroutable=1""",
}  # fmt: skip


@pytest.mark.parametrize("script", CASES.values(), ids=CASES.keys())
def test_front(script: str) -> None:
    scenario.run(script, build, max_attempts=2)


def test_flows_end_and_leave_nothing_behind() -> None:
    """Quiet for a minute: the connection, its ids and its place at the engine are gone."""
    worlds: list[Any] = []

    async def keep(world: Any) -> None:
        worlds.append(world)
        await build(world)

    scenario.run(UP + "wait 61000", keep)
    assert worlds[0].frontend.connections == {} and worlds[0].engine.idle


def test_initial_keys_are_those_of_rfc_9001() -> None:
    dcid = bytes.fromhex("8394c8f03e515708")
    client, server = initial.keys(dcid, initial.CLIENT), initial.keys(dcid, initial.SERVER)
    assert client.key.hex() == "1f369613dd76d5467730efcbe3b1a22d"
    assert (
        client.iv.hex() == "fa044b2f42a3fd3b46fb255c"
        and client.hp.hex() == "9f50449e04a0e810283a1e9933adedd2"
    )
    assert server.key.hex() == "cf3a5331653c364c88f0f379b6067e37"


def test_ids_have_their_form_and_length() -> None:
    cid = FORM.make(b"ab", b"nonce!")
    assert cid[0] == 1 << 5 | 8 and FORM.server(cid) == b"ab"
    assert FORM.server(cid[:-1]) is None and FORM.server(b"\xe0" + cid[1:]) is None
    for bad in ((7, 2, 6), (0, 0, 6), (0, 2, 3), (0, 8, 12)):
        with pytest.raises(ValueError):
            IdForm(*bad)


@pytest.mark.parametrize("data", ["", "40", "c0", "c000000001146162", "c0000000010015", "80000000010000"])
def test_malformed_packets_are_named(data: str) -> None:
    with pytest.raises(PacketError):
        parse(bytes.fromhex(data), FORM.length)


def test_numbers_of_each_length() -> None:
    assert varint(bytes.fromhex("c2197c5eff14e88c"), 0) == (151288809941952652, 8)
    assert varint(bytes.fromhex("7bbd"), 0) == (15293, 2) and varint(b"\x25", 0) == (37, 1)
    with pytest.raises(PacketError):
        varint(b"\x80\0", 0)


FILE = (Path(__file__).parents[3] / "deploy" / "quic.toml.example").read_text()


@pytest.mark.parametrize(
    "old, new, what",
    [
        ('listen = "127.0.0.1:4433"', "", "listen"),
        ("config_id = 0", "config_id = 9", "config_id"),
        ('"0a01"', '"0a"', "id of its own"),
        ('"tile-view"', '"other"', "not in"),
        ("[servers]", "[servers", "quic.toml"),
    ],
)
def test_an_unusable_file_is_named(tmp_path: Path, old: str, new: str, what: str) -> None:
    names = SettingNames(("tile-view",), ("herb-ufsul",), (), ())
    path = tmp_path / "quic.toml"
    assert load(path, names) is None
    path.write_text(FILE)
    assert load(path, names)
    path.write_text(FILE.replace(old, new))
    with pytest.raises(ConfigError, match=what):
        load(path, names)
