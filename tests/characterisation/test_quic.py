"""The QUIC codecs and front, played with seeded datagrams over sockets in memory.

All names of the program are in the adapter. The front runs on trio's mock clock; datagrams are delivered one
at a time, each after all tasks have come to rest, so that the order in which trio runs them does not show. Of
a refusal its code alone is kept: its own id is drawn from the system's chance.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from tests.characterisation import quic_adapter as quic
from tests.characterisation.recording import Record, Script, committed, digest

PART = "quic"
FORM = (1, 2, 6)
ID_LENGTH = 9
FRONT = ("10.1.0.1", 4433)
Address = tuple[str, int]


# Codecs


def long_header(kind: int, version: int, dcid: bytes, scid: bytes) -> bytes:
    """The beginning of a packet with a long header."""
    ids = bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid
    return bytes([0xC0 | kind << 4]) + version.to_bytes(4) + ids


def some_datagram(rng: Random) -> bytes:
    """A packet of any kind, now and then cut or changed."""
    if rng.random() < 0.3:
        data = bytes([rng.choice([0x40, 0x5A, 0x00])]) + rng.randbytes(rng.randrange(30))
    else:
        version = rng.choice([1, 1, 1, 0, 2, 0x1A2A3A4A])
        dcid, scid = rng.randbytes(rng.randrange(24)), rng.randbytes(rng.randrange(24))
        data = long_header(rng.randrange(4), version, dcid, scid) + rng.randbytes(rng.randrange(40))
    if rng.random() < 0.25:
        data = data[: rng.randrange(len(data) + 1)]
    if data and rng.random() < 0.25:
        at = rng.randrange(min(len(data), 8))
        data = data[:at] + rng.randbytes(1) + data[at + 1 :]
    return data


def play_packets() -> list[Record]:
    """Datagrams parsed, the answers to other versions, and numbers read from them."""
    rng = Random(1)
    records: list[Record] = []
    for _ in range(3000):
        data = some_datagram(rng)
        records.append((quic.parsed(data, rng.choice([0, 4, 9, 20])), quic.other_version(data)))
        records.append(quic.number_at(data, rng.randrange(12)))
    return records


def play_ids() -> list[Record]:
    """Ids made and read in forms that may be none."""
    rng = Random(2)
    records: list[Record] = []
    for _ in range(3000):
        form = (rng.randrange(-1, 9), rng.randrange(5), rng.randrange(2, 20))
        server, nonce = rng.randbytes(max(form[1], 0)), rng.randbytes(form[2])
        made = quic.id_made(form, server, nonce[: rng.choice([20, 20, 20, 3])])
        records.append(made)
        if isinstance(cid := made[-1], bytes):
            changed = bytes([cid[0] ^ rng.choice([0, 0, 1, 32])]) + cid[1 : rng.choice([99, 99, 7])]
            records.append(quic.id_read(form, changed))
    return records


def some_frames(rng: Random) -> bytes:
    """Frames of an Initial: padding, acknowledgements, a hello, a close, or rubbish."""
    kinds = (
        b"\0\0",
        b"\x01",
        b"\x02\x05\x00\x01\x00\x01\x01",
        b"\x03\x40\x05\x00\x00\x00\x01\x02\x03",
        b"\x06\x00\x04helo",
        b"\x1c" + rng.choice([b"\x00", b"\x02", b"\x41\x28"]) + b"\0\0",
        b"\x1d\x02",
        rng.randbytes(2),
    )
    return b"".join(rng.choices(kinds, [4, 2, 3, 3, 4, 2, 1, 1], k=rng.randrange(1, 6)))


def play_initials() -> list[Record]:
    """Initials sealed and opened, also with a wrong key, a bit changed or an end cut off; what they close."""
    rng = Random(3)
    records: list[Record] = []
    for _ in range(400):
        first, side = rng.randbytes(rng.randrange(8, 21)), rng.choice(["client", "server"])
        to, own, frames = rng.randbytes(rng.randrange(9)), rng.randbytes(rng.randrange(9)), some_frames(rng)
        packet = quic.sealed(first, side, to, own, frames.ljust(4, b"\0"), rng.randrange(256))
        records.append((quic.key_fields(first, side), packet, quic.closing(frames)))
        records.append(quic.closing(frames[: rng.randrange(len(frames) + 1)]))
        records.append(quic.unsealed(first, side, packet + bytes(rng.randrange(3))))
        records.append(quic.unsealed(first, rng.choice(["client", "server"]), packet))
        records.append(quic.unsealed(first, side, packet[: rng.randrange(1, len(packet))]))
        at = rng.randrange(len(packet))
        records.append(quic.unsealed(first, side, packet[:at] + rng.randbytes(1) + packet[at + 1 :]))
        records.append(("refusal", quic.refused(first, to, own)))
    return records


# A network in memory


class Socket:
    """One UDP socket; what it sends waits in the network until the play delivers it."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.address: Address = ("10.1.0.2", 40_000 + len(network.sockets))
        self.peer: Address | None = None
        self.put, self.get = trio.open_memory_channel[tuple[bytes, Address] | None](math.inf)
        network.sockets[self.address] = self

    def __enter__(self) -> Socket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    async def bind(self, address: Address) -> None:
        """Takes an address of its own."""
        del self.network.sockets[self.address]
        self.address = address
        self.network.sockets[address] = self

    async def connect(self, address: Address) -> None:
        """Sends to this peer from now on."""
        self.peer = address

    def getsockname(self) -> Address:
        """Its own address."""
        return self.address

    async def send(self, data: bytes) -> int:
        """Sends to the peer."""
        assert self.peer
        return await self.sendto(data, self.peer)

    async def sendto(self, data: bytes, address: Address) -> int:
        """Sends to an address."""
        self.network.sent.append((self.address, address, bytes(data)))
        return len(data)

    async def recv(self, most: int) -> bytes:
        """The next datagram."""
        return (await self.recvfrom(most))[0]

    async def recvfrom(self, most: int) -> tuple[bytes, Address]:
        """The next datagram and whose it is; None in the queue stands for a port where nothing listens."""
        try:
            got = await self.get.receive()
        except trio.EndOfChannel:
            raise trio.ClosedResourceError from None
        if got is None:
            raise ConnectionRefusedError
        return got

    def close(self) -> None:
        """Nothing comes any more."""
        self.network.sockets.pop(self.address, None)
        self.put.close()


class Network(trio.abc.SocketFactory):
    """All sockets of the front, and the datagrams that are on their way."""

    def __init__(self) -> None:
        self.sockets: dict[Address, Socket] = {}
        self.sent: deque[tuple[Address, Address, bytes]] = deque()

    def socket(self, *_: object) -> Any:
        """A new socket, as trio asks for one."""
        return Socket(self)


class Play:
    """Clients and servers around one front, by seeded chance."""

    def __init__(self, seed: int, servers: dict[str, str], clients: int, connections: int) -> None:
        """servers: what each does with an Initial."""
        self.rng, self.network = Random(seed), Network()
        self.servers = {("10.2.0.1", 1 + n): name for n, name in enumerate(servers)}
        self.manners = servers
        self.clients = [("10.3.0.1", 1 + n) for n in range(clients)]
        self.firsts = {client: b"first-%02d" % n for n, client in enumerate(self.clients)}
        self.ids: dict[Address, bytes] = {}
        self.records: list[Record] = []
        ids = {name: (b"\0" + name.encode(), address) for address, name in self.servers.items()}
        self.ids_of_servers = {name: cid for name, (cid, _) in ids.items()}
        trio.socket.set_custom_socket_factory(self.network)
        self.front = quic.Front(FORM, ids, FRONT, connections)

    def note(self, *record: object) -> None:
        """Adds to the record, with the time in whole ms."""
        self.records.append((round(trio.current_time() * 1000.0), *record))

    async def settle(self) -> None:
        """Delivers all that was sent, one datagram at a time."""
        await wait_all_tasks_blocked()
        while self.network.sent:
            source, to, data = self.network.sent.popleft()
            if to in self.servers:
                self.at_server(source, to, data)
            else:
                self.at_client(to, data)
            await wait_all_tasks_blocked()

    def from_outside(self, source: Address, to: Address, data: bytes | None) -> None:
        """A client's or a server's datagram goes to a socket of the front."""
        if socket := self.network.sockets.get(to):
            socket.put.send_nowait(None if data is None else (data, source))

    def at_server(self, source: Address, to: Address, data: bytes) -> None:
        """A server answers as its manner is."""
        name = self.servers[to]
        self.note("server", name, source, data)
        manner = self.manners[name]
        own = quic.id_made(FORM, self.ids_of_servers[name], b"nonce!")[1]
        assert isinstance(own, bytes)
        if manner == "nothing there":
            return self.from_outside(to, source, None)
        if not data[0] & 0x80:
            if manner != "falls silent" and self.rng.random() < 0.7:
                self.from_outside(to, source, b"\x40cl" + self.rng.randbytes(20))
            return None
        first = data[6 : 6 + data[5]]
        frames = {"refuses": b"\x02\0\0\0\0\x1c\x02\0\0", "closes": b"\x1c\x01\0\0", "silent": b""}.get(
            manner, b"\x06\x00\x04helo"
        )
        if manner == "garbles":
            self.from_outside(to, source, b"\xc0\0")
        if frames:
            self.from_outside(to, source, quic.sealed(first, "server", b"cl", own, frames + bytes(20)))
        return None

    def at_client(self, client: Address, data: bytes) -> None:
        """A client learns the id that the server gave it; a refusal is kept by its code alone."""
        first = self.firsts.get(client, b"")
        opened = quic.unsealed(first, "server", data) if data[0] & 0x80 else ("short",)
        frames = opened[-1]
        code = quic.closing(frames) if isinstance(frames, bytes) else ("none",)
        if code == ("gave", 2):
            return self.note("client", client, "refused")
        self.note("client", client, data)
        if opened[0] == "gave":
            self.ids[client] = data[7 + data[5] : 7 + data[5] + data[6 + data[5]]]
        return None

    def client_sends(self, client: Address) -> None:
        """A client sends the next thing that comes to its mind."""
        first, known = self.firsts[client], self.ids.get(client, self.firsts[client])
        hello = quic.sealed(first, "client", first, b"cl", b"\x06\x00\x04helo" + bytes(20))
        unseen = quic.id_made(FORM, self.ids_of_servers["a"], b"%06d" % self.rng.randrange(10**6))[1]
        assert isinstance(unseen, bytes)
        short = b"\x40" + known + self.rng.randbytes(20)
        choices = {
            hello.ljust(1200, b"\0"): 30 if client not in self.ids else 2,
            short: 60 if client in self.ids else 1,
            hello: 1,
            hello[:9]: 1,
            long_header(0, 0x1A2A3A4A, first, b"cl").ljust(1200, b"\0"): 1,
            b"\x40" + unseen + b"x" * 20: 1,
            b"\x40" + b"\xff" * ID_LENGTH + b"x" * 20: 1,
        }
        data = self.rng.choices(list(choices), list(choices.values()))[0]
        source = client if self.rng.random() < 0.9 else (client[0], client[1] + 100)
        self.firsts[source] = first
        if client in self.ids:
            self.ids[source] = known
        self.note("sends", source, data[:40])
        self.from_outside(source, FRONT, data)

    async def run(self, steps: int, pause: float, story: dict[int, str]) -> None:
        """So many datagrams of clients, with what happens at some of the steps, then a long quiet."""
        async with trio.open_nursery() as nursery:
            await self.front.begin(nursery)
            self.front.listed("up")
            for step in range(steps):
                if word := story.get(step):
                    self.tell(nursery, word)
                self.client_sends(self.rng.choice(self.clients))
                await self.pass_time(self.rng.random() * pause)
            self.note("left", self.front.left_behind())
            for _ in range(14):
                await self.pass_time(5.0, step=0.4999)
            self.note("left", self.front.left_behind())
            nursery.cancel_scope.cancel()

    def tell(self, nursery: trio.Nursery, word: str) -> None:
        """The list changes, or the balancer begins to stop."""
        if word == "stop":
            nursery.start_soon(self.front.leave)
        else:
            self.front.listed(word)

    async def pass_time(self, seconds: float, step: float = 0.0501) -> None:
        """Time passes in small steps, so that what tasks send is delivered soon."""
        end = trio.current_time() + seconds
        while (left := end - trio.current_time()) > 0:
            await self.settle()
            await trio.sleep(min(left, step))
        await self.settle()


def play_front(
    seed: int,
    servers: dict[str, str],
    clients: int = 4,
    connections: int = 100,
    steps: int = 80,
    pause: float = 0.3,
    story: dict[int, str] | None = None,
) -> list[Record]:
    """The record of one play at the front."""
    plays: list[Play] = []

    async def main() -> None:
        plays.append(Play(seed, servers, clients, connections))
        await plays[0].run(steps, pause, story or {})

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return plays[0].records


SOUND = {"a": "sound", "b": "sound"}
FRONTS: dict[str, Callable[[], list[Record]]] = {
    "front: sound servers": partial(play_front, 1, SOUND),
    "front: one refuses, one closes": partial(play_front, 2, {"a": "refuses", "b": "sound", "c": "closes"}),
    "front: one silent, one not there": partial(
        play_front, 3, {"a": "silent", "b": "nothing there", "c": "garbles"}
    ),
    "front: servers fall silent": partial(
        play_front, 4, {"a": "falls silent", "b": "falls silent"}, pause=2.0
    ),
    "front: silent servers, Initials sent again": partial(
        play_front, 8, {"a": "silent", "b": "silent"}, clients=2, steps=120, pause=0.25
    ),
    "front: few places": partial(play_front, 5, SOUND, clients=8, connections=3),
    "front: drained, gone and back": partial(
        play_front, 6, SOUND, clients=8, story={10: "draining", 25: "gone", 40: "up"}
    ),
    "front: stops": partial(play_front, 7, SOUND, story={30: "stop"}),
}
SCRIPTS: dict[str, Script] = {"packets": play_packets, "ids": play_ids, "initials": play_initials, **FRONTS}


@pytest.mark.parametrize("name", SCRIPTS)
def test_quic_does_as_it_did(name: str) -> None:
    assert digest(SCRIPTS[name]()) == committed(PART)[name]
