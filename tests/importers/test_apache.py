"""Files of Apache's mod_proxy_balancer, and the servers imported from them."""

from __future__ import annotations

import pytest

from walkloom.importers.apache import parse_balancer_members
from walkloom.importers.model import ImportedServer, UnreadableLineError

APACHE_FILE = r"""
# two sites
<Proxy "balancer://tiles">
    BalancerMember http://10.0.0.1:8080 route=t1 loadfactor=3 timeout=5
    balancermember "ajp://10.0.0.2" \
        route=t2 status=+N
    BalancerMember https://[::1]/ status=D
</Proxy>
BalancerMember balancer://other http://10.0.0.3 status=+N-N
"""


def test_balancer_members_are_imported() -> None:
    imported = parse_balancer_members(APACHE_FILE)
    assert imported.servers == (
        ImportedServer("t1", "10.0.0.1", 8080, 3.0),
        ImportedServer("t2", "10.0.0.2", 8009, draining=True),
        ImportedServer("::1:443", "::1", 443, stopped=True),
        ImportedServer("10.0.0.3:80", "10.0.0.3", 80),
    )
    assert imported.warnings == ("line 4: timeout is not carried over",)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("BalancerMember http://h", "line 1: BalancerMember outside"),
        ("<Proxy balancer://x>\nBalancerMember", "line 2: BalancerMember without"),
        ("<Proxy balancer://x>\nBalancerMember gopher://h", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h:x", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h loadfactor=x", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h loadfactor=nan", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://h loadfactor=-1", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http://[::1", "line 2: cannot read"),
        ("<Proxy balancer://x>\nBalancerMember http:///", "line 2: no host"),
        ("<Proxy balancer://x>\n</Proxy>\nBalancerMember http://h", "line 3: BalancerMember outside"),
    ],
)
def test_an_unreadable_member_raises_an_error_with_its_line_number(text: str, problem: str) -> None:
    with pytest.raises(UnreadableLineError, match=problem) as caught:
        parse_balancer_members(text)
    assert caught.value.line_number == len(text.splitlines())
