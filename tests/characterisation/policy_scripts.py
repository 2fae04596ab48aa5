"""The scripts of the policy's characterisation: deployments, traffic and timed steps."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from tests.characterisation.policy_world import Script, Traffic

IDEMPOTENT = {"objective": 300.0, "message_objective": 100.0}
KEYED = {"objective": 200.0, "idempotency": "keyed", "window": 900.0, "weight": 3.0}
KEYED_IN_ZONE = {**KEYED, "scope": "zone", "window": 2500.0}
KEYED_IN_CELL = {**KEYED, "scope": "cell", "window": 1500.0}
KEYED_WITH_SHORT_WINDOW = {**KEYED, "window": 250.0}
NOT_IDEMPOTENT = {"objective": 150.0, "idempotency": "unsafe", "message_objective": 80.0}
ALL_CLASSES = (IDEMPOTENT, KEYED, KEYED_IN_ZONE, KEYED_IN_CELL, NOT_IDEMPOTENT)

BASE_SETTINGS: dict[str, Any] = {
    "classes": (IDEMPOTENT,),
    "drain_grace": 500.0,
    "balancers": 1,
    "zone": 0,
    "zones": 1,
    "tenants": (0.5, 0.5),
    "polls_list": False,
    "poll_within": 0.0,
    "answer_grace": 8.0,
    "cold_from": 0.3,
    "cold": 8000.0,
    "overload_factor": 3.0,
    "overload_window": 1000.0,
    "attempts": 3,
    "load_reports": False,
    "latency_reported": True,
    "groups": False,
    "load_place": -1,
    "held_place": -1,
    "quota": 0.0,
    "live_weights": False,
    "move_cost": 0.0,
    "tick": 2.0,
    "max_retry_after": 1500.0,
}
LOAD_REPORT_SETTINGS: dict[str, Any] = {
    "load_reports": True,
    "latency_reported": False,
    "load_place": 2,
    "held_place": 1,
    "quota": 200.0,
}


def settings(*parts: Mapping[str, Any], **changes: Any) -> dict[str, Any]:
    """Return the base settings, overridden by these parts and then by these changes."""
    merged = dict(BASE_SETTINGS)
    for part in parts:
        merged.update(part)
    merged.update(changes)
    return merged


BUSY_TRAFFIC = Traffic(rate_per_s=60.0, lifetime_ms=5000.0)
LONG_CONNECTIONS = Traffic(rate_per_s=25.0, lifetime_ms=20_000.0)
CLIENTS_WITH_LOADS = Traffic(
    rate_per_s=50.0, lifetime_ms=6000.0, keys=40, load_hint_share=0.5, load_signal_share=0.8, load_spread=2.0
)
GROUPED_CLIENTS = Traffic(rate_per_s=40.0, lifetime_ms=8000.0, groups=12, grouped_share=0.8)
GROUPED_AT_LOW_RATE = Traffic(rate_per_s=15.0, lifetime_ms=15_000.0, groups=12, grouped_share=0.8)
MIXED_CLASSES = Traffic(
    rate_per_s=40.0,
    lifetime_ms=4000.0,
    timeout_ms=(250.0, 3500.0),
    class_weights=(3.0, 2.0, 2.0, 2.0, 2.0),
    early_disconnect_share=0.1,
    reset_share=0.05,
)
FLEET_TRAFFIC = Traffic(rate_per_s=12.0, lifetime_ms=9000.0, timeout_ms=(900.0, 2500.0))
GROUPED_IN_FLEET = Traffic(
    rate_per_s=30.0, lifetime_ms=7000.0, timeout_ms=(900.0, 2500.0), groups=30, grouped_share=0.85
)

LIFECYCLE_CHANGES = (
    (3.0, "drain", 0, 2),
    (5.0, "remove", 0, 2),
    (7.0, "add", 3),
    (9.0, "restart", 2, 3),
    (11.0, "return", 0, 1),
    (12.0, "set", 3, 5, "weight", 2.5),
    (13.0, "restart", 0, 2),
    (15.0, "stray"),
    (17.0, "snapshot", 2, 8),
    (18.0, "drain", 4, 6),
    (18.7, "drain", 0, 99),
    (20.0, "return", 3, 5),
    (22.0, "shutdown"),
)
SERVER_FAULTS = (
    (2.0, "set", 0, 2, "error_share", 0.95),
    (9.0, "set", 0, 2, "error_share", 0.4),
    (14.0, "set", 0, 2, "error_share", 0.0),
    (16.0, "set", 2, 3, "hang_share", 0.8),
    (20.0, "set", 2, 3, "hang_share", 0.0),
    (21.0, "set", 3, 5, "is_up", False),
    (26.0, "set", 3, 5, "is_up", True),
    (28.0, "set", 0, 6, "full_share", 0.5),
    (33.0, "set", 0, 6, "full_share", 0.0),
    (34.0, "set", 0, 99, "error_share", 0.7),
    (38.0, "set", 0, 99, "error_share", 0.0),
)
OVERLOADS = (
    (6.0, "set", 0, 2, "message_ms", 60.0),
    (10.0, "set", 0, 2, "message_ms", 250.0),
    (16.0, "set", 0, 2, "message_ms", 30.0),
    (19.0, "set", 0, 2, "message_ms", 10.0),
    (22.0, "set", 0, 5, "message_ms", 700.0),
    (27.0, "set", 0, 5, "message_ms", 20.0),
    (30.0, "set", 1, 2, "message_ms", 3000.0),
    (34.0, "set", 1, 2, "message_ms", 15.0),
)
REPORT_MODES = (
    (3.0, "set", 0, 2, "report_mode", "late"),
    (6.0, "set", 0, 4, "report_mode", "absent"),
    (9.0, "set", 0, 2, "report_mode", "full"),
    (12.0, "set", 0, 99, "report_mode", "full"),
    (14.0, "set", 0, 99, "report_mode", "on_time"),
    (15.0, "burst", 60, 300.0),
    (17.0, "set", 3, 5, "report_mode", "empty"),
    (18.0, "set", 5, 6, "report_mode", "short"),
    (19.0, "set", 2, 3, "report_mode", "idle"),
    (21.0, "set", 0, 99, "report_mode", "very_late"),
    (24.0, "set", 0, 99, "report_mode", "absent"),
    (27.0, "set", 0, 99, "report_mode", "on_time"),
    (28.0, "add", 4),
    (29.0, "burst", 80, 900.0),
)
DISCOVERY_FAULTS = (
    (4.0, "discovery", False),
    (6.0, "drain", 0, 1),
    (40.0, "discovery", True),
    (46.0, "drain", 1, 2),
    (50.0, "discovery", False),
    (51.0, "discovery", True),
    (55.0, "add", 3),
)
COLD_STARTS = (
    (4.0, "add", 6),
    (5.0, "burst", 120, 1500.0),
    (8.0, "restart", 0, 4),
    (9.0, "burst", 120, 800.0),
    (13.0, "add", 20),
    (14.0, "burst", 200, 2500.0),
)

SCRIPTS: tuple[Script, ...] = (
    Script("plain_churn", 24.0, settings(), traffic=BUSY_TRAFFIC, steps=LIFECYCLE_CHANGES),
    Script("plain_faults", 45.0, settings(), traffic=BUSY_TRAFFIC, steps=SERVER_FAULTS),
    Script(
        "plain_jams",
        140.0,
        settings(groups=True),
        traffic=GROUPED_AT_LOW_RATE,
        setup_ms=40.0,
        steps=(*OVERLOADS, (128.0, "set", 0, 1, "message_ms", 300.0)),
    ),
    Script("jams_of_weighed_clients", 50.0, settings(), traffic=CLIENTS_WITH_LOADS, steps=OVERLOADS),
    Script(
        "jams_in_a_fleet",
        45.0,
        settings(balancers=6, zones=2),
        servers=10,
        zones=2,
        traffic=LONG_CONNECTIONS,
        steps=OVERLOADS,
    ),
    Script(
        "all_classes",
        45.0,
        settings(classes=ALL_CLASSES, zones=3),
        servers=9,
        zones=3,
        traffic=MIXED_CLASSES,
        connect_ms=20.0,
        setup_ms=60.0,
        steps=(*SERVER_FAULTS, *LIFECYCLE_CHANGES[:4], (39.0, "leave", 0.5)),
    ),
    Script(
        "all_classes_far_from_home",
        30.0,
        settings(classes=ALL_CLASSES, zones=2, zone=1, attempts=2),
        servers=3,
        traffic=MIXED_CLASSES,
        setup_ms=120.0,
        steps=SERVER_FAULTS[:4],
    ),
    Script(
        "weights_follow_load",
        30.0,
        settings(live_weights=True),
        servers=8,
        traffic=BUSY_TRAFFIC,
        steps=(
            *LIFECYCLE_CHANGES[:3],
            (10.0, "set", 0, 4, "weight", 0.2),
            (15.0, "set", 4, 6, "weight", 0.7),
        ),
    ),
    Script("cold_alone", 22.0, settings(), servers=8, traffic=BUSY_TRAFFIC, steps=COLD_STARTS),
    Script(
        "cold_in_zones",
        22.0,
        settings(balancers=4, zones=3, cold_from=0.12, cold=15_000.0),
        servers=9,
        zones=3,
        traffic=BUSY_TRAFFIC,
        steps=COLD_STARTS,
    ),
    Script(
        "cold_in_a_fleet_with_reports",
        22.0,
        settings(LOAD_REPORT_SETTINGS, balancers=200, zones=4, cold=20_000.0),
        servers=40,
        zones=4,
        traffic=FLEET_TRAFFIC,
        connections_of_other_balancers=12.4,
        steps=COLD_STARTS,
    ),
    Script(
        "reports_alone",
        35.0,
        settings(LOAD_REPORT_SETTINGS),
        servers=7,
        traffic=BUSY_TRAFFIC,
        connections_of_other_balancers=3.5,
        steps=REPORT_MODES,
    ),
    Script(
        "reports_in_zones",
        35.0,
        settings(LOAD_REPORT_SETTINGS, balancers=12, zones=3, classes=ALL_CLASSES),
        servers=30,
        zones=3,
        traffic=MIXED_CLASSES,
        connections_of_other_balancers=10.5,
        steps=REPORT_MODES,
    ),
    Script(
        "reports_of_a_large_fleet",
        35.0,
        settings(LOAD_REPORT_SETTINGS, balancers=200, zones=3, groups=True),
        servers=90,
        zones=3,
        traffic=GROUPED_IN_FLEET,
        connections_of_other_balancers=17.3,
        steps=REPORT_MODES,
    ),
    Script(
        "reports_and_groups",
        35.0,
        settings(LOAD_REPORT_SETTINGS, balancers=2, groups=True),
        servers=30,
        traffic=GROUPED_CLIENTS,
        connections_of_other_balancers=14.2,
        steps=(*REPORT_MODES, *OVERLOADS[:3]),
    ),
    Script(
        "groups_of_hundreds",
        25.0,
        settings(groups=True, balancers=3, zones=2),
        servers=300,
        zones=2,
        traffic=GROUPED_IN_FLEET,
        steps=((8.0, "drain", 0, 60), (10.0, "remove", 0, 60), (14.0, "add", 40)),
    ),
    Script(
        "polled_list_of_one",
        70.0,
        settings(polls_list=True, poll_within=9000.0),
        traffic=LONG_CONNECTIONS,
        starts_from_cache=True,
        steps=DISCOVERY_FAULTS,
    ),
    Script(
        "polled_list_of_hundreds",
        70.0,
        settings(LOAD_REPORT_SETTINGS, polls_list=True, poll_within=60_000.0, balancers=150, zones=2),
        servers=30,
        zones=2,
        traffic=FLEET_TRAFFIC,
        starts_from_cache=True,
        connections_of_other_balancers=8.0,
        steps=DISCOVERY_FAULTS,
    ),
    Script(
        "polled_list_within_its_time",
        70.0,
        settings(polls_list=True, poll_within=12_000.0, balancers=300),
        servers=5,
        traffic=FLEET_TRAFFIC,
        starts_from_cache=True,
        steps=DISCOVERY_FAULTS,
    ),
    Script("started_empty", 8.0, settings(polls_list=True, poll_within=4000.0), traffic=BUSY_TRAFFIC),
    Script(
        "adopted",
        25.0,
        settings(groups=True),
        servers=4,
        traffic=GROUPED_CLIENTS,
        adopted_connections=60,
        starts_from_cache=True,
        steps=(
            (4.0, "drain", 0, 2),
            (6.0, "leave", 0.8),
            (9.0, "set", 2, 3, "message_ms", 400.0),
            (14.0, "drain", 0, 4),
            (16.0, "return", 0, 4),
            (20.0, "shutdown"),
        ),
    ),
    Script(
        "full_fleet",
        25.0,
        settings(),
        servers=3,
        traffic=BUSY_TRAFFIC,
        steps=(
            (2.0, "set", 0, 3, "capacity", 8),
            (3.0, "burst", 200, 100.0),
            (8.0, "leave", 0.7),
            (12.0, "set", 0, 3, "message_ms", 900.0),
            (13.0, "burst", 60, 200.0),
            (18.0, "shutdown"),
        ),
    ),
    Script(
        "many_keys",
        96.0,
        settings(),
        servers=2,
        steps=((0.0, "set", 0, 2, "capacity", 2000),),
        traffic=Traffic(
            rate_per_s=300.0,
            lifetime_ms=1500.0,
            keys=21_500,
            cycles_keys=True,
            load_signal_share=1.0,
            load_spread=3.0,
        ),
    ),
    Script(
        "weights_follow_load_of_weighed_clients",
        15.0,
        settings(live_weights=True),
        servers=8,
        traffic=CLIENTS_WITH_LOADS,
        steps=((5.0, "set", 0, 4, "weight", 0.6), (10.0, "set", 4, 6, "weight", 0.8)),
    ),
    Script(
        "cost_of_a_connection",
        40.0,
        settings(LOAD_REPORT_SETTINGS, balancers=8, cold=6000.0),
        servers=10,
        traffic=Traffic(rate_per_s=2.0, lifetime_ms=4000.0),
        connections_of_other_balancers=4.4,
        steps=(
            (1.0, "set", 0, 3, "foreign", 9.7),
            (2.0, "add", 6),
            (4.0, "burst", 30, 3000.0),
            (12.0, "restart", 0, 9),
            (14.0, "burst", 30, 3000.0),
            (20.0, "restart", 0, 13),
            (22.0, "burst", 40, 4000.0),
            (30.0, "add", 8),
            (32.0, "burst", 40, 4000.0),
        ),
    ),
    Script(
        "brief_deduplication",
        15.0,
        settings(classes=(KEYED_WITH_SHORT_WINDOW, IDEMPOTENT)),
        servers=5,
        traffic=Traffic(
            rate_per_s=30.0, lifetime_ms=3000.0, timeout_ms=(900.0, 4000.0), class_weights=(2, 1)
        ),
        steps=(
            (1.0, "set", 0, 5, "hang_share", 0.5),
            (5.0, "set", 0, 5, "error_share", 0.3),
            (10.0, "set", 0, 5, "hang_share", 0.0),
        ),
    ),
)
