"""The request table: waiting requests, running attempts, and how they end."""

from __future__ import annotations

import pytest

from tests.helpers import BASE_SETTINGS
from walkloom.messages import AttemptEstablished, Endpoint, Request
from walkloom.state import Attempt, EndpointState, RequestState, RequestTable


@pytest.fixture
def table() -> RequestTable:
    return RequestTable(BASE_SETTINGS.request_classes)


def add(table: RequestTable, request_id: str) -> RequestState:
    request = table.add(Request(request_id, 0, 1000.0))
    assert request
    return request


def test_a_request_with_a_known_id_is_not_added(table: RequestTable) -> None:
    add(table, "r")
    assert table.add(Request("r", 0, 1000.0)) is None


def test_an_event_of_an_earlier_attempt_is_not_matched_to_the_current_one(table: RequestTable) -> None:
    request = add(table, "r")
    request.endpoint = EndpointState.from_list(Endpoint("a"))
    request.attempts = 2
    newest = AttemptEstablished("r", 1, "a", 5.0)
    assert table.attempt_of(newest) == Attempt(request, request.endpoint)
    assert table.attempt_of(newest._replace(attempt=0)) is None
    assert table.attempt_of(newest._replace(request_id="other")) is None
    request.endpoint = None
    assert table.attempt_of(newest) is None


def test_a_disconnect_removes_a_waiting_request_at_once(table: RequestTable) -> None:
    table.held["r"] = add(table, "r")
    table.polling["p"] = add(table, "p")
    out = add(table, "out")
    for request_id in ("r", "p", "out", "unknown"):
        table.disconnect(request_id)
    assert list(table.by_id) == ["out"] and out.is_disconnected
    assert not table.held and not table.polling


def test_polling_ends_with_the_last_answer_or_at_its_timeout(table: RequestTable) -> None:
    for request_id, awaited, until in (("one", {"a"}, 50.0), ("two", {"a", "b"}, 50.0), ("late", {"c"}, 9.0)):
        request = add(table, request_id)
        request.awaited_reports = set(awaited)
        request.awaited_until = until
        table.polling[request_id] = request
    assert [request.id for request in table.remove_finished_polls("a", now=10.0)] == ["one", "late"]
    assert [request.id for request in table.remove_finished_polls("b", now=11.0)] == ["two"]
    assert not table.polling


def test_a_trial_ends_once(table: RequestTable) -> None:
    attempt = Attempt(add(table, "r"), EndpointState.from_list(Endpoint("a")))
    attempt.request.is_trial = True
    attempt.endpoint.is_trial_running = True
    assert attempt.end_trial()
    assert not attempt.endpoint.is_trial_running
    assert not attempt.end_trial()
