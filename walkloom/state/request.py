"""What a balancer knows of one request."""

from __future__ import annotations

from walkloom import interface as f
from walkloom.state.endpoint import EndpointState


class RequestState:
    """A request this balancer owes an answer for, or whose connection it holds."""

    def __init__(self, req: f.Request, settings: f.Settings) -> None:
        self.request_class = settings.classes[req.cls]
        self.lot, self.req, self.attempts, self.sent_at, self.load = 0.0, req, 0, 0.0, 0.0
        self.server: EndpointState | None = None  # where the attempt that is out, or the connection, is
        self.tried: set[f.Id] = set()
        self.open = self.trial = self.over = False
        self.asked, self.ask_till, self.waits = 0, 0.0, set[f.Id]()  # rounds of reports; awaited till, from
        self.ran_at = -1.0  # when the first attempt that may have run was sent, and where
        self.ran_on: EndpointState | None = None
