"""Files of Apache's balancer and of mod_jk, and what becomes of them."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from walkloom.config import SettingNames
from walkloom.discovery.watcher import decode
from walkloom.importers.parser import ImportFailed, Member, balancer_members, main, workers

APACHE = r"""
# two sites
<Proxy "balancer://tiles">
    BalancerMember http://10.0.0.1:8080 route=t1 loadfactor=3 timeout=5
    balancermember "ajp://10.0.0.2" \
        route=t2 status=+N
    BalancerMember https://[::1]/ status=D
</Proxy>
BalancerMember balancer://other http://10.0.0.3 status=+N-N
"""
JK = r"""
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


def test_balancer_members() -> None:
    got = balancer_members(APACHE)
    assert got.members == (
        Member("t1", "10.0.0.1", 8080, 3.0),
        Member("t2", "10.0.0.2", 8009, draining=True),
        Member("::1:443", "::1", 443, stopped=True),
        Member("10.0.0.3:80", "10.0.0.3", 80),
    )
    assert got.notes == ("line 4: timeout is not carried over",)


def test_workers() -> None:
    got = workers(JK)
    assert got.members == (
        Member("w1", "10.0.0.1", 8010, 2.0),
        Member("two", "h2", 8009, draining=True),
        Member("w3", "h3", 8009, zone="north", stopped=True),
    )
    assert got.notes == ("worker w1: socket_timeout is not carried over",)
    assert [m.name for m in workers("worker.list=a b\nworker.b.type=status").members] == ["a"]


@pytest.mark.parametrize(
    "text, what",
    [
        ("BalancerMember http://h", "line 1: BalancerMember outside"),
        ("<Proxy balancer://x>\nBalancerMember", "line 2: BalancerMember without"),
        ("<Proxy balancer://x>\nBalancerMember gopher://h", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h:x", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h loadfactor=x", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http:///", "line 2: no host"),
    ],
)
def test_unreadable_members_are_named(text: str, what: str) -> None:
    with pytest.raises(ImportFailed, match=what):
        balancer_members(text)


@pytest.mark.parametrize(
    "text, what",
    [
        ("worker.list", "line 1: not key=value"),
        ("worker.list=a\nworker.a.port=x", "line 2: worker a"),
        ("worker.list=a\nworker.a.reference=worker.a", "refers to itself"),
    ],
)
def test_unreadable_workers_are_named(text: str, what: str) -> None:
    with pytest.raises(ImportFailed, match=what):
        workers(text)


def test_the_printed_list_is_one_that_the_resolver_reads(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "httpd.conf").write_text(APACHE)
    (tmp_path / "workers.properties").write_text(JK)
    assert main([str(tmp_path / "httpd.conf"), str(tmp_path / "workers.properties")]) == 0
    out = capsys.readouterr().out
    result = decode(out.encode(), SettingNames((), (), ("north",), ()))
    assert [str(s.id) for s in result.servers] == ["t1", "t2", "10.0.0.3:80", "w1", "two"]
    assert result.addresses["t2"] == ("10.0.0.2", 8009) and orjson.loads(out)["reset"]
    (tmp_path / "twice.properties").write_text("worker.list=t1\n")
    assert main([str(tmp_path / "httpd.conf"), str(tmp_path / "twice.properties")]) == 2
    assert "two members" in capsys.readouterr().err
    assert main([]) == 2 and main([str(tmp_path / "none")]) == 2
