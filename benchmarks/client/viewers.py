"""The viewers of the fleet scenarios, with and without the client library; each keeps one session open."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import suppress
from random import Random

import trio

from walkloom.client import ClassPolicy, ClientError, Interrupted, Rejected
from walkloom.client.driver import Session
from walkloom.client.on_trio import Client, _Connection
from walkloom.client.session import Session as CoreSession
from walkloom.lab.settings import CLASSES, LabClass
from walkloom.transport.line_stream import LineStream

POLICIES = tuple(
    ClassPolicy(c.name, c.latency_objective_ms, c.deadline_ms, worth=c.priority_weight) for c in CLASSES
)
CLASS_INDEX_PATTERN = (0, 0, 0, 0, 0, 1, 1, 1, 2, 3)  # classes of ten successive viewers
START_INTERVAL_S = 0.01  # between the first requests of successive viewers
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MIN_PAUSE_S = 0.002  # keeps the speed of this process from determining the number of attempts
REOPEN_PAUSE_S = 0.2  # after the end of a session, for viewers with the library
AFFINITY_GROUP_COUNT = 60


def class_of(number: int) -> LabClass:
    """Return the class of the requests of the viewer with that number."""
    return CLASSES[CLASS_INDEX_PATTERN[number % len(CLASS_INDEX_PATTERN)]]


class Viewer:
    """A client that keeps one session established.

    on_attempt: called at each attempt that this viewer makes without the library. `CountingClient` reports
    those of the library.
    """

    def __init__(self, number: int, on_attempt: Callable[[], None]) -> None:
        self.number = number
        self.request_class = class_of(number)
        self._on_attempt = on_attempt

    @property
    def established(self) -> bool:
        """Whether this viewer's session is established."""
        raise NotImplementedError


class PlainViewer(Viewer):
    """A viewer without the library: one attempt after another, each with the whole timeout of its class."""

    def __init__(self, number: int, on_attempt: Callable[[], None]) -> None:
        super().__init__(number, on_attempt)
        self._random = Random(number)
        self._established = False

    @property
    def established(self) -> bool:
        """Whether this viewer's session is established."""
        return self._established

    async def run(self, addresses: Sequence[str], has_backoff: bool) -> None:
        """Keep one session established until cancelled."""
        failures = 0
        is_reconnect = False
        await trio.sleep(self.number * START_INTERVAL_S)
        while True:
            address = self._random.choice(addresses)
            if await self._attempt(address, is_reconnect, is_retry=failures > 0):
                failures = 0
                is_reconnect = True
            else:
                failures += 1
            pause_s = self._backoff_s(failures) if has_backoff else 0.0
            await trio.sleep(max(pause_s, MIN_PAUSE_S))

    def _backoff_s(self, failures: int) -> float:
        max_pause_s = min(INITIAL_BACKOFF_S * 2.0**failures, MAX_BACKOFF_S)
        return max_pause_s * (0.5 + self._random.random() / 2.0)

    def _opening_line(self, is_reconnect: bool, is_retry: bool) -> bytes:
        flags = (",again=1" if is_reconnect else "") + (",r=1" if is_retry else "")
        timeout_ms = self.request_class.deadline_ms
        group = self.number % AFFINITY_GROUP_COUNT + 1
        fields = f"c={self.request_class.name},t=herb-serra,d={timeout_ms:.0f},g={group:x}{flags}"
        request_id = self._random.getrandbits(64)
        return f"OPEN {request_id:x} {self.number + 1:x} {fields}\r\n".encode()

    async def _attempt(self, address: str, is_reconnect: bool, is_retry: bool) -> bool:
        """Make one attempt and keep its session until it ends; return whether it was established."""
        host, _, port = address.rpartition(":")
        opening_line = self._opening_line(is_reconnect, is_retry)
        line_stream = None
        self._on_attempt()
        try:
            with trio.move_on_after(self.request_class.deadline_ms / 1000.0):
                line_stream = LineStream(await trio.open_tcp_stream(host, int(port)))
                await line_stream.send(opening_line)
                self._established = (await line_stream.read_line()).startswith(b"UP")
            if line_stream and self._established:
                while b"MOVE" not in await line_stream.read_complete_lines() and not line_stream.ended:
                    pass
                return True
        except (OSError, trio.BrokenResourceError):
            return self._established
        finally:
            self._established = False
            if line_stream:
                with trio.CancelScope(shield=True):
                    await line_stream.close()
        return False


class LibraryViewer(Viewer):
    """A viewer with the library."""

    def __init__(self, number: int, on_attempt: Callable[[], None]) -> None:
        super().__init__(number, on_attempt)
        self._session: Session | None = None

    @property
    def established(self) -> bool:
        """Whether this viewer's session is established."""
        return self._session is not None and self._session.established

    async def run(self, client: Client) -> None:
        """Keep one session established until cancelled."""
        await trio.sleep(self.number * START_INTERVAL_S)
        while True:
            pause_s = REOPEN_PAUSE_S
            try:
                await self._hold_session(client)
            except Rejected as error:
                pause_s = max(error.retry_after / 1000.0, pause_s)
            except ClientError:
                pass
            self._session = None
            await trio.sleep(pause_s)

    async def _hold_session(self, client: Client) -> None:
        group = self.number % AFFINITY_GROUP_COUNT + 1
        self._session = await client.open(
            self.request_class.name, tenant="herb-serra", group=group, key=self.number + 1
        )
        while True:
            with suppress(Interrupted):
                await self._session.receive()


class CountingClient(Client):
    """The library's client, which calls `on_attempt` at each attempt."""

    on_attempt: Callable[[], None]

    def _connect(self, session: CoreSession, connection_id: int, address: tuple[str, int]) -> _Connection:
        self.on_attempt()
        return super()._connect(session, connection_id, address)
