"""All endpoints that a balancer knows, updated from the endpoint list."""

from __future__ import annotations

from walkloom.messages import Endpoint, EndpointId, EndpointListUpdate, Lifecycle, Settings, UpdateKind
from walkloom.state.endpoint import NOT_DRAINING, EndpointState
from walkloom.state.endpoint_pool import EndpointPool, Tier
from walkloom.state.list_lease import INFINITE_TIME
from walkloom.state.start_time import choose_start_time

_MIN_WEIGHT = 1e-6  # avoids a division by zero


class EndpointTable:
    """The endpoints by id, and a tier of the ready ones, which is rebuilt only after a change."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._has_list = False
        # A process may read its first list late: a drain in that list counts from the list's arrival.
        self._first_list_may_be_stale = settings.limits_list_age
        self._last_list_at = -INFINITE_TIME  # when the newest list was received, ms
        self._tier = Tier(EndpointPool([]), EndpointPool([]))
        self._is_stale = True
        self.by_id: dict[EndpointId, EndpointState] = {}
        # The ready endpoints that are ejected, as of the last call of tier().
        self.ejected: list[EndpointState] = []

    @property
    def cached_tier(self) -> Tier:
        """The usable endpoints as of the last call of tier()."""
        return self._tier

    def tier(self) -> Tier:
        """Return the ready endpoints that are not ejected; drop removed ones without connections."""
        if self._is_stale:
            self._is_stale = False
            self.by_id = {
                endpoint.id: endpoint
                for endpoint in self.by_id.values()
                if endpoint.lifecycle or endpoint.connections
            }
            ready = [item for item in self.by_id.values() if item.drain_notified_at == NOT_DRAINING]
            self.ejected = [endpoint for endpoint in ready if endpoint.is_ejected]
            usable = [endpoint for endpoint in ready if not endpoint.is_ejected]
            self._tier = Tier.split(usable, self._settings.local_zone)
        return self._tier

    def invalidate(self) -> None:
        """Have the next tier() rebuilt, after an endpoint was ejected or rejoined."""
        self._is_stale = True

    def apply(self, update: EndpointListUpdate, now: float, notified_at: float | None = None) -> bool:
        """Apply an update that is not FAILED; return whether an endpoint began to drain.

        now: the current time, ms. notified_at: when the changes count as notified, ms; None: now.
        """
        notified_at = now if notified_at is None else notified_at
        any_drains = False
        for entry in update.endpoints:
            any_drains |= self._apply_entry(entry, now, notified_at)
        if update.kind is not UpdateKind.INCREMENTAL:
            listed = {entry.id for entry in update.endpoints}
            for endpoint in self.by_id.values():
                if endpoint.id not in listed:
                    self._set_lifecycle(endpoint, Lifecycle.REMOVED, notified_at)
        self._has_list = True
        self._last_list_at = now
        return any_drains

    def _apply_entry(self, entry: Endpoint, now: float, notified_at: float) -> bool:
        endpoint = self.by_id.get(entry.id)
        if endpoint is None:
            if entry.lifecycle is Lifecycle.REMOVED:
                return False
            endpoint = self._add(entry, now)
        elif _has_restarted(endpoint, entry) or _was_added_again(endpoint, entry):
            endpoint.reset_for_restart(now)
            self._is_stale = True
        if entry.started_at != endpoint.listed_started_at:
            endpoint.listed_started_at = entry.started_at
            endpoint.started_at = choose_start_time(entry.started_at, self._last_list_at, now)
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        weight = max(entry.capacity_weight, _MIN_WEIGHT)
        if self._settings.weights_follow_load:
            endpoint.remaining_weight = weight  # depends on the load, not on the endpoint's total capacity
        else:
            endpoint.capacity_weight = weight
        return self._set_lifecycle(endpoint, entry.lifecycle, notified_at)

    def _add(self, entry: Endpoint, now: float) -> EndpointState:
        endpoint = EndpointState.from_list(
            entry, choose_start_time(entry.started_at, self._last_list_at, now)
        )
        self.by_id[entry.id] = endpoint
        self._is_stale = True
        if self._has_list:
            endpoint.ramp_started_at = now
        if self._has_list or self._first_list_may_be_stale:
            # It may have been draining already: its drain grace does not restart.
            endpoint.drain_notified_at = max(now - self._settings.drain_grace_ms, 0.0)
        return endpoint

    def _set_lifecycle(self, endpoint: EndpointState, lifecycle: Lifecycle, notified_at: float) -> bool:
        """Set the lifecycle; return whether the endpoint begins to drain."""
        is_ready = lifecycle is Lifecycle.READY
        was_ready = endpoint.drain_notified_at == NOT_DRAINING
        if lifecycle is endpoint.lifecycle and was_ready == is_ready:
            return False
        endpoint.lifecycle = lifecycle
        self._is_stale = True
        if is_ready:
            endpoint.drain_notified_at = NOT_DRAINING
        elif was_ready:
            endpoint.drain_notified_at = notified_at
        return lifecycle is Lifecycle.DRAINING


def _has_restarted(endpoint: EndpointState, entry: Endpoint) -> bool:
    """Whether the list has another start time; an earlier one counts too, as clocks may be stepped."""
    return entry.started_at > 0 and entry.started_at != endpoint.listed_started_at


def _was_added_again(endpoint: EndpointState, entry: Endpoint) -> bool:
    return endpoint.lifecycle is Lifecycle.REMOVED and entry.lifecycle is Lifecycle.READY
