"""The limits the users set for the decision module."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
DECIDE = ROOT / "walkloom" / "decide.py"
OWN = ("walkloom.messages.", "walkloom.state.")  # the packages that the module may import


def imported(file: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {a.name for a in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{a.name}" for a in node.names}
    return names


def test_module_is_short_and_narrow() -> None:
    lines = DECIDE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 490
    assert max(map(len, lines)) <= 110
    assert "walkloom/messages/" in "\n".join(lines[:3])


def test_module_imports_only_messages_state_and_pure_parts_of_the_library() -> None:
    names = imported(DECIDE)
    allowed = {
        "__future__.annotations", "collections.abc.Callable", "math.exp", "random.Random", "typing.Any",
        "zlib.crc32",
    }  # fmt: skip
    assert {name for name in names if not name.startswith(OWN)} <= allowed


def test_module_is_the_deployed_policy() -> None:
    assert 'policy = ["walkloom/decide.py"]' in (ROOT / "deploy" / "balancer.toml").read_text()


def test_state_imports_only_messages_and_pure_parts_of_the_library() -> None:
    allowed = {"__future__.annotations", "bisect.bisect", "math.log", "zlib.crc32"}
    files = list((ROOT / "walkloom" / "state").glob("*.py"))
    assert len(files) > 1
    for file in files:
        assert {name for name in imported(file) if not name.startswith(OWN)} <= allowed
