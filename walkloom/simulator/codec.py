"""The simulator's wire: batches of events in, replies of actions out. No decisions."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from typing import NamedTuple, TypeAlias, TypeVar

from walkloom.messages import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionSignal,
    DeduplicationScope,
    Endpoint,
    EndpointId,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    Lifecycle,
    LoadReportReceived,
    LogMessage,
    MigrateConnection,
    PollLoadReport,
    Reject,
    Request,
    RequestClass,
    RequestId,
    Settings,
    SignalKind,
    StartAttempt,
    StartTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

T = TypeVar("T")
ALL_PEERS = 0xFFFFFFFF
FIGURE_MOST = 1e12  # of the settings; ms or connections
SHORTEST, COLDEST = 1.0, 0.01  # ms; share of capacity
_HEAD = struct.Struct(">dI")
_RECORD = struct.Struct(">HI")
_SUBMIT = struct.Struct(">HQHHQddQH")
_HANDOVER = struct.Struct(">HQHHQddQH6s")
_FIRST = struct.Struct(">HQd6sH")
_NOTE = struct.Struct(">HQH6sBf")
_ENDED = struct.Struct(">HQBdH6sBB")
_ECHO = struct.Struct(">HB6sdB")
_INST_ID = struct.Struct(">HQ")
_TIMER = struct.Struct(">HI")
_MEMO = struct.Struct(">HIH")
_SHEET = struct.Struct(">II")
_ENTRY = struct.Struct(">6sBBHBfd")
_UPDATE = struct.Struct(">HBII")
_ATTACH = struct.Struct(">HQI")
_INST = struct.Struct(">H")
_SEND = struct.Struct(">HIHQ6sd")
_REFUSE = struct.Struct(">HIHQd")
_FAIL = struct.Struct(">HIHQ")
_CANCEL = struct.Struct(">HIHQH")
_DEFER = struct.Struct(">HIHdI")
_SERVER = struct.Struct(">HIH6s")
_TELL = struct.Struct(">HIHIH")
_TEXT = struct.Struct(">HIHH")
_WATCH = struct.Struct(">HIHB")
_BARE = struct.Struct(">HIH")
_REPLY = struct.Struct(">II")
_STATUS = tuple(AttemptStatus(i) for i in range(8))
_STATE = tuple(Lifecycle(i) for i in range(3))
_LIST = tuple(UpdateKind(i) for i in range(4))
_EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.WITH_KEY,
    "at_most_once": Idempotency.NOT_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class WireError(ValueError):
    """A frame that does not follow the wire; the text says what is wrong and where."""


class SettingsError(ValueError):
    """Settings that lack a key or hold a wrong value; the text names the key."""


class CancelAttempt(NamedTuple):
    """Action: end the wait for one attempt. The policy never asks for it; the wire has a record for it."""

    # The request that the attempt is for.
    request_id: RequestId

    # Number of the attempt, from 0 for each request.
    attempt: int


class CloseIdleConnections(NamedTuple):
    """Action: close the idle connections to an endpoint. The policy never asks for it."""

    # The endpoint to which they are open.
    endpoint_id: EndpointId


class SendPeerMessage(NamedTuple):
    """Action: send up to 256 bytes to other balancers. The policy never asks for it."""

    # Number of the balancer; None: all.
    peer: int | None

    # What is sent.
    data: bytes


class FetchEndpointList(NamedTuple):
    """Action: ask once for the complete endpoint list. The policy never asks for it."""


class PeerMessageReceived(NamedTuple):
    """Event: bytes came from another balancer. The policy takes none."""

    # Number of the balancer.
    sender: int

    # What was sent.
    data: bytes


# What the wire can carry beyond the policy's own messages.
WireAction: TypeAlias = Action | CancelAttempt | CloseIdleConnections | SendPeerMessage | FetchEndpointList


class Attach(NamedTuple):
    seed: int
    profile: str


class Halt(NamedTuple):
    pass


WireEvent: TypeAlias = Event | PeerMessageReceived | Attach | Halt


class Decoder:
    """Decodes batches; keeps the numbered server lists, which belong to the process as a whole."""

    def __init__(self) -> None:
        self._sheets: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, frame: bytes) -> tuple[float, Iterator[tuple[int, WireEvent]]]:
        """The clock and the events of one frame (without its length field), in order.

        The whole frame is decoded before anything is handed out, so that a bad one leaves no half reply.
        """
        if len(frame) < _HEAD.size:
            raise WireError(f"batch header cut short: {len(frame)} bytes of {_HEAD.size}")
        now, count = _HEAD.unpack_from(frame)
        at, end = _HEAD.size, len(frame)
        out: list[tuple[int, WireEvent]] = []
        for number in range(count):
            if at + 6 > end:
                raise WireError(f"record {number} of {count} at byte {at}: header past the end of the frame")
            code, size = _RECORD.unpack_from(frame, at)
            at += 6
            stop = at + size
            if stop > end:
                raise WireError(
                    f"record {number} (code {code}) at byte {at - 6}: {size} bytes run past its end, {end}"
                )
            try:
                self._record(code, frame, at, stop, out)
            except (struct.error, IndexError, UnicodeDecodeError, WireError) as error:
                raise WireError(f"record {number} (code {code}) at byte {at - 6}: {error}") from error
            at = stop
        if at != end:
            raise WireError(f"{end - at} bytes left over after record {count} at byte {at}")
        return now, iter(out)

    def _record(self, code: int, frame: bytes, at: int, stop: int, out: list[tuple[int, WireEvent]]) -> None:
        event: WireEvent
        layout = _LAYOUTS.get(code)
        if layout is None:
            return  # an event of a later version
        if at + layout.size > stop:
            raise WireError(f"needs {layout.size} bytes, has {stop - at}")
        v = layout.unpack_from(frame, at)
        rest = at + layout.size
        if code == 1030:
            value = v[5] / 1000.0 if v[4] == SignalKind.LOAD else v[5]
            event = ConnectionSignal(request_id=v[1], attempt=v[2], endpoint_id=v[3], kind=v[4], value=value)
        elif code == 1010:
            report = _floats(frame, rest, v[7], stop)
            event = AttemptEnded(
                request_id=v[1],
                attempt=v[4],
                endpoint_id=v[5],
                status=_pick(_STATUS, v[2], "outcome"),
                elapsed_ms=v[3],
                request_closed=v[6] != 0,
                load_report=report,
            )
        elif code == 1020:
            event = _request(v)
        elif code == 1050:
            event = AttemptEstablished(request_id=v[1], attempt=v[4], endpoint_id=v[3], elapsed_ms=v[2])
        elif code == 1070:
            event = TimerFired(v[1])
        elif code == 1120:
            report = _floats(frame, rest, v[4], stop)
            event = LoadReportReceived(
                endpoint_id=v[2], status=_pick(_STATUS, v[1], "outcome"), elapsed_ms=v[3], load_report=report
            )
        elif code == 1000:
            event = ClientDisconnected(v[1])
        elif code == 1040:
            event = ConnectionAdopted(_request(v), v[9])
        elif code == 1060:
            event = PeerMessageReceived(v[1], _bytes(frame, rest, v[2], stop))
        elif code == 1080:
            bank, n = v
            if rest + n * _ENTRY.size > stop:
                raise WireError(f"{n} list lines run past the record")
            self._sheets[bank] = tuple(
                Endpoint(
                    id=e[0],
                    zone=e[1],
                    machine_type=e[2],
                    cell=e[3],
                    lifecycle=_pick(_STATE, e[4], "server state"),
                    capacity_weight=e[5],
                    started_at=e[6],
                )
                for e in (_ENTRY.unpack_from(frame, rest + i * _ENTRY.size) for i in range(n))
            )
            return
        elif code == 1090:
            kind = _pick(_LIST, v[1], "list kind")
            if kind is UpdateKind.FAILED:
                event = EndpointListUpdate(kind)
            elif v[3] in self._sheets:
                event = EndpointListUpdate(kind, self._sheets[v[3]])
            else:
                raise WireError(f"list {v[3]} was never given")
        elif code == 1100:
            event = Attach(v[1], _bytes(frame, rest, v[2], stop).decode())
        else:
            event = Halt()
        out.append((v[0], event))


_LAYOUTS = {
    1000: _INST_ID,
    1010: _ENDED,
    1020: _SUBMIT,
    1030: _NOTE,
    1040: _HANDOVER,
    1050: _FIRST,
    1060: _MEMO,
    1070: _TIMER,
    1080: _SHEET,
    1090: _UPDATE,
    1100: _ATTACH,
    1110: _INST,
    1120: _ECHO,
}


def _pick(values: tuple[T, ...], index: int, what: str) -> T:
    if index >= len(values):
        raise WireError(f"unknown {what} {index}")
    return values[index]


def _bytes(frame: bytes, at: int, n: int, stop: int) -> bytes:
    if at + n > stop:
        raise WireError(f"{n} bytes of content run past the record")
    return frame[at : at + n]


def _floats(frame: bytes, at: int, n: int, stop: int) -> tuple[float, ...]:
    if not n:
        return ()
    if at + 4 * n > stop:
        raise WireError(f"{n} load values run past the record")
    return struct.unpack_from(f">{n}f", frame, at)


def _request(v: tuple) -> Request:  # type: ignore[type-arg]
    flags = v[8]
    return Request(
        id=v[1],
        request_class=v[2],
        deadline=v[5],
        tenant=v[3],
        client_key=v[4] or None,
        affinity_group=v[7] or None,
        load=v[6] if flags & 1 else None,
        is_retry=flags & 2 != 0,
        is_established=flags & 8 != 0,
        is_reconnect=flags & 16 != 0,
    )


def encode(out: list[bytes], inst: int, actions: Sequence[WireAction]) -> None:
    """Appends one record for each action."""
    for a in actions:
        if isinstance(a, StartAttempt):
            out.append(_SEND.pack(1000, 24, inst, a.request_id, a.endpoint_id, a.timeout_ms))
        elif isinstance(a, StartTimer):
            out.append(_DEFER.pack(1040, 14, inst, a.fires_at, a.token))
        elif isinstance(a, PollLoadReport):
            out.append(_SERVER.pack(1050, 8, inst, a.endpoint_id))
        else:
            out.append(_rare(inst, a))


def _rare(inst: int, a: WireAction) -> bytes:
    match a:
        case Reject():
            return _REFUSE.pack(1010, 18, inst, a.request_id, a.retry_after_ms)
        case Fail():
            return _FAIL.pack(1020, 10, inst, a.request_id)
        case CancelAttempt():
            return _CANCEL.pack(1030, 12, inst, a.request_id, a.attempt)
        case CloseIdleConnections():
            return _SERVER.pack(1060, 8, inst, a.endpoint_id)
        case SendPeerMessage():
            peer = ALL_PEERS if a.peer is None else a.peer
            return _TELL.pack(1070, 8 + len(a.data), inst, peer, len(a.data)) + a.data
        case LogMessage():
            return _text(
                1080, inst, a.text if a.endpoint_id is None else f"{_address(a.endpoint_id)}: {a.text}"
            )
        case WatchEndpointList():
            return _WATCH.pack(1100, 3, inst, a.enabled)
        case FetchEndpointList():
            return _BARE.pack(1110, 2, inst)
        case MigrateConnection():
            return _FAIL.pack(1120, 10, inst, a.request_id)
    raise TypeError(f"not an action: {a!r}")


def _address(server: EndpointId) -> str:
    if not isinstance(server, bytes) or len(server) != 6:
        return str(server)
    return ".".join(str(n) for n in server[:4]) + f":{int.from_bytes(server[4:])}"


def _text(code: int, inst: int, text: str) -> bytes:
    data = text.encode()[:60000]
    return _TEXT.pack(code, 4 + len(data), inst, len(data)) + data


def bug(inst: int, text: str) -> bytes:
    """The record that reports a failure of the decision code."""
    return _text(1090, inst, text)


def reply(records: list[bytes]) -> bytes:
    body = b"".join(records)
    return _REPLY.pack(4 + len(body), len(records)) + body


def parse_settings_lines(text: str) -> dict[str, str]:
    """The simulator's form of the settings: path=value lines."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(value: object, path: str = "") -> dict[str, str]:
    """The nested form of the settings under the paths of the simulator's; null is as good as absent."""
    if value is None:
        return {}
    if isinstance(value, dict):
        return {
            k: v
            for key, x in value.items()
            for k, v in flatten_settings(x, f"{path}.{key}".lstrip(".")).items()
        }
    if isinstance(value, list) and any(isinstance(x, dict) for x in value):
        inner = {k: v for i, x in enumerate(value) for k, v in flatten_settings(x, f"{path}.{i}").items()}
        return {f"{path}.count": str(len(value)), **inner}
    if isinstance(value, list):
        return {path: ",".join(_plain(x) for x in value)}
    return {path: _plain(value)}


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """The settings by their paths; unknown keys are never looked at."""

    def __init__(self, values: dict[str, str]) -> None:
        self._values = values

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(f"settings lack the key {key}")
        return value

    def number(
        self, key: str, default: float | None = None, least: float = 0.0, most: float = FIGURE_MOST
    ) -> float:
        value = self._values.get(key)
        if value is None and default is not None:
            return default
        text = self.text(key)
        try:
            number = float(text)
        except ValueError:
            raise SettingsError(f"settings key {key}: not a number: {text!r}") from None
        if not least <= number <= most:  # nan is not either
            raise SettingsError(f"settings key {key}: {text} is not within {least:g} and {most:g}")
        return number

    def whole(self, key: str, default: int | None = None, least: int = 0, most: float = FIGURE_MOST) -> int:
        return int(self.number(key, default, least, most))

    def flag(self, key: str) -> bool:
        text = self.text(key, "false")
        if text not in ("true", "false"):
            raise SettingsError(f"settings key {key}: neither true nor false: {text!r}")
        return text == "true"

    def choice(self, key: str, options: dict[str, T], default: str | None = None) -> T:
        text = self.text(key, default)
        if text not in options:
            raise SettingsError(f"settings key {key}: {text!r} is none of {', '.join(options)}")
        return options[text]

    def listed(self, key: str) -> list[str]:
        text = self.text(key, "")
        return text.split(",") if text else []

    def figures(self, key: str) -> tuple[float, ...]:
        """A list of numbers."""
        return tuple(SettingsReader({key: text}).number(key) for text in self.listed(key))


def settings(p: SettingsReader) -> Settings:
    """Settings as the decision module takes them."""
    aims = p.figures("family-info.message-aim")
    classes = []
    for i in range(p.whole("classes.count", least=1)):
        path = f"classes.{i}."
        classes.append(
            RequestClass(
                latency_objective_ms=p.number(path + "goal-time", least=SHORTEST),
                priority_weight=p.number(path + "importance", 1.0),
                idempotency=p.choice(path + "repeat", _EFFECTS),
                deduplication_scope=p.choice(path + "dedup-scope", _SCOPES, "all"),
                deduplication_window_ms=p.number(path + "dedup-window", 0.0),
                message_latency_objective_ms=aims[i] if i < len(aims) else 0.0,
            )
        )
    zones = max(len(p.listed("azs")), 1)
    zone = p.whole("my-zone", 0)
    if zone >= zones:
        raise SettingsError(f"settings key my-zone: {zone}, but azs has {zones}")
    fields = p.listed("stats.fields")
    return Settings(
        request_classes=tuple(classes),
        drain_grace_ms=p.number("guarantees.drain-grace"),
        balancer_count=p.whole("instances", 1, least=1),
        local_zone=zone,
        zone_count=zones,
        tenant_quotas=tuple(
            p.number(f"accounts.{i}.share", 0.0) for i in range(p.whole("accounts.count", 0))
        ),
        polls_endpoint_list=p.choice("membership-mode", {"push": False, "ask": True}, "push"),
        max_poll_interval_ms=p.number("guarantees.ask-within", 0.0),
        answer_grace_ms=p.number("guarantees.grace-to-answer", 0.0),
        # nothing at all is taken as little: the module divides by what a server can do at its start
        slow_start_min_capacity=max(p.number("guarantees.cold-from", 1.0, most=1.0), COLDEST),
        slow_start_ms=p.number("guarantees.cold", 0.0),
        cold_overload_factor=p.number("guarantees.overload-factor", 0.0),
        cold_overload_window_ms=max(p.number("guarantees.overload-for", 1000.0), SHORTEST),
        max_attempts=p.whole("limits.max-attempts", 1, least=1),
        load_reports_available=p.flag("limits.may-probe"),
        server_reports_latency=p.flag("family-info.tells-delay"),
        affinity_groups=p.flag("family-info.groups"),
        load_report_connections_index=fields.index("busy_reqs") if "busy_reqs" in fields else -1,
        connection_quota=sum(p.figures("family-info.tenant-quota-connections")),
        load_report_load_index=fields.index("x0")
        if "x0" in fields and p.text("family", "") == "conn"
        else -1,
        weights_follow_load=p.text("weights", "") == "live",
        migration_cost=p.number("costs.moves", 0.0),
        tick_ms=p.number("tick", 1.0),
        max_retry_after_ms=p.number("limits.max-retry-after", 0.0) if p.flag("limits.retry-after") else 0.0,
    )
