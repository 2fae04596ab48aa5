"""What a balancer knows of one request."""

from __future__ import annotations

from walkloom.messages import EndpointId, Request, Settings
from walkloom.state.endpoint import EndpointState


class RequestState:
    """A request this balancer owes an answer for, or whose connection it holds."""

    def __init__(self, req: Request, settings: Settings) -> None:
        self.request_class = settings.request_classes[req.request_class]
        self.lot, self.req, self.attempts, self.sent_at, self.load = 0.0, req, 0, 0.0, 0.0
        self.server: EndpointState | None = None  # where the attempt that is out, or the connection, is
        self.tried: set[EndpointId] = set()
        self.open = self.trial = self.over = False
        self.asked, self.ask_till = 0, 0.0  # rounds of load reports; they are awaited till then
        self.waits = set[EndpointId]()  # from these
        self.ran_at = -1.0  # when the first attempt that may have run was sent, and where
        self.ran_on: EndpointState | None = None
