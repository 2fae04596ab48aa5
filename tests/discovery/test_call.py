"""What a failed call shows about the state of discovery."""

from __future__ import annotations

import pytest

from walkloom.discovery.call import Call, FailedCall
from walkloom.discovery.errors import (
    CallStalledError,
    ConnectRefusedError,
    ConnectTimeoutError,
    MalformedEndpointListError,
    ResponseIncompleteError,
    ResponseStatusError,
)
from walkloom.messages import ListFailure

PROMPT_S = 0.01
LATE_S = 2.0


@pytest.mark.parametrize(
    ("error", "duration_s", "failure"),
    [
        (ConnectRefusedError("h", 1), PROMPT_S, ListFailure.UNREACHABLE),
        (ResponseStatusError(503), PROMPT_S, ListFailure.UNREACHABLE),
        (ResponseStatusError(503), LATE_S, ListFailure.OVERLOADED),
        (ResponseStatusError(404), PROMPT_S, ListFailure.UNANSWERED),
        (ResponseIncompleteError(0), PROMPT_S, ListFailure.UNREACHABLE),
        (ResponseIncompleteError(0), LATE_S, ListFailure.UNANSWERED),
        (ResponseIncompleteError(40), PROMPT_S, ListFailure.UNANSWERED),
        (MalformedEndpointListError(ValueError()), PROMPT_S, ListFailure.UNANSWERED),
        (ConnectTimeoutError("h", 1), 1.0, ListFailure.UNANSWERED),
        (CallStalledError(), LATE_S, ListFailure.UNANSWERED),
        (OSError(24, "no descriptor here"), PROMPT_S, ListFailure.UNANSWERED),
    ],
)
def test_only_a_prompt_refusal_shows_that_discovery_is_down(
    error: Exception, duration_s: float, failure: ListFailure
) -> None:
    assert FailedCall(error, duration_s, continues_watch=False).failure is failure


def test_the_end_of_a_watch_is_not_taken_for_a_refusal_however_soon_it_comes() -> None:
    """Guards against a fleet that reopens its watches at once, unspread, after a reset."""
    reset = FailedCall(ResponseIncompleteError(0), PROMPT_S, continues_watch=True)
    unavailable = FailedCall(ResponseStatusError(503), PROMPT_S, continues_watch=True)
    refused = FailedCall(ConnectRefusedError("h", 1), PROMPT_S, continues_watch=True)
    assert reset.failure is ListFailure.UNANSWERED and reset.ended_watch
    assert unavailable.failure is ListFailure.OVERLOADED and unavailable.ended_watch
    assert refused.failure is ListFailure.UNREACHABLE


@pytest.mark.parametrize("continues_watch", [False, True])
def test_a_call_without_an_answer_shows_nothing_however_soon_it_is_given_up(continues_watch: bool) -> None:
    """Guards against a silent agent that counts as down, and its pushed list as current."""
    assert FailedCall(CallStalledError(), 0.1, continues_watch).failure is ListFailure.UNANSWERED


def test_a_watch_counts_as_open_until_discovery_itself_ends_it() -> None:
    assert FailedCall(ResponseIncompleteError(0), LATE_S, continues_watch=True).ended_watch
    assert not FailedCall(ResponseIncompleteError(0), LATE_S, continues_watch=False).ended_watch
    assert not FailedCall(CallStalledError(), LATE_S, continues_watch=True).ended_watch


def test_the_time_that_a_first_call_takes_beyond_its_hold_is_its_queue_time() -> None:
    assert Call(10.0, hold_ms=500.0, continues_watch=False).queue_ms(10.75) == 250.0
    assert Call(10.0, hold_ms=500.0, continues_watch=False).queue_ms(10.25) == 0.0
    assert Call(10.0, hold_ms=500.0, continues_watch=True).queue_ms(10.75) == 0.0
