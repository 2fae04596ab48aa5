"""A small blocking form, for scripts: the asyncio client on a thread of its own, so that sessions come
back and
answer in time while the script does something else.

    with Client(["10.0.0.4:9000"], [ClassPolicy("tile-view", 300, 1200)]) as client:
        with client.open("tile-view", tenant="herb-serra") as session:
            session.send("sheet 17")
            print(session.receive())
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine, Sequence
from typing import Any, Self, TypeVar

from walkloom.client import on_asyncio
from walkloom.client.metrics import Figures
from walkloom.client.settings import ClassPolicy, Limits

T = TypeVar("T")


class Client:
    """As `on_asyncio.Client`, as a plain context manager; its sessions may be used from any thread."""

    def __init__(
        self,
        balancers: Sequence[str],
        classes: Sequence[ClassPolicy],
        limits: Limits | None = None,
        seed: int | None = None,
    ) -> None:
        self._client = on_asyncio.Client(balancers, classes, limits, seed)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="walkloom-client", daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        self.run(self._client.__aenter__())
        return self

    def __exit__(self, *_: object) -> None:
        self.run(self._client.__aexit__())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def open(self, cls: str, **about: Any) -> Session:
        """As `on_asyncio.Client.open`, with the same names and errors."""
        return Session(self, self.run(self._client.open(cls, **about)))

    def figures(self) -> Figures:
        """Counters and histograms since the client's start."""

        async def look() -> Figures:
            return self._client.figures()

        return self.run(look())

    def run(self, what: Coroutine[Any, Any, T], timeout: float | None = None) -> T:
        """Runs it on the client's thread. timeout: seconds, then TimeoutError, and it is cancelled."""
        future = asyncio.run_coroutine_threadsafe(what, self._loop)
        try:
            return future.result(timeout)
        except BaseException:  # a time-out, or a key press in the script: nobody waits for it any more
            future.cancel()
            raise


class Session:
    """As `on_asyncio.Session`, without await; iterable."""

    def __init__(self, client: Client, session: on_asyncio.Session) -> None:
        self._client, self._session = client, session

    @property
    def receipt(self) -> str:
        """What the server's newest UP line told."""
        return self._session.receipt

    @property
    def standing(self) -> bool:
        """Whether it is connected now; False while it comes back, and when it is over."""
        return self._session.standing

    def send(self, line: str, timeout: float | None = None) -> None:
        """timeout: seconds to wait for room, then TimeoutError and nothing is sent."""
        self._client.run(self._session.send(line), timeout)

    def receive(self, timeout: float | None = None) -> str | None:
        """timeout: seconds to wait for a line, then TimeoutError and no line is lost."""
        return self._client.run(self._session.receive(), timeout)

    def __iter__(self) -> Self:
        return self

    def __next__(self) -> str:
        if (line := self.receive()) is None:
            raise StopIteration
        return line

    def close(self) -> None:
        """Ends the session. Harmless when it is over."""
        self._client.run(self._session.aclose())

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
