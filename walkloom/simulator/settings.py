"""Reads the settings: path=value lines on the simulator's wire, a nested object in the platform's file.

Beside each field of `Settings` stands the key of the page that it comes from.
"""

from __future__ import annotations

from typing import TypeVar

from walkloom.messages import DeduplicationScope, Idempotency, RequestClass, Settings
from walkloom.simulator.errors import SettingsError

_T = TypeVar("_T")
_MAX_NUMBER = 1e12  # ms or connections
_MIN_OBJECTIVE_MS = 1.0  # what is shorter would make the policy divide by nothing
_MIN_CAPACITY = 0.01  # the policy divides by what an endpoint can do at its start
_IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.WITH_KEY,
    "at_most_once": Idempotency.NOT_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def parse_settings_lines(text: str) -> dict[str, str]:
    """The wire's form of the settings, path=value lines, as a mapping."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(value: object, path: str = "") -> dict[str, str]:
    """The nested form of the settings under the paths of the wire's form; null is as good as absent."""
    if value is None:
        return {}
    if isinstance(value, dict):
        return _flatten_items({f"{path}.{key}".lstrip("."): item for key, item in value.items()})
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = _flatten_items({f"{path}.{index}": item for index, item in enumerate(value)})
        return {f"{path}.count": str(len(value)), **items}
    if isinstance(value, list):
        return {path: ",".join(_plain(item) for item in value)}
    return {path: _plain(value)}


def _flatten_items(items: dict[str, object]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for path, item in items.items():
        flat.update(flatten_settings(item, path))
    return flat


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """The settings by their paths. Each method raises SettingsError; unknown keys are never looked at."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        """The value as it came."""
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(key)
        return value

    def number(
        self, key: str, default: float | None = None, least: float = 0.0, most: float = _MAX_NUMBER
    ) -> float:
        """A number between `least` and `most`."""
        if key not in self._values and default is not None:
            return default
        text = self.text(key)
        try:
            number = float(text)
        except ValueError:
            raise SettingsError(key, f"not a number: {text!r}") from None
        if not least <= number <= most:  # nan is not either
            raise SettingsError(key, f"{text} is not within {least:g} and {most:g}")
        return number

    def whole(self, key: str, default: int | None = None, least: int = 0, most: float = _MAX_NUMBER) -> int:
        """A number without its fraction."""
        return int(self.number(key, default, least, most))

    def flag(self, key: str) -> bool:
        """Whether the value is `true`; not where it is missing."""
        text = self.text(key, "false")
        if text not in ("true", "false"):
            raise SettingsError(key, f"neither true nor false: {text!r}")
        return text == "true"

    def choice(self, key: str, options: dict[str, _T], default: str | None = None) -> _T:
        """The option that the value names."""
        text = self.text(key, default)
        if text not in options:
            raise SettingsError(key, f"{text!r} is none of {', '.join(options)}")
        return options[text]

    def names(self, key: str) -> list[str]:
        """A list of plain values; empty where it is missing."""
        text = self.text(key, "")
        return text.split(",") if text else []

    def numbers(self, key: str) -> tuple[float, ...]:
        """A list of numbers; empty where it is missing."""
        return tuple(SettingsReader({key: text}).number(key) for text in self.names(key))


def read_settings(reader: SettingsReader) -> Settings:
    """The settings as the policy takes them. Raises SettingsError, which names the key at fault."""
    request_classes = _read_classes(reader)
    zone_count = max(len(reader.names("azs")), 1)
    local_zone = reader.whole("my-zone", 0)
    if local_zone >= zone_count:
        raise SettingsError("my-zone", f"{local_zone}, but azs has {zone_count}")
    tenants = range(reader.whole("accounts.count", 0))
    report_fields = reader.names("stats.fields")
    tells_load = reader.text("family", "") == "conn"  # elsewhere `x0` is something else
    tells_retry_after = reader.flag("limits.retry-after")
    return Settings(
        request_classes=request_classes,
        drain_grace_ms=reader.number("guarantees.drain-grace"),
        balancer_count=reader.whole("instances", 1, least=1),
        local_zone=local_zone,
        zone_count=zone_count,
        tenant_quotas=tuple(reader.number(f"accounts.{index}.share", 0.0) for index in tenants),
        polls_endpoint_list=reader.choice("membership-mode", {"push": False, "ask": True}, "push"),
        max_poll_interval_ms=reader.number("guarantees.ask-within", 0.0),
        answer_grace_ms=reader.number("guarantees.grace-to-answer", 0.0),
        slow_start_min_capacity=max(reader.number("guarantees.cold-from", 1.0, most=1.0), _MIN_CAPACITY),
        slow_start_ms=reader.number("guarantees.cold", 0.0),
        cold_overload_factor=reader.number("guarantees.overload-factor", 0.0),
        cold_overload_window_ms=max(reader.number("guarantees.overload-for", 1000.0), _MIN_OBJECTIVE_MS),
        max_attempts=reader.whole("limits.max-attempts", 1, least=1),
        load_reports_available=reader.flag("limits.may-probe"),
        server_reports_latency=reader.flag("family-info.tells-delay"),
        affinity_groups=reader.flag("family-info.groups"),
        load_report_load_index=_index(report_fields, "x0") if tells_load else -1,
        load_report_connections_index=_index(report_fields, "busy_reqs"),
        connection_quota=sum(reader.numbers("family-info.tenant-quota-connections")),
        weights_follow_load=reader.text("weights", "") == "live",
        migration_cost=reader.number("costs.moves", 0.0),
        tick_ms=reader.number("tick", 1.0),
        max_retry_after_ms=reader.number("limits.max-retry-after", 0.0) if tells_retry_after else 0.0,
    )


def _read_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    message_objectives = reader.numbers("family-info.message-aim")
    classes = []
    for index in range(reader.whole("classes.count", least=1)):
        path = f"classes.{index}"
        classes.append(
            RequestClass(
                latency_objective_ms=reader.number(f"{path}.goal-time", least=_MIN_OBJECTIVE_MS),
                priority_weight=reader.number(f"{path}.importance", 1.0),
                idempotency=reader.choice(f"{path}.repeat", _IDEMPOTENCY),
                deduplication_scope=reader.choice(f"{path}.dedup-scope", _SCOPES, "all"),
                deduplication_window_ms=reader.number(f"{path}.dedup-window", 0.0),
                message_latency_objective_ms=(
                    message_objectives[index] if index < len(message_objectives) else 0.0
                ),
            )
        )
    return tuple(classes)


def _index(fields: list[str], name: str) -> int:
    return fields.index(name) if name in fields else -1
