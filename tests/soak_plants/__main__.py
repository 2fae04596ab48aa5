"""Runs the soak on planted faults until each is found: `python -m tests.soak_plants [--jobs N] [NAME ...]`.

Prints a row for each fault: the number of seeds needed and the rules that were broken. Not part of CI.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import trio

from tests.soak_plants.plants import PLANTS, Plant
from walkloom.lab.soak.runner import RunPlan, execute_run
from walkloom.lab.soak.violation import Violation

ROOT = Path(__file__).parents[2]
MAX_SEEDS = 10


def main() -> int:
    """Run all plants that the arguments select; return how many were not found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="parts of the names of plants; default: all")
    parser.add_argument("--jobs", type=int, default=3, help="plants checked at a time")
    arguments = parser.parse_args()
    chosen = [plant for plant in PLANTS if _is_chosen(plant, arguments.names)]
    print("| planted fault | place | seeds | rule |\n|---|---|---|---|")
    missed = 0
    with ProcessPoolExecutor(arguments.jobs) as executor:
        for plant, row, is_found in executor.map(_check, chosen):
            print(f"| {plant.name} | `{plant.file}` | {row} |", flush=True)
            missed += not is_found
    return missed


def _is_chosen(plant: Plant, names: list[str]) -> bool:
    return not names or any(name in plant.name for name in names)


def _check(plant: Plant) -> tuple[Plant, str, bool]:
    """Run seeds until one breaks a rule; return the plant, the table cells, and whether it was found."""
    with tempfile.TemporaryDirectory(prefix="plant-") as folder:
        source = Path(folder)
        if not _copy_with_fault(plant, source):
            return plant, "the text to replace is not there exactly once | -", False
        for seed in range(1, MAX_SEEDS + 1):
            if violations := _play(seed, source):
                rules = sorted({violation.rule for violation in violations})
                return plant, f"{seed} | {', '.join(rules)}", True
    return plant, f"not found in {MAX_SEEDS} | -", False


def _copy_with_fault(plant: Plant, folder: Path) -> bool:
    """Copy the program and plant the fault; return False unless the text to replace occurs exactly once."""
    shutil.copytree(ROOT / "walkloom", folder / "walkloom", ignore=shutil.ignore_patterns("__pycache__"))
    file = folder / "walkloom" / plant.file
    text = file.read_text()
    file.write_text(text.replace(plant.old, plant.new))
    return text.count(plant.old) == 1


def _play(seed: int, source: Path) -> list[Violation]:
    result = trio.run(partial(execute_run, RunPlan.from_seed(seed, small=True), source))
    return result.violations


if __name__ == "__main__":
    sys.exit(main())
