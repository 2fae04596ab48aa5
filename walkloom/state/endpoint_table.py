"""All endpoints that a balancer knows, kept in line with the endpoint list."""

from __future__ import annotations

from walkloom.messages import Endpoint, EndpointId, EndpointListUpdate, Lifecycle, Settings, UpdateKind
from walkloom.state.endpoint import READY, EndpointState
from walkloom.state.endpoint_pool import EndpointPool, Tier
from walkloom.state.list_lease import NEVER
from walkloom.state.start_time import plausible_start

_MIN_WEIGHT = 1e-6  # keeps divisions by a weight defined


class EndpointTable:
    """The endpoints by id, and those of them that are ready, made anew only when something changed."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._has_list = False
        # The process had the first list before it could read it: drains in it count from then on.
        self._first_list_is_old = settings.limits_list_age
        self._listed_at = -NEVER  # when the newest list came, ms
        self._usable = Tier(EndpointPool([]), EndpointPool([]))
        self._is_outdated = True
        self.by_id: dict[EndpointId, EndpointState] = {}
        self.ejected: list[EndpointState] = []  # ready ones, as of the newest tier()

    @property
    def last_tier(self) -> Tier:
        """The usable endpoints as of the newest tier()."""
        return self._usable

    def tier(self) -> Tier:
        """The endpoints that are ready and not ejected. Forgets those that are removed and hold nothing."""
        if self._is_outdated:
            self._is_outdated = False
            self.by_id = {
                endpoint.id: endpoint
                for endpoint in self.by_id.values()
                if endpoint.lifecycle or endpoint.connections
            }
            ready = [item for item in self.by_id.values() if item.drain_notified_at == READY]
            self.ejected = [endpoint for endpoint in ready if endpoint.is_ejected]
            usable = [endpoint for endpoint in ready if not endpoint.is_ejected]
            self._usable = Tier.split(usable, self._settings.local_zone)
        return self._usable

    def outdate(self) -> None:
        """An endpoint was ejected or has rejoined: the next tier() is made anew."""
        self._is_outdated = True

    def apply(self, update: EndpointListUpdate, now: float) -> bool:
        """Take in an update that did not fail. Returns whether an endpoint began to drain. now: ms."""
        any_drains = False
        for line in update.endpoints:
            any_drains |= self._apply_line(line, now)
        if update.kind is not UpdateKind.INCREMENTAL:
            listed = {line.id for line in update.endpoints}
            for endpoint in self.by_id.values():
                if endpoint.id not in listed:
                    self._set_lifecycle(endpoint, Lifecycle.REMOVED, now)
        self._has_list = True
        self._listed_at = now
        return any_drains

    def _apply_line(self, line: Endpoint, now: float) -> bool:
        endpoint = self.by_id.get(line.id)
        if endpoint is None:
            if line.lifecycle is Lifecycle.REMOVED:
                return False
            endpoint = self._add(line, now)
        elif _has_restarted(endpoint, line) or _is_back(endpoint, line):
            endpoint.forget_process(now)
            self._is_outdated = True
        if line.started_at != endpoint.claimed_start:
            endpoint.claimed_start = line.started_at
            endpoint.started_at = plausible_start(line.started_at, self._listed_at, now)
        endpoint.zone = line.zone
        endpoint.cell = line.cell
        weight = max(line.capacity_weight, _MIN_WEIGHT)
        if self._settings.weights_follow_load:
            endpoint.spare_weight = weight  # says nothing of the endpoint's size
        else:
            endpoint.capacity_weight = weight
        return self._set_lifecycle(endpoint, line.lifecycle, now)

    def _add(self, line: Endpoint, now: float) -> EndpointState:
        endpoint = EndpointState.from_list(line, plausible_start(line.started_at, self._listed_at, now))
        self.by_id[line.id] = endpoint
        self._is_outdated = True
        if self._has_list:
            endpoint.ramp_started_at = now
        if self._has_list or self._first_list_is_old:
            # It may have drained before: its grace does not begin anew.
            endpoint.drain_notified_at = max(now - self._settings.drain_grace_ms, 0.0)
        return endpoint

    def _set_lifecycle(self, endpoint: EndpointState, lifecycle: Lifecycle, now: float) -> bool:
        """Returns whether the endpoint begins to drain."""
        is_ready = lifecycle is Lifecycle.READY
        was_ready = endpoint.drain_notified_at == READY
        if lifecycle is endpoint.lifecycle and was_ready == is_ready:
            return False
        endpoint.lifecycle = lifecycle
        self._is_outdated = True
        if is_ready:
            endpoint.drain_notified_at = READY
        elif was_ready:
            endpoint.drain_notified_at = now
        return lifecycle is Lifecycle.DRAINING


def _has_restarted(endpoint: EndpointState, line: Endpoint) -> bool:
    """Whether the list claims another start; an earlier one, too, as its clock may have been stepped."""
    return line.started_at > 0 and line.started_at != endpoint.claimed_start


def _is_back(endpoint: EndpointState, line: Endpoint) -> bool:
    return endpoint.lifecycle is Lifecycle.REMOVED and line.lifecycle is Lifecycle.READY
