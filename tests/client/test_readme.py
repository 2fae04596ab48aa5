"""The client example of the README runs as printed, except for the address."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.client.scripted_balancer import Balancer, serve_in_thread


def test_the_client_example_of_the_readme_runs(capsys: pytest.CaptureFixture[str]) -> None:
    readme = (Path(__file__).parents[2] / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", readme, re.S)
    (code,) = (block for block in blocks if "walkloom.client" in block)
    balancer = Balancer(["> UP 1\nexpect sheet 17\n> sheet 17 is here\nhold"])
    with serve_in_thread(balancer):
        exec(code.replace("127.0.0.1:9000", balancer.address), {})
    assert capsys.readouterr().out == "sheet 17 is here\n" and "t=herb-serra" in balancer.opening_lines[0]
