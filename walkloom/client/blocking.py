"""A blocking client for scripts, which runs the asyncio client on a separate thread.

Because of the thread, sessions answer the server and reconnect in time while the script is busy.

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

ResultT = TypeVar("ResultT")


class Client:
    """`on_asyncio.Client` as a synchronous context manager; its sessions may be used from any thread."""

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

    def open(self, cls: str, **attributes: Any) -> Session:
        """Open a session; the arguments and errors are those of `on_asyncio.Client.open`."""
        return Session(self, self.run(self._client.open(cls, **attributes)))

    def figures(self) -> Figures:
        """Return counters and histograms since the client's start."""

        async def on_client_thread() -> Figures:
            return self._client.figures()

        return self.run(on_client_thread())

    def run(self, coroutine: Coroutine[Any, Any, ResultT], timeout: float | None = None) -> ResultT:
        """Run a coroutine on the client's thread and return its result.

        timeout: seconds after which the coroutine is cancelled and TimeoutError is raised.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return future.result(timeout)
        except BaseException:  # a timeout, or Ctrl-C in the script: the result is no longer needed
            future.cancel()
            raise


class Session:
    """`on_asyncio.Session` with blocking methods; iterable."""

    def __init__(self, client: Client, session: on_asyncio.Session) -> None:
        self._client = client
        self._session = session

    @property
    def receipt(self) -> str:
        """The text after `UP` in the latest answer that established the session."""
        return self._session.receipt

    @property
    def established(self) -> bool:
        """Whether the session is established; False while it reconnects and after it is closed."""
        return self._session.established

    @property
    def standing(self) -> bool:
        """Former name of `established`, for one release."""
        return self.established

    def send(self, line: str, timeout: float | None = None) -> None:
        """Send one line.

        timeout: seconds to wait until the line may be sent; then TimeoutError is raised and nothing is sent.
        """
        self._client.run(self._session.send(line), timeout)

    def receive(self, timeout: float | None = None) -> str | None:
        """Return the next line; None after the server has ended the session regularly.

        timeout: seconds to wait for a line; then TimeoutError is raised and no line is lost.
        """
        return self._client.run(self._session.receive(), timeout)

    def __iter__(self) -> Self:
        return self

    def __next__(self) -> str:
        line = self.receive()
        if line is None:
            raise StopIteration
        return line

    def close(self) -> None:
        """End the session; does nothing if it is closed."""
        self._client.run(self._session.aclose())

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
