"""Loads are multiples of the mean reported load: by client, else by class, else 1."""

from __future__ import annotations

import pytest

from walkloom.messages import Request
from walkloom.state import LoadEstimator


def estimator(max_clients: int = 10) -> LoadEstimator:
    return LoadEstimator(2, class_smoothing=0.5, mean_window=100, max_clients=max_clients)


def request(client: object = None, request_class: int = 0, load: float | None = None) -> Request:
    return Request(1, request_class, 0.0, client_key=client, load=load)


def test_a_connection_of_unknown_load_counts_as_one() -> None:
    assert estimator().expected_load(request()) == 1.0


def test_a_hint_counts_only_once_a_load_was_reported() -> None:
    loads = estimator()
    assert loads.expected_load(request(load=80.0)) == 1.0
    loads.record(request(), 40.0)
    assert loads.expected_load(request(load=80.0)) == 2.0


def test_loads_are_relative_to_the_mean_of_the_reported_loads() -> None:
    loads = estimator()
    assert loads.record(request("first"), 10.0) == 1.0
    assert loads.record(request("second"), 30.0) == pytest.approx(1.5)
    assert loads.expected_load(request("second")) == pytest.approx(1.5)


def test_the_mean_of_a_class_moves_towards_the_reported_load() -> None:
    loads = estimator()
    loads.record(request(request_class=0), 10.0)
    loads.record(request(request_class=1), 30.0)
    assert loads.expected_load(request("unknown", request_class=1)) == pytest.approx(1.25)
    assert loads.expected_load(request("unknown", request_class=0)) == 1.0


def test_the_oldest_clients_are_dropped() -> None:
    loads = estimator(max_clients=2)
    for client, reported in (("a", 10.0), ("b", 50.0), ("c", 90.0)):
        loads.record(request(client), reported)
    assert loads.expected_load(request("a")) == loads.expected_load(request("unknown"))
    assert loads.expected_load(request("b")) != loads.expected_load(request("unknown"))


def test_reported_loads_of_zero_do_not_cause_a_division_by_zero() -> None:
    assert estimator().record(request(), 0.0) == 0.0
