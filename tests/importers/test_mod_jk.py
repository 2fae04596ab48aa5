"""Worker files of mod_jk, and the servers imported from them."""

from __future__ import annotations

import pytest

from walkloom.importers.mod_jk import parse_workers
from walkloom.importers.model import ImportedServer, ImporterError

WORKER_FILE = r"""
base=10.0.0
worker.list=lb,status
worker.lb.type=lb
worker.lb.balance_workers=w1,w2
worker.lb.balance_workers=w3
worker.status.type=status
worker.common.port=8010
worker.common.socket_timeout=9
worker.w1.reference=worker.common
worker.w1.host=$(base).1
worker.w1.lbfactor=2
worker.w2.host=h2
worker.w2.activation=disabled
worker.w2.route=two
worker.w3.host=h3
worker.w3.domain=north
worker.w3.activation=Stopped
"""


def test_workers_are_imported() -> None:
    imported = parse_workers(WORKER_FILE)
    assert imported.servers == (
        ImportedServer("w1", "10.0.0.1", 8010, 2.0),
        ImportedServer("two", "h2", 8009, draining=True),
        ImportedServer("w3", "h3", 8009, zone="north", stopped=True),
    )
    assert imported.warnings == ("worker w1: socket_timeout is not carried over",)


def test_without_a_load_balancer_the_listed_workers_that_are_servers_are_imported() -> None:
    imported = parse_workers("worker.list=a b\nworker.b.type=status")
    assert [server.name for server in imported.servers] == ["a"]
    assert imported.warnings == ("worker b: type status is no server",)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("worker.list", "line 1: not key=value"),
        ("worker.list=a\nworker.a.port=x", "line 2: worker a"),
        ("worker.list=a\nworker.a.lbfactor=inf", "line 2: worker a"),
        ("worker.list=a\nworker.a.reference=worker.a", "refers to itself"),
    ],
)
def test_an_unreadable_worker_raises_an_error_that_names_the_problem(text: str, problem: str) -> None:
    with pytest.raises(ImporterError, match=problem):
        parse_workers(text)
