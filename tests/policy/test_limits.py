"""The limits the users set for the policy."""

import ast
from pathlib import Path

ROOT = Path(__file__).parents[2]
POLICY = sorted((ROOT / "walkloom" / "policy").rglob("*.py"))
OWN = ("walkloom.messages.", "walkloom.policy.", "walkloom.state.")  # the packages that it may import


def imported(file: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {a.name for a in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{a.name}" for a in node.names}
    return names


def test_policy_is_short_and_narrow() -> None:
    lines = [line for file in POLICY for line in file.read_text().splitlines()]
    assert 100 < sum(1 for line in lines if line.strip()) <= 490
    assert max(map(len, lines)) <= 110
    first = (ROOT / "walkloom" / "policy" / "balancer.py").read_text().splitlines()[:3]
    assert "walkloom/messages/" in "\n".join(first)


def test_policy_imports_only_messages_state_and_pure_parts_of_the_library() -> None:
    allowed = {
        "__future__.annotations", "collections.abc.Callable", "math.exp", "random.Random", "typing.Any",
        "zlib.crc32",
    }  # fmt: skip
    for file in POLICY:
        assert {name for name in imported(file) if not name.startswith(OWN)} <= allowed


def test_policy_is_the_deployed_one() -> None:
    assert 'policy = ["walkloom/policy"]' in (ROOT / "deploy" / "balancer.toml").read_text()


def test_state_imports_only_messages_and_pure_parts_of_the_library() -> None:
    allowed = {"__future__.annotations", "bisect.bisect", "math.log", "zlib.crc32"}
    files = list((ROOT / "walkloom" / "state").glob("*.py"))
    assert len(files) > 1
    for file in files:
        own = ("walkloom.messages.", "walkloom.state.")
        assert {name for name in imported(file) if not name.startswith(own)} <= allowed
