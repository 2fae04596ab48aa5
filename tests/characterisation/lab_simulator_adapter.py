"""Every name of the program that the characterisation of the simulator uses, and the neutral words."""

from __future__ import annotations

from typing import Any

from walkloom.lab import rollout
from walkloom.lab.simulator import simulator as sim

SIZES = {
    "servers": "servers",
    "balancers": "balancers",
    "seconds": "seconds",
    "rate": "rate",
    "life": "life_s",
    "fill": "fill",
    "setup": "setup_ms",
    "drained": "drains",
    "crashed": "crashes",
    "failing": "failing",
    "list delay": "list_ms",
    "seed": "seed",
    "zones": "zones",
    "groups": "groups",
    "group cost": "group_cost",
    "standing": "standing",
    "replaced": "replaced",
    "restarts": "restarts",
    "hung": "hung",
    "report delay": "report_ms",
}
NUMBERS = {
    "served": "served",
    "worst": "worst_look",
    "peak": "peak",
    "spread": "spread",
    "connections": "connections",
    "moves": "moves",
    "probes": "probes",
    "events": "events",
    "attempts": "attempts",
    "faults": "faults_in_all",
    "cold": "cold_peak",
    "resets": "resets",
}
ANSWERS = {"up": "up", "refused": "refused", "failed": "failed", "none": "none", "stopped": "stopped"}


def day(**sizes: Any) -> list[tuple[object, ...]]:
    """The record of one run of the simulator."""
    return _records(sim.run(sim.Experiment(**_named(sizes))))


def release(**sizes: Any) -> list[tuple[object, ...]]:
    """The record of one run of a release."""
    return _records(rollout.run(rollout.Rollout(**_named(sizes))))


def several(processes: int, *sizes: dict[str, Any]) -> list[tuple[object, ...]]:
    """The records of several runs, in order."""
    results = sim.run_all([sim.Experiment(**_named(each)) for each in sizes], processes)
    return [record for result in results for record in _records(result)]


def _named(sizes: dict[str, Any]) -> dict[str, Any]:
    return {SIZES[word.replace("_", " ")]: value for word, value in sizes.items()}


def _records(result: sim.Result) -> list[tuple[object, ...]]:
    """What two runs of one experiment agree on; of a fault its time alone."""
    kept = result.same()
    records: list[tuple[object, ...]] = [
        (word, _plain(kept.pop(name))) for word, name in NUMBERS.items() if name in kept
    ]
    answers = kept.pop("answers")
    records.append(("answers", *sorted((ANSWERS[word], count) for word, count in answers.items())))
    records.append(("fault times", *(text.partition(" ms: ")[0] for text in kept.pop("faults"))))
    records.append(("pairs", *kept.pop("pairs", ())))
    assert not kept, f"no neutral words for {sorted(kept)}"
    return records


def _plain(number: Any) -> float | int:
    return number if isinstance(number, int) else float(number)
