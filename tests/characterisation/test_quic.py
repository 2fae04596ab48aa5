"""Characterisation of the QUIC codecs and frontend with seeded datagrams over in-memory sockets.

All names of the program are in the adapter. The frontend runs on trio's mock clock. Datagrams are delivered
one at a time, each after all tasks are blocked, so that the order in which trio runs the tasks has no effect.
Of a rejection only the error code is recorded, because its source connection id comes from the system's
random number generator.
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
CONNECTION_ID_FORMAT = (1, 2, 6)
CONNECTION_ID_LENGTH = 9
FRONTEND_ADDRESS = ("10.1.0.1", 4433)
Address = tuple[str, int]


# Codecs


def build_long_header(packet_type: int, version: int, dcid: bytes, scid: bytes) -> bytes:
    """Return a long header up to its connection ids."""
    connection_ids = bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid
    return bytes([0xC0 | packet_type << 4]) + version.to_bytes(4) + connection_ids


def generate_datagram(rng: Random) -> bytes:
    """Return a packet of any type, sometimes truncated or corrupted."""
    if rng.random() < 0.3:
        datagram = bytes([rng.choice([0x40, 0x5A, 0x00])]) + rng.randbytes(rng.randrange(30))
    else:
        version = rng.choice([1, 1, 1, 0, 2, 0x1A2A3A4A])
        dcid, scid = rng.randbytes(rng.randrange(24)), rng.randbytes(rng.randrange(24))
        datagram = build_long_header(rng.randrange(4), version, dcid, scid) + rng.randbytes(rng.randrange(40))
    if rng.random() < 0.25:
        datagram = datagram[: rng.randrange(len(datagram) + 1)]
    if datagram and rng.random() < 0.25:
        offset = rng.randrange(min(len(datagram), 8))
        datagram = datagram[:offset] + rng.randbytes(1) + datagram[offset + 1 :]
    return datagram


def play_packets() -> list[Record]:
    """Record parsed datagrams, the answers to other versions, and variable-length integers."""
    rng = Random(1)
    records: list[Record] = []
    for _ in range(3000):
        datagram = generate_datagram(rng)
        records.append(
            (quic.parse_first_header(datagram, rng.choice([0, 4, 9, 20])), quic.negotiate_version(datagram))
        )
        records.append(quic.read_varint(datagram, rng.randrange(12)))
    return records


def play_connection_ids() -> list[Record]:
    """Record connection ids that are encoded and decoded in valid and invalid formats."""
    rng = Random(2)
    records: list[Record] = []
    for _ in range(3000):
        id_format = (rng.randrange(-1, 9), rng.randrange(5), rng.randrange(2, 20))
        server_id, nonce = rng.randbytes(max(id_format[1], 0)), rng.randbytes(id_format[2])
        encoded = quic.encode_connection_id(id_format, server_id, nonce[: rng.choice([20, 20, 20, 3])])
        records.append(encoded)
        if isinstance(connection_id := encoded[-1], bytes):
            changed = (
                bytes([connection_id[0] ^ rng.choice([0, 0, 1, 32])])
                + connection_id[1 : rng.choice([99, 99, 7])]
            )
            records.append(quic.decode_connection_id(id_format, changed))
    return records


def generate_frames(rng: Random) -> bytes:
    """Return frames of an Initial packet: PADDING, PING, ACK, CRYPTO, CONNECTION_CLOSE, or random octets."""
    frames = (
        b"\0\0",
        b"\x01",
        b"\x02\x05\x00\x01\x00\x01\x01",
        b"\x03\x40\x05\x00\x00\x00\x01\x02\x03",
        b"\x06\x00\x04helo",
        b"\x1c" + rng.choice([b"\x00", b"\x02", b"\x41\x28"]) + b"\0\0",
        b"\x1d\x02",
        rng.randbytes(2),
    )
    return b"".join(rng.choices(frames, [4, 2, 3, 3, 4, 2, 1, 1], k=rng.randrange(1, 6)))


def play_initials() -> list[Record]:
    """Record Initial packets that are encrypted and decrypted, and the error codes of their frames.

    Some are decrypted with the wrong key, with an octet changed, or truncated.
    """
    rng = Random(3)
    records: list[Record] = []
    for _ in range(400):
        client_dcid, sender = rng.randbytes(rng.randrange(8, 21)), rng.choice(["client", "server"])
        dcid, scid, frames = (
            rng.randbytes(rng.randrange(9)),
            rng.randbytes(rng.randrange(9)),
            generate_frames(rng),
        )
        packet = quic.encrypt(client_dcid, sender, dcid, scid, frames.ljust(4, b"\0"), rng.randrange(256))
        records.append((quic.derive_keys(client_dcid, sender), packet, quic.find_close_code(frames)))
        records.append(quic.find_close_code(frames[: rng.randrange(len(frames) + 1)]))
        records.append(quic.decrypt(client_dcid, sender, packet + bytes(rng.randrange(3))))
        records.append(quic.decrypt(client_dcid, rng.choice(["client", "server"]), packet))
        records.append(quic.decrypt(client_dcid, sender, packet[: rng.randrange(1, len(packet))]))
        offset = rng.randrange(len(packet))
        records.append(
            quic.decrypt(client_dcid, sender, packet[:offset] + rng.randbytes(1) + packet[offset + 1 :])
        )
        records.append(("refusal", quic.build_rejection(client_dcid, dcid, scid)))
    return records


# In-memory network


class Socket:
    """A UDP socket; datagrams that it sends stay in the network until the simulation delivers them."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.address: Address = ("10.1.0.2", 40_000 + len(network.sockets))
        self.peer: Address | None = None
        self.incoming, self._received = trio.open_memory_channel[tuple[bytes, Address] | None](math.inf)
        network.sockets[self.address] = self

    def __enter__(self) -> Socket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    async def bind(self, address: Address) -> None:
        """Replace the socket's address."""
        del self.network.sockets[self.address]
        self.address = address
        self.network.sockets[address] = self

    async def connect(self, address: Address) -> None:
        """Set the peer that `send` sends to."""
        self.peer = address

    def getsockname(self) -> Address:
        """Return the socket's address."""
        return self.address

    async def send(self, datagram: bytes) -> int:
        """Send a datagram to the peer."""
        assert self.peer
        return await self.sendto(datagram, self.peer)

    async def sendto(self, datagram: bytes, address: Address) -> int:
        """Send a datagram to an address."""
        self.network.in_flight.append((self.address, address, bytes(datagram)))
        return len(datagram)

    async def recv(self, max_bytes: int) -> bytes:
        """Return the next datagram."""
        return (await self.recvfrom(max_bytes))[0]

    async def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        """Return the next datagram and its source; None in the queue is an ICMP "port unreachable" error."""
        try:
            received = await self._received.receive()
        except trio.EndOfChannel:
            raise trio.ClosedResourceError from None
        if received is None:
            raise ConnectionRefusedError
        return received

    def close(self) -> None:
        """Close the socket; no further datagrams are delivered to it."""
        self.network.sockets.pop(self.address, None)
        self.incoming.close()


class Network(trio.abc.SocketFactory):
    """All sockets of the frontend, and the datagrams in flight."""

    def __init__(self) -> None:
        self.sockets: dict[Address, Socket] = {}
        self.in_flight: deque[tuple[Address, Address, bytes]] = deque()

    def socket(self, *_: object) -> Any:
        """Return a new socket; called by trio."""
        return Socket(self)


class Simulation:
    """Clients and servers around one frontend, driven by a seeded random generator."""

    def __init__(self, seed: int, servers: dict[str, str], clients: int, max_connections: int) -> None:
        """Create the peers and the frontend; servers: how each server reacts to an Initial packet."""
        self.rng, self.network = Random(seed), Network()
        self.servers = {("10.2.0.1", 1 + n): name for n, name in enumerate(servers)}
        self.behaviours = servers
        self.clients = [("10.3.0.1", 1 + n) for n in range(clients)]
        # The destination connection id of each client's first Initial packet.
        self.initial_dcids = {client: b"first-%02d" % n for n, client in enumerate(self.clients)}
        # The connection id that a server has issued to each client.
        self.issued_ids: dict[Address, bytes] = {}
        self.records: list[Record] = []
        endpoints = {name: (b"\0" + name.encode(), address) for address, name in self.servers.items()}
        self.server_ids = {name: server_id for name, (server_id, _) in endpoints.items()}
        trio.socket.set_custom_socket_factory(self.network)
        self.frontend = quic.Frontend(CONNECTION_ID_FORMAT, endpoints, FRONTEND_ADDRESS, max_connections)

    def record(self, *record: object) -> None:
        """Append a record, with the time in whole milliseconds."""
        self.records.append((round(trio.current_time() * 1000.0), *record))

    async def deliver_in_flight(self) -> None:
        """Deliver all datagrams in flight, one at a time."""
        await wait_all_tasks_blocked()
        while self.network.in_flight:
            source, destination, datagram = self.network.in_flight.popleft()
            if destination in self.servers:
                self.receive_at_server(source, destination, datagram)
            else:
                self.receive_at_client(destination, datagram)
            await wait_all_tasks_blocked()

    def send_to_frontend(self, source: Address, destination: Address, datagram: bytes | None) -> None:
        """Deliver a client's or a server's datagram to a socket of the frontend; None: an ICMP error."""
        if socket := self.network.sockets.get(destination):
            socket.incoming.send_nowait(None if datagram is None else (datagram, source))

    def receive_at_server(self, source: Address, destination: Address, datagram: bytes) -> None:
        """Have a server answer according to its behaviour."""
        name = self.servers[destination]
        self.record("server", name, source, datagram)
        behaviour = self.behaviours[name]
        own_id = quic.encode_connection_id(CONNECTION_ID_FORMAT, self.server_ids[name], b"nonce!")[1]
        assert isinstance(own_id, bytes)
        if behaviour == "nothing there":
            return self.send_to_frontend(destination, source, None)
        if not datagram[0] & 0x80:
            if behaviour != "falls silent" and self.rng.random() < 0.7:
                self.send_to_frontend(destination, source, b"\x40cl" + self.rng.randbytes(20))
            return None
        client_dcid = datagram[6 : 6 + datagram[5]]
        frames = {"refuses": b"\x02\0\0\0\0\x1c\x02\0\0", "closes": b"\x1c\x01\0\0", "silent": b""}.get(
            behaviour, b"\x06\x00\x04helo"
        )
        if behaviour == "garbles":
            self.send_to_frontend(destination, source, b"\xc0\0")
        if frames:
            self.send_to_frontend(
                destination, source, quic.encrypt(client_dcid, "server", b"cl", own_id, frames + bytes(20))
            )
        return None

    def receive_at_client(self, client: Address, datagram: bytes) -> None:
        """Have a client store the connection id that the server issued; record a rejection by its code."""
        client_dcid = self.initial_dcids.get(client, b"")
        decrypted = quic.decrypt(client_dcid, "server", datagram) if datagram[0] & 0x80 else ("short",)
        frames = decrypted[-1]
        close_code = quic.find_close_code(frames) if isinstance(frames, bytes) else ("none",)
        if close_code == ("gave", 2):
            return self.record("client", client, "refused")
        self.record("client", client, datagram)
        if decrypted[0] == "gave":
            self.issued_ids[client] = datagram[7 + datagram[5] : 7 + datagram[5] + datagram[6 + datagram[5]]]
        return None

    def send_from_client(self, client: Address) -> None:
        """Have a client send a randomly chosen datagram, sometimes from another address."""
        client_dcid, dcid = (
            self.initial_dcids[client],
            self.issued_ids.get(client, self.initial_dcids[client]),
        )
        initial = quic.encrypt(client_dcid, "client", client_dcid, b"cl", b"\x06\x00\x04helo" + bytes(20))
        unseen_id = quic.encode_connection_id(
            CONNECTION_ID_FORMAT, self.server_ids["a"], b"%06d" % self.rng.randrange(10**6)
        )[1]
        assert isinstance(unseen_id, bytes)
        one_rtt = b"\x40" + dcid + self.rng.randbytes(20)
        weights = {
            initial.ljust(1200, b"\0"): 30 if client not in self.issued_ids else 2,
            one_rtt: 60 if client in self.issued_ids else 1,
            initial: 1,
            initial[:9]: 1,
            build_long_header(0, 0x1A2A3A4A, client_dcid, b"cl").ljust(1200, b"\0"): 1,
            b"\x40" + unseen_id + b"x" * 20: 1,
            b"\x40" + b"\xff" * CONNECTION_ID_LENGTH + b"x" * 20: 1,
        }
        datagram = self.rng.choices(list(weights), list(weights.values()))[0]
        source = client if self.rng.random() < 0.9 else (client[0], client[1] + 100)
        self.initial_dcids[source] = client_dcid
        if client in self.issued_ids:
            self.issued_ids[source] = dcid
        self.record("sends", source, datagram[:40])
        self.send_to_frontend(source, FRONTEND_ADDRESS, datagram)

    async def run(self, steps: int, max_pause_s: float, events: dict[int, str]) -> None:
        """Send one client datagram per step, apply the events of the steps, then wait for idle timeouts."""
        async with trio.open_nursery() as nursery:
            await self.frontend.start(nursery)
            self.frontend.list_servers("up")
            for step in range(steps):
                if event := events.get(step):
                    self.apply_event(nursery, event)
                self.send_from_client(self.rng.choice(self.clients))
                await self.advance_time(self.rng.random() * max_pause_s)
            self.record("left", self.frontend.get_remaining_state())
            for _ in range(14):
                await self.advance_time(5.0, step_s=0.4999)
            self.record("left", self.frontend.get_remaining_state())
            nursery.cancel_scope.cancel()

    def apply_event(self, nursery: trio.Nursery, event: str) -> None:
        """Change the state of the listed servers, or begin the balancer's shutdown."""
        if event == "stop":
            nursery.start_soon(self.frontend.migrate_connections)
        else:
            self.frontend.list_servers(event)

    async def advance_time(self, duration_s: float, step_s: float = 0.0501) -> None:
        """Advance the clock in small steps, so that datagrams sent by tasks are delivered soon."""
        end = trio.current_time() + duration_s
        while (remaining_s := end - trio.current_time()) > 0:
            await self.deliver_in_flight()
            await trio.sleep(min(remaining_s, step_s))
        await self.deliver_in_flight()


def play_frontend(
    seed: int,
    servers: dict[str, str],
    clients: int = 4,
    max_connections: int = 100,
    steps: int = 80,
    max_pause_s: float = 0.3,
    events: dict[int, str] | None = None,
) -> list[Record]:
    """Return the records of one simulation with the frontend."""
    simulations: list[Simulation] = []

    async def main() -> None:
        simulations.append(Simulation(seed, servers, clients, max_connections))
        await simulations[0].run(steps, max_pause_s, events or {})

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return simulations[0].records


HEALTHY_SERVERS = {"a": "sound", "b": "sound"}
FRONTEND_SCRIPTS: dict[str, Callable[[], list[Record]]] = {
    "front: sound servers": partial(play_frontend, 1, HEALTHY_SERVERS),
    "front: one refuses, one closes": partial(
        play_frontend, 2, {"a": "refuses", "b": "sound", "c": "closes"}
    ),
    "front: one silent, one not there": partial(
        play_frontend, 3, {"a": "silent", "b": "nothing there", "c": "garbles"}
    ),
    "front: servers fall silent": partial(
        play_frontend, 4, {"a": "falls silent", "b": "falls silent"}, max_pause_s=2.0
    ),
    "front: silent servers, Initials sent again": partial(
        play_frontend, 8, {"a": "silent", "b": "silent"}, clients=2, steps=120, max_pause_s=0.25
    ),
    "front: few places": partial(play_frontend, 5, HEALTHY_SERVERS, clients=8, max_connections=3),
    "front: drained, gone and back": partial(
        play_frontend, 6, HEALTHY_SERVERS, clients=8, events={10: "draining", 25: "gone", 40: "up"}
    ),
    "front: stops": partial(play_frontend, 7, HEALTHY_SERVERS, events={30: "stop"}),
}
SCRIPTS: dict[str, Script] = {
    "packets": play_packets,
    "ids": play_connection_ids,
    "initials": play_initials,
    **FRONTEND_SCRIPTS,
}


@pytest.mark.parametrize("name", SCRIPTS)
def test_quic_behaviour_matches_the_recorded_digests(name: str) -> None:
    assert digest(SCRIPTS[name]()) == committed(PART)[name]
