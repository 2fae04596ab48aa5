"""Maps the neutral words of the simulator's characterisation to the names in the program."""

from __future__ import annotations

from typing import Any

from walkloom.lab import rollout, simulator

SIZES = {
    "servers": "server_count",
    "balancers": "balancer_count",
    "seconds": "duration_s",
    "rate": "connection_rate_per_server",
    "life": "mean_lifetime_s",
    "fill": "server_capacity",
    "setup": "setup_ms",
    "drained": "drained_share",
    "crashed": "crashed_share",
    "failing": "failing_share",
    "list delay": "discovery_delay_ms",
    "seed": "seed",
    "zones": "zone_count",
    "groups": "group_count",
    "group cost": "group_cost",
    "standing": "initial_connections",
    "replaced": "replaced_share",
    "restarts": "restarts_balancers",
    "hung": "hung_share",
    "report delay": "load_report_delay_ms",
}
NUMBERS = {
    "served": "served_share",
    "worst": "worst_sample_share",
    "peak": "peak_load",
    "spread": "load_variation",
    "connections": "connection_count",
    "moves": "migration_count",
    "probes": "load_report_polls",
    "events": "event_count",
    "attempts": "attempt_count",
    "faults": "violation_count",
    "cold": "cold_server_peak",
    "resets": "reset_count",
}
ANSWERS = {
    "established": "up",
    "rejected": "refused",
    "failed": "failed",
    "unanswered": "none",
    "balancer stopped": "stopped",
}


def run_experiment(**sizes: Any) -> list[tuple[object, ...]]:
    """Return the records of one run of the simulator."""
    return _records(simulator.run(simulator.Experiment(**_named(sizes))))


def run_release(**sizes: Any) -> list[tuple[object, ...]]:
    """Return the records of one run of a release."""
    return _records(rollout.run(rollout.Rollout(**_named(sizes))))


def run_experiments(processes: int, *sizes: dict[str, Any]) -> list[tuple[object, ...]]:
    """Return the records of several runs, in order."""
    results = simulator.run_all([simulator.Experiment(**_named(each)) for each in sizes], processes)
    return [record for result in results for record in _records(result)]


def _named(sizes: dict[str, Any]) -> dict[str, Any]:
    return {SIZES[word.replace("_", " ")]: value for word, value in sizes.items()}


def _records(result: simulator.Result) -> list[tuple[object, ...]]:
    """Return the fields that are equal in all runs of one experiment; of a rule violation only its time."""
    kept = result.reproducible_fields()
    records: list[tuple[object, ...]] = [
        (word, _plain(kept.pop(name))) for word, name in NUMBERS.items() if name in kept
    ]
    answers = kept.pop("request_results")
    records.append(("answers", *sorted((ANSWERS[word], count) for word, count in answers.items())))
    records.append(("fault times", *(f"{violation.time_ms:.0f}" for violation in kept.pop("violations"))))
    records.append(("pairs", *kept.pop("server_group_pairs", ())))
    assert not kept, f"no neutral words for {sorted(kept)}"
    return records


def _plain(number: Any) -> float | int:
    return number if isinstance(number, int) else float(number)
