"""Estimates the load of a connection, as a multiple of the mean of the loads that were reported."""

from __future__ import annotations

from walkloom.messages import ClientKey, Request

_SMALLEST_MEAN = 1e-9  # keeps the division defined where all loads reported are 0


class LoadEstimator:
    """Loads by client where they were reported, else by class; a connection of unknown load counts as one."""

    def __init__(self, classes: int, class_smoothing: float, mean_window: int, max_clients: int) -> None:
        """classes: how many there are. class_smoothing: weight of a reported load in its class's mean.

        mean_window: loads over which the mean of all is taken. max_clients: most clients remembered.
        """
        self.class_loads = [1.0] * classes
        self._class_smoothing = class_smoothing
        self._mean_window = mean_window
        self._max_clients = max_clients
        self._client_loads = dict[ClientKey, float]()  # oldest first
        self._report_count = 0
        self._mean = 0.0  # of the loads reported, in their unit

    def load_of(self, request: Request) -> float:
        """What its connection is expected to add; a hint of the client counts once any load was reported."""
        if request.load and self._mean:
            return request.load / self._mean
        return self._client_loads.get(request.client_key, self.class_loads[request.request_class])

    def record(self, request: Request, reported: float) -> float:
        """Take in the load reported of its connection, ms of work a second; return it as a multiple."""
        self._report_count += 1
        self._mean += (reported - self._mean) / min(self._report_count, self._mean_window)
        load = reported / max(self._mean, _SMALLEST_MEAN)
        if request.client_key is not None:
            self._client_loads[request.client_key] = load
            if len(self._client_loads) > self._max_clients:
                del self._client_loads[next(iter(self._client_loads))]
        class_load = self.class_loads[request.request_class]
        self.class_loads[request.request_class] += self._class_smoothing * (load - class_load)
        return load
