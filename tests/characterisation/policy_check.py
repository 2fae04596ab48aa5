"""Checks the characterisation: `python -m tests.characterisation.policy_check [--markdown] [NAME ...]`.

Each tuned constant of the policy is changed by a fifth, one at a time (down where up is seen by none), and
each planted change of a rule is made, in a copy of the program; the scripts are played on the copy, and the
digests that differ are the scripts that see the change. Exits with 1 where a change is seen
by none. It takes minutes, so CI leaves it.
"""

from __future__ import annotations

import ast
import json
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.characterisation.policy_plants import NOT_TUNED, PLANTS

ROOT = Path(__file__).parents[2]
DIGESTS: dict[str, str] = json.loads((Path(__file__).parent / "digests" / "policy.json").read_text())
PARTS = ("walkloom", "tests")
PROCESSES = 3
FACTORS = (1.2, 0.8)


@dataclass(frozen=True)
class Change:
    """One change of the program's text."""

    name: str
    what: str
    file: Path
    old: str
    new: str


def policy_files() -> list[Path]:
    """The files that `policy` in the deploy file names, folders walked."""
    names = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    found: list[Path] = []
    for name in names:
        path = ROOT / name
        found += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    return found


def _numbers(file: Path) -> Iterator[tuple[str, ast.Constant]]:
    """The names and literals of the numeric module constants, also of those assigned several a line."""
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.AnnAssign) and node.value is not None:
            pairs: list[tuple[ast.expr, ast.expr]] = [(node.target, node.value)]
        elif isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Tuple):
            assert isinstance(node.value, ast.Tuple)
            pairs = list(zip(node.targets[0].elts, node.value.elts, strict=True))
        elif isinstance(node, ast.Assign):
            pairs = [(node.targets[0], node.value)]
        else:
            continue
        for target, value in pairs:
            is_number = isinstance(value, ast.Constant) and isinstance(value.value, int | float)
            if isinstance(target, ast.Name) and is_number and target.id not in NOT_TUNED:
                assert isinstance(value, ast.Constant)
                yield target.id, value


def _changed(value: float, factor: float) -> float:
    if isinstance(value, int):
        return value + max(round(value * 0.2), 1) if factor > 1 else value - max(round(value * 0.2), 1)
    return value * factor


def constant_changes() -> Iterator[Change]:
    """Each tuned constant a fifth up and a fifth down."""
    for file in policy_files():
        lines = file.read_text().splitlines(keepends=True)
        for name, literal in _numbers(file):
            for factor in FACTORS:
                new = _changed(literal.value, factor)  # type: ignore[arg-type]
                line = lines[literal.lineno - 1]
                changed = line[: literal.col_offset] + repr(new) + line[literal.end_col_offset :]
                text = "".join([*lines[: literal.lineno - 1], changed, *lines[literal.lineno :]])
                yield Change(name, f"{literal.value!r} -> {new!r}", file, "", text)


def planted_changes() -> Iterator[Change]:
    """The planted changes of rules; ValueError where a text does not stand in the policy exactly once."""
    files = [*policy_files(), *sorted((ROOT / "walkloom" / "state").glob("*.py"))]
    for name, (old, new) in PLANTS.items():
        holders = [file for file in files if file.read_text().count(old) == 1]
        if len(holders) != 1:
            raise ValueError(f"{name}: its text stands in {len(holders)} files of policy and state")
        yield Change(name, "planted", holders[0], old, holders[0].read_text().replace(old, new))


def scripts_that_see(change: Change) -> list[str]:
    """The scripts whose digests differ with this change; one that crashes the program counts."""
    with tempfile.TemporaryDirectory() as folder:
        for part in PARTS:
            shutil.copytree(ROOT / part, Path(folder, part), ignore=shutil.ignore_patterns("__pycache__"))
        Path(folder, change.file.relative_to(ROOT)).write_text(change.new)
        command = [sys.executable, "-m", "tests.characterisation.policy_digests"]
        environment = {**os.environ, "PYTHONPATH": folder}
        done = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True)
    if done.returncode:
        return [f"crash: {done.stderr.splitlines()[-1]}"]
    played = json.loads(done.stdout)
    return [name for name, digest in DIGESTS.items() if played[name] != digest]


def first_seen(changes: Sequence[Change]) -> list[str]:
    """The scripts that see the first of these changes that any script sees."""
    scripts: list[str] = []
    for change in changes:
        scripts = scripts_that_see(change)
        print(f"{change.name} {change.what}: {len(scripts)} {' '.join(scripts[:6])}", file=sys.stderr)
        if scripts:
            break
    return scripts


def main(arguments: list[str]) -> int:
    """Play all changes, or those named, and print who sees them."""
    names = [argument for argument in arguments if not argument.startswith("--")]
    changes = [*constant_changes(), *planted_changes()]
    chosen = [change for change in changes if not names or change.name in names]
    by_name: dict[str, list[Change]] = {}
    for change in chosen:
        by_name.setdefault(change.name, []).append(change)
    with ThreadPoolExecutor(PROCESSES) as pool:
        seen = dict(zip(by_name, pool.map(first_seen, by_name.values()), strict=True))
    unseen = [name for name, scripts in seen.items() if not scripts]
    if "--markdown" in arguments:
        for name, scripts in seen.items():
            shown = ", ".join(scripts[:3]) + (" ..." if len(scripts) > 3 else "")
            print(f"| `{name}` | {len(scripts)} | {shown or 'none'} |")
    print(f"{len(seen)} changes, {len(unseen)} seen by no script: {' '.join(unseen) or '-'}")
    return 1 if unseen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
