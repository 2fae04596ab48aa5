"""The limits the users set for the decision module."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECIDE = ROOT / "walkloom" / "decide.py"


def test_module_is_short_and_narrow() -> None:
    lines = DECIDE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 490
    assert max(map(len, lines)) <= 110
    assert "walkloom/interface.py" in "\n".join(lines[:3])


def test_module_imports_only_the_interface_and_pure_parts_of_the_library() -> None:
    names: set[str] = set()
    for node in ast.walk(ast.parse(DECIDE.read_text())):
        if isinstance(node, ast.Import):
            names |= {a.name for a in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{a.name}" for a in node.names}
    allowed = {
        "__future__.annotations", "bisect.bisect", "collections.abc.Callable", "math.exp", "math.log",
        "random.Random", "typing.Any", "zlib.crc32", "walkloom.interface",
    }  # fmt: skip
    assert names <= allowed


def test_module_is_the_deployed_policy() -> None:
    assert 'policy = ["walkloom/decide.py"]' in (ROOT / "deploy" / "balancer.toml").read_text()
