"""Checks the characterisation: `python -m tests.characterisation.policy_check [--markdown] [NAME ...]`.

In a copy of the program, it makes one change at a time: each numeric constant of the policy is raised by a
fifth, or lowered by a fifth where no script detects the increase, and each planted change of a rule is made.
A script detects a change if its digest differs on the copy. Exits with 1 if no script detects a change.
CI does not run this check, because it takes minutes.
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

from tests.characterisation.policy_plants import PLANTS, UNCHECKED_CONSTANTS

ROOT = Path(__file__).parents[2]
DIGESTS: dict[str, str] = json.loads((Path(__file__).parent / "digests" / "policy.json").read_text())
COPIED_DIRECTORIES = ("walkloom", "tests")
MAX_PROCESSES = 3
CHANGE_FACTORS = (1.2, 0.8)


@dataclass(frozen=True)
class Change:
    """One change of the program's source; `new` is the whole changed file."""

    name: str
    description: str
    file: Path
    old: str
    new: str


def policy_files() -> list[Path]:
    """Return the files that `policy` in the deploy file names, including those in its directories."""
    names = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    files: list[Path] = []
    for name in names:
        path = ROOT / name
        files += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    return files


def _numeric_constants(file: Path) -> Iterator[tuple[str, ast.Constant]]:
    """Yield the names and literals of the numeric module constants, also from assignments of tuples."""
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
            if isinstance(target, ast.Name) and is_number and target.id not in UNCHECKED_CONSTANTS:
                assert isinstance(value, ast.Constant)
                yield target.id, value


def _change_value(value: float, factor: float) -> float:
    if isinstance(value, int):
        return value + max(round(value * 0.2), 1) if factor > 1 else value - max(round(value * 0.2), 1)
    return value * factor


def constant_changes() -> Iterator[Change]:
    """Yield the changes of each numeric constant: raised and lowered by a fifth."""
    for file in policy_files():
        lines = file.read_text().splitlines(keepends=True)
        for name, literal in _numeric_constants(file):
            for factor in CHANGE_FACTORS:
                new = _change_value(literal.value, factor)  # type: ignore[arg-type]
                line = lines[literal.lineno - 1]
                changed = line[: literal.col_offset] + repr(new) + line[literal.end_col_offset :]
                text = "".join([*lines[: literal.lineno - 1], changed, *lines[literal.lineno :]])
                yield Change(name, f"{literal.value!r} -> {new!r}", file, "", text)


def planted_changes() -> Iterator[Change]:
    """Yield the planted changes. Raises ValueError unless each old text is found once, in one file."""
    files = [*policy_files(), *sorted((ROOT / "walkloom" / "state").glob("*.py"))]
    for name, (old, new) in PLANTS.items():
        matching_files = [file for file in files if file.read_text().count(old) == 1]
        if len(matching_files) != 1:
            raise ValueError(
                f"{name}: {len(matching_files)} files of policy and state contain its old text once"
            )
        yield Change(name, "planted", matching_files[0], old, matching_files[0].read_text().replace(old, new))


def scripts_that_detect(change: Change) -> list[str]:
    """Return the scripts whose digests differ with this change, or the crash that it causes."""
    with tempfile.TemporaryDirectory() as copy_path:
        for directory in COPIED_DIRECTORIES:
            shutil.copytree(
                ROOT / directory, Path(copy_path, directory), ignore=shutil.ignore_patterns("__pycache__")
            )
        Path(copy_path, change.file.relative_to(ROOT)).write_text(change.new)
        command = [sys.executable, "-m", "tests.characterisation.policy_digests"]
        environment = {**os.environ, "PYTHONPATH": copy_path}
        completed = subprocess.run(command, cwd=copy_path, env=environment, capture_output=True, text=True)
    if completed.returncode:
        return [f"crash: {completed.stderr.splitlines()[-1]}"]
    digests = json.loads(completed.stdout)
    return [name for name, digest in DIGESTS.items() if digests[name] != digest]


def find_detecting_scripts(changes: Sequence[Change]) -> list[str]:
    """Return the scripts that detect the first of these changes that any script detects."""
    scripts: list[str] = []
    for change in changes:
        scripts = scripts_that_detect(change)
        print(f"{change.name} {change.description}: {len(scripts)} {' '.join(scripts[:6])}", file=sys.stderr)
        if scripts:
            break
    return scripts


def main(arguments: list[str]) -> int:
    """Check all changes, or those named, and print which scripts detect them."""
    names = [argument for argument in arguments if not argument.startswith("--")]
    changes = [*constant_changes(), *planted_changes()]
    selected = [change for change in changes if not names or change.name in names]
    changes_by_name: dict[str, list[Change]] = {}
    for change in selected:
        changes_by_name.setdefault(change.name, []).append(change)
    with ThreadPoolExecutor(MAX_PROCESSES) as pool:
        detected_by = dict(
            zip(changes_by_name, pool.map(find_detecting_scripts, changes_by_name.values()), strict=True)
        )
    undetected = [name for name, scripts in detected_by.items() if not scripts]
    if "--markdown" in arguments:
        for name, scripts in detected_by.items():
            shown = ", ".join(scripts[:3]) + (" ..." if len(scripts) > 3 else "")
            print(f"| `{name}` | {len(scripts)} | {shown or 'none'} |")
    print(
        f"{len(detected_by)} changes, {len(undetected)} detected by no script: {' '.join(undetected) or '-'}"
    )
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
