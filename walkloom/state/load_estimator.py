"""Estimates the load of a connection, as a multiple of the mean of the reported loads."""

from __future__ import annotations

from walkloom.messages import ClientKey, Request

_MIN_MEAN_LOAD = 1e-9  # avoids a division by zero where all reported loads are 0


class LoadEstimator:
    """Estimates loads from reports of the same client, else of the same class; unknown loads count as 1."""

    def __init__(self, classes: int, class_smoothing: float, mean_window: int, max_clients: int) -> None:
        """Create an estimator without reports.

        Args:
            classes: number of request classes.
            class_smoothing: weight of a reported load in the mean of its class.
            mean_window: number of loads over which the overall mean is taken.
            max_clients: maximum number of clients whose load is stored.
        """
        self.class_loads = [1.0] * classes
        self._class_smoothing = class_smoothing
        self._mean_window = mean_window
        self._max_clients = max_clients
        self._client_loads = dict[ClientKey, float]()  # oldest first
        self._report_count = 0
        self._mean = 0.0  # of the reported loads, ms of work per second

    def expected_load(self, request: Request) -> float:
        """Return the load that the connection of a request is expected to add.

        The hint of a client is used only after a load was reported, because it is divided by the mean.
        """
        if request.load and self._mean:
            return request.load / self._mean
        return self._client_loads.get(request.client_key, self.class_loads[request.request_class])

    def record(self, request: Request, reported: float) -> float:
        """Record the load of a connection (ms of work per second); return it as a multiple of the mean."""
        self._report_count += 1
        self._mean += (reported - self._mean) / min(self._report_count, self._mean_window)
        load = reported / max(self._mean, _MIN_MEAN_LOAD)
        if request.client_key is not None:
            self._client_loads[request.client_key] = load
            if len(self._client_loads) > self._max_clients:
                del self._client_loads[next(iter(self._client_loads))]
        class_load = self.class_loads[request.request_class]
        self.class_loads[request.request_class] += self._class_smoothing * (load - class_load)
        return load
