"""Reads the settings: path=value lines on the simulator's wire, a nested object in the configuration file.

`read_settings` maps the keys of the platform to the fields of `Settings`.
"""

from __future__ import annotations

from typing import TypeVar

from walkloom.messages import DeduplicationScope, Idempotency, RequestClass, Settings
from walkloom.simulator.errors import SettingsError

_T = TypeVar("_T")
_MAX_NUMBER = 1e12  # ms or connections
_MIN_OBJECTIVE_MS = 1.0  # the policy divides by objectives, which must not be 0
_MIN_CAPACITY = 0.01  # the policy divides by the initial capacity of an endpoint
_IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.WITH_KEY,
    "at_most_once": Idempotency.NOT_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


def parse_settings_lines(text: str) -> dict[str, str]:
    """Return the wire's form of the settings, path=value lines, as a mapping."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(value: object, path: str = "") -> dict[str, str]:
    """Return the nested form of the settings with the paths of the wire's form; null counts as absent."""
    if value is None:
        return {}
    if isinstance(value, dict):
        return _flatten_items({f"{path}.{key}".lstrip("."): item for key, item in value.items()})
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = _flatten_items({f"{path}.{index}": item for index, item in enumerate(value)})
        return {f"{path}.count": str(len(value)), **items}
    if isinstance(value, list):
        return {path: ",".join(_to_text(item) for item in value)}
    return {path: _to_text(value)}


def _flatten_items(items: dict[str, object]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for path, item in items.items():
        flat.update(flatten_settings(item, path))
    return flat


def _to_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """Typed access to the settings by path. Each method raises SettingsError; unknown keys are ignored."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        """Return the value as text."""
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(key)
        return value

    def number(
        self, key: str, default: float | None = None, minimum: float = 0.0, maximum: float = _MAX_NUMBER
    ) -> float:
        """Return a number from `minimum` to `maximum`."""
        if key not in self._values and default is not None:
            return default
        text = self.text(key)
        try:
            number = float(text)
        except ValueError:
            raise SettingsError(key, f"not a number: {text!r}") from None
        if not minimum <= number <= maximum:  # also rejects nan
            raise SettingsError(key, f"{text} is not within {minimum:g} and {maximum:g}")
        return number

    def integer(
        self, key: str, default: int | None = None, minimum: int = 0, maximum: float = _MAX_NUMBER
    ) -> int:
        """Return a number without its fraction."""
        return int(self.number(key, default, minimum, maximum))

    def flag(self, key: str) -> bool:
        """Return whether the value is `true`; False if the key is missing."""
        text = self.text(key, "false")
        if text not in ("true", "false"):
            raise SettingsError(key, f"neither true nor false: {text!r}")
        return text == "true"

    def choice(self, key: str, options: dict[str, _T], default: str | None = None) -> _T:
        """Return the option that the value names."""
        text = self.text(key, default)
        if text not in options:
            raise SettingsError(key, f"{text!r} is none of {', '.join(options)}")
        return options[text]

    def names(self, key: str) -> list[str]:
        """Return a list of texts; empty if the key is missing."""
        text = self.text(key, "")
        return text.split(",") if text else []

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of numbers; empty if the key is missing."""
        return tuple(SettingsReader({key: text}).number(key) for text in self.names(key))


def read_settings(reader: SettingsReader) -> Settings:
    """Return the settings of the policy. Raises SettingsError, which names the invalid key."""
    request_classes = _read_classes(reader)
    zone_count = max(len(reader.names("azs")), 1)
    local_zone = reader.integer("my-zone", 0)
    if local_zone >= zone_count:
        raise SettingsError("my-zone", f"{local_zone}, but azs has {zone_count}")
    tenants = range(reader.integer("accounts.count", 0))
    report_fields = reader.names("stats.fields")
    reports_load = reader.text("family", "") == "conn"  # in other families `x0` is not a load
    sends_retry_after = reader.flag("limits.retry-after")
    return Settings(
        request_classes=request_classes,
        drain_grace_ms=reader.number("guarantees.drain-grace"),
        balancer_count=reader.integer("instances", 1, minimum=1),
        local_zone=local_zone,
        zone_count=zone_count,
        tenant_quotas=tuple(reader.number(f"accounts.{index}.share", 0.0) for index in tenants),
        polls_endpoint_list=reader.choice("membership-mode", {"push": False, "ask": True}, "push"),
        max_poll_interval_ms=reader.number("guarantees.ask-within", 0.0),
        answer_grace_ms=reader.number("guarantees.grace-to-answer", 0.0),
        slow_start_min_capacity=max(reader.number("guarantees.cold-from", 1.0, maximum=1.0), _MIN_CAPACITY),
        slow_start_ms=reader.number("guarantees.cold", 0.0),
        cold_overload_factor=reader.number("guarantees.overload-factor", 0.0),
        cold_overload_window_ms=max(reader.number("guarantees.overload-for", 1000.0), _MIN_OBJECTIVE_MS),
        max_attempts=reader.integer("limits.max-attempts", 1, minimum=1),
        load_reports_available=reader.flag("limits.may-probe"),
        server_reports_latency=reader.flag("family-info.tells-delay"),
        affinity_groups=reader.flag("family-info.groups"),
        load_report_load_index=_find_index(report_fields, "x0") if reports_load else -1,
        load_report_connections_index=_find_index(report_fields, "busy_reqs"),
        connection_quota=sum(reader.numbers("family-info.tenant-quota-connections")),
        weights_follow_load=reader.text("weights", "") == "live",
        migration_cost=reader.number("costs.moves", 0.0),
        tick_ms=reader.number("tick", 1.0),
        max_retry_after_ms=reader.number("limits.max-retry-after", 0.0) if sends_retry_after else 0.0,
    )


def _read_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    message_objectives = reader.numbers("family-info.message-aim")
    classes = []
    for index in range(reader.integer("classes.count", minimum=1)):
        path = f"classes.{index}"
        classes.append(
            RequestClass(
                latency_objective_ms=reader.number(f"{path}.goal-time", minimum=_MIN_OBJECTIVE_MS),
                priority_weight=reader.number(f"{path}.importance", 1.0),
                idempotency=reader.choice(f"{path}.repeat", _IDEMPOTENCY),
                deduplication_scope=reader.choice(f"{path}.dedup-scope", _DEDUPLICATION_SCOPES, "all"),
                deduplication_window_ms=reader.number(f"{path}.dedup-window", 0.0),
                message_latency_objective_ms=(
                    message_objectives[index] if index < len(message_objectives) else 0.0
                ),
            )
        )
    return tuple(classes)


def _find_index(fields: list[str], name: str) -> int:
    return fields.index(name) if name in fields else -1
