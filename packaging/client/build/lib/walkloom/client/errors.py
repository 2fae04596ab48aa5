"""What the library raises. Every error is a ClientError; the docs list them in one table."""

from __future__ import annotations


class ClientError(Exception):
    """Base of all that this library raises on purpose; the text is one sentence for a person."""


class Refused(ClientError):
    """The request was refused, by a balancer or ahead of one that has asked for patience.

    retry_after: milliseconds from the raise after which trying again makes sense; 0.0 where nobody told one.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"refused; come again in {retry_after:.0f} ms" if retry_after else "refused")
        self.retry_after = retry_after


class TimedOut(ClientError):
    """The class's give-up time is over, or so little of it is left that no try could finish."""


class Failed(ClientError):
    """The request failed, or the session ended for good; the text says why."""


class TooMany(ClientError):
    """The client holds as many sessions as `Limits.sessions` allows."""


class Interrupted(ClientError):
    """A standing session was moved or broke with lines that had no answer yet. Raised once, by `receive`.

    unanswered: those lines, oldest first, as they were given to `send`. The server may have seen them; the
    library never sends them again. Call `receive` again to go on: the session is coming back, unless `over`.
    why: "moved" or what broke. over: the session does not come back (`returns=False`).
    """

    def __init__(self, unanswered: tuple[str, ...], why: str, over: bool = False) -> None:
        super().__init__(f"{why}; {len(unanswered)} lines have no answer")
        self.unanswered, self.why, self.over = unanswered, why, over


class ProtocolError(ClientError):
    """Bytes that no balancer sends: an over-long line, or one that is not text."""
