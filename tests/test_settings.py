"""The configuration file: each value either works or fails the start with one line that names the key."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from tests.helpers import BalancerDriver
from walkloom.config import ConfigError, parse
from walkloom.messages import (
    AttemptEnded,
    AttemptStatus,
    Endpoint,
    Fail,
    Lifecycle,
    Reject,
    RequestId,
    Settings,
    StartTimer,
    TimerFired,
)

ALL_SETTINGS: dict[str, Any] = {
    "instances": 3,
    "my-zone": 1,
    "azs": ["north", "south"],
    "kinds": ["big"],
    "membership-mode": "ask",
    "tick": 2.0,
    "family": "conn",
    "weights": "nominal",
    "classes": [
        {
            "name": "view",
            "goal-time": 300.0,
            "hard-limit": 1200.0,
            "repeat": "deduplicated",
            "dedup-scope": "zone",
            "dedup-window": 900.0,
            "importance": 1.0,
        }
    ],
    "accounts": [{"name": "first", "share": 0.4}],
    "stats": {"fields": ["busy_reqs", "x0"]},
    "limits": {
        "max-attempts": 3,
        "may-probe": True,
        "connect-timeout": 60.0,
        "max-retry-after": 900.0,
        "retry-after": True,
    },
    "family-info": {
        "message-aim": [60.0],
        "tells-delay": True,
        "groups": True,
        "tenant-quota-connections": [40.0],
    },
    "guarantees": {
        "drain-grace": 500.0,
        "ask-within": 9000.0,
        "cold": 7000.0,
        "cold-from": 0.3,
        "overload-factor": 4.0,
        "overload-for": 1000.0,
        "grace-to-answer": 8.0,
    },
    "costs": {"moves": 0.01},
}
REQUIRED_PATHS = {
    "classes",
    "classes.0.name",
    "classes.0.goal-time",
    "classes.0.hard-limit",
    "classes.0.repeat",
    "guarantees",
    "guarantees.drain-grace",
}


def list_paths(value: Any, path: str = "") -> Iterator[str]:
    """Yield the path of each key and index inside a value, parents before children."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield f"{path}{key}"
        yield from list_paths(inner, f"{path}{key}.")


def replace_value(value: Any, path: str, new: Any) -> Any:
    """Return a copy with the value at a path replaced, or removed if `new` is Ellipsis."""
    key, _, rest = path.partition(".")
    pairs: list[Any] = list(value.items() if isinstance(value, dict) else enumerate(value))
    pairs = [
        (k, replace_value(x, rest, new) if str(k) == key and rest else new if str(k) == key else x)
        for k, x in pairs
    ]
    pairs = [(k, x) for k, x in pairs if x is not ...]
    return dict(pairs) if isinstance(value, dict) else [x for _, x in pairs]


def config_file(**changes: Any) -> dict[str, Any]:
    """Return the content of a configuration file, with other keys or values."""
    platform = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1f", "known": {}}
    return {**platform, "settings": ALL_SETTINGS, **changes}


def check_every_request_is_answered(settings: Settings) -> None:
    """Run requests against cold, draining and failing servers: nothing raises, and all are answered."""
    driver = BalancerDriver()
    driver.balancer.__init__(settings, 1)  # type: ignore[misc]
    deadline_ms = 100_000.0
    servers = [
        Endpoint(id=f"s{n}", zone=n % 3, machine_type=n, cell=n % 2, started_at=driver.now if n > 2 else 0.0)
        for n in range(6)
    ]
    driver.update_list(*servers)
    driver.loads = {s.id: 0.1 for s in servers}
    for n in range(24):
        request_number = driver.wait(25).request(deadline_in_ms=deadline_ms, group=n % 4 or None, client=n)
        attempt_status = (
            AttemptStatus.ERROR,
            AttemptStatus.AT_CAPACITY,
            AttemptStatus.OK,
            AttemptStatus.CONNECT_FAILED,
        )[n % 4]
        if sent_attempts := driver.attempts.get(request_number):
            driver.handle_event(
                AttemptEnded(
                    request_id=request_number,
                    attempt=0,
                    endpoint_id=sent_attempts[0].endpoint_id,
                    status=attempt_status,
                    elapsed_ms=5.0,
                )
            )
    driver.update_list(*(s._replace(lifecycle=Lifecycle.DRAINING) for s in servers))
    driver.wait(deadline_ms)
    for action in [a for a in driver.actions if isinstance(a, StartTimer)]:
        driver.handle_event(TimerFired(action.token))
    for request_number, sent_attempts in driver.attempts.items():
        driver.handle_event(
            AttemptEnded(
                request_id=request_number,
                attempt=len(sent_attempts) - 1,
                endpoint_id=sent_attempts[-1].endpoint_id,
                status=AttemptStatus.TIMED_OUT,
                elapsed_ms=5.0,
            )
        )
    expected = set[RequestId](range(1, driver.request_count + 1))
    answered = {a.request_id for a in driver.actions if isinstance(a, Reject | Fail)}
    served = {request_number for request_number in driver.attempts if (int(request_number) - 1) % 4 == 2}  # type: ignore[call-overload]
    assert answered | served == expected


@pytest.mark.parametrize("path", [*list_paths(ALL_SETTINGS)])
@pytest.mark.parametrize("new", [..., None, 0, -1, 1, 1e300, "nan", "x", [], {}], ids=repr)
def test_each_setting_works_or_is_named(path: str, new: Any) -> None:
    try:
        config = parse(config_file(settings=replace_value(ALL_SETTINGS, path, new)), "here")
    except ConfigError as error:
        message = str(error)
        assert any(part in message for part in path.split(".") if not part.isdigit()), message
        assert "\n" not in message
    else:
        check_every_request_is_answered(config.settings)
        assert path not in REQUIRED_PATHS or new not in (..., None)


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "seed", "settings", "known"])
@pytest.mark.parametrize("new", [..., None, "", "x:99999", [1]], ids=repr)
def test_each_key_of_the_platform_is_required_and_named(key: str, new: Any) -> None:
    file = config_file(**{key: new})
    if new is ...:
        del file[key]
    if key == "known" or (key == "name" and new not in (..., None)):
        # An invalid list does not prevent the start.
        assert parse(file, "here")
    else:
        with pytest.raises(ConfigError, match=key) as caught:
            parse(file, "here")
        assert caught.value.field == key


@pytest.mark.parametrize(
    ("sockets", "works"), [(0, False), (23, False), ("x", False), (24, True), (1024, True)]
)
def test_the_descriptor_limit_must_leave_room_for_a_request(sockets: Any, works: bool) -> None:
    file = config_file(limits={"sockets": sockets})
    if works:
        assert parse(file, "here").sockets == sockets
    else:
        with pytest.raises(ConfigError, match="limits") as caught:
            parse(file, "here")
        assert caught.value.field == "limits"


def test_an_error_keeps_its_cause() -> None:
    with pytest.raises(ConfigError) as caught:
        parse(config_file(seed="not hex"), "here")
    assert isinstance(caught.value.__cause__, ValueError)


def test_a_file_that_is_no_object_is_rejected_as_a_whole() -> None:
    with pytest.raises(ConfigError, match="here: not an object") as caught:
        parse([], "here")
    assert caught.value.field is None
