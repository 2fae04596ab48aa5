"""The layers of docs/architecture.md: which part may import which, without import cycles."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]

# The other parts of the program that each part may import.
ALLOWED = {
    "messages": set[str](),
    "state": {"messages"},
    "policy": {"messages", "state"},
    "balancer": {"messages", "policy", "state"},
    "engine": {"balancer", "messages"},
    "transport": set[str](),
    "simulator": {"balancer", "messages"},
    "client": set[str](),
}


def module_name(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def read_imports() -> dict[str, set[str]]:
    """Return, for each module of the program, the program's modules that it imports at load time."""
    files = {module_name(file): file for file in (ROOT / "walkloom").rglob("*.py")}
    imports: dict[str, set[str]] = {}
    for name, file in files.items():
        imports[name] = set()
        for node in ast.parse(file.read_text()).body:
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("walkloom"):
                for alias in node.names:
                    member = f"{node.module}.{alias.name}"
                    imports[name].add(member if member in files else str(node.module))
    return imports


IMPORTS = read_imports()


@pytest.mark.parametrize("part", ALLOWED)
def test_a_layer_imports_only_layers_below_it(part: str) -> None:
    modules = [name for name in IMPORTS if name.split(".")[1:2] == [part]]
    used = {imported.split(".")[1] for name in modules for imported in IMPORTS[name]}
    assert modules
    assert used - {part} <= ALLOWED[part]


def test_there_are_no_import_cycles() -> None:
    remaining = {name: imported - {name} for name, imported in IMPORTS.items()}
    while leaves := {name for name, imported in remaining.items() if not imported & remaining.keys()}:
        remaining = {name: imported for name, imported in remaining.items() if name not in leaves}
    assert not remaining
