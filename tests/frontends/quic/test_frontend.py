"""Scenarios of the QUIC frontend.

`tests.scenario` documents the steps, `harness` the names of the packets. s1 and s2 are paths at the servers,
in the order of their first packet. `c reset` gives the client another address: the balancer then opens a
second path to the same server.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests import scenario
from tests.frontends.quic.harness import build_frontends

ESTABLISHED = """
    c send initial
    s1 expect initial at ?
    s1 send initial
    c expect initial
"""

CASES = {
    "established: packets pass by connection id in both directions": ESTABLISHED
    + """
        c send one_rtt
        s1 expect one_rtt at ?
        s1 send one_rtt
        c expect one_rtt""",
    "an Initial that is sent again belongs to the same request": """
        c send initial
        s1 expect initial at ?
        c send initial
        s1 expect initial at ?
        s1 send initial
        c expect initial""",
    "a migrated client stays with its server, on a path of its own": ESTABLISHED
    + """
        c reset
        c send one_rtt
        s2 expect one_rtt at ?
        s2 send one_rtt
        c expect one_rtt""",
    "a connection of another balancer is adopted: its id names the server": """
        c send one_rtt_of_other_balancer
        s1 expect one_rtt at a
        s1 send one_rtt
        c expect one_rtt""",
    "a connection of another balancer is adopted also while its server drains": """
        list draining
        wait 900
        c send one_rtt_of_other_balancer
        s1 expect one_rtt at a""",
    "an established connection goes on while its server drains": ESTABLISHED
    + """
        list draining
        wait 900
        c send one_rtt
        s1 expect one_rtt at ?""",
    "an established connection goes on at another balancer": ESTABLISHED
    + """
        c switch_balancer
        c send one_rtt
        s2 expect one_rtt at ?
        s2 send one_rtt
        c expect one_rtt""",
    "shutdown: the connection ends here and goes on at another balancer": ESTABLISHED
    + """
        stop
        wait 2500
        c switch_balancer
        c send one_rtt
        s2 expect one_rtt at ?""",
    "no server: CONNECTION_REFUSED, again for an Initial that is sent again": """
        list removed
        c send initial
        c expect close 2
        c send initial
        c expect close 2""",
    "all drain longer than the grace: CONNECTION_REFUSED": """
        list draining
        wait 900
        c send initial
        c expect close 2""",
    "a server that refuses: the next attempt goes to the other": """
        c send initial
        s1 expect initial at ?
        s1 send connection_refused
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "a server that closes with an error: the next attempt goes to the other": """
        c send initial
        s1 expect initial at ?
        s1 send internal_error
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "a port where nothing listens: the next attempt goes to the other": """
        c send initial
        s1 expect initial at ?
        s1 close
        c send initial
        s2 expect initial at ?
        s2 send initial
        c expect initial""",
    "silent servers: a second attempt, then CONNECTION_REFUSED at the deadline": """
        c send initial
        s1 expect initial at ?
        wait 600
        s2 expect initial at ?
        wait 1500
        c expect close 2""",
    "a Retry is forwarded, and the Initial that answers it too": """
        c send initial
        s1 expect initial at ?
        s1 send retry
        c expect retry
        c send initial
        s1 expect initial at ?
        s1 send initial
        c expect initial""",
    "another version is answered by Version Negotiation": "c send other_version\nc expect other_version",
    "connections over the limit of the settings are dropped and counted": """
        c send initial
        c2 send initial
        c3 send initial
        c4 send initial
        wait 20
        dropped table_full=1""",
    "unroutable and malformed packets are dropped and counted": """
        c send one_rtt_unroutable
        c send initial_truncated
        c send initial_too_short
        wait 20
        dropped malformed=2 unroutable=1""",
}


@pytest.mark.parametrize("script", CASES.values(), ids=CASES.keys())
def test_scenario(script: str) -> None:
    """Each step of the script passes; the policy makes at most two attempts."""
    scenario.run(script, build_frontends, max_attempts=2)


def test_an_idle_connection_is_removed_with_its_ids_and_its_request() -> None:
    """A balancer cannot see that a connection was closed, so the idle timeout must end it."""
    worlds: list[Any] = []

    async def build_and_store_world(world: Any) -> None:
        worlds.append(world)
        await build_frontends(world)

    beyond_idle_timeout_ms = 61_000
    scenario.run(ESTABLISHED + f"wait {beyond_idle_timeout_ms}", build_and_store_world)
    assert len(worlds[0].frontend.connections) == 0
    assert worlds[0].engine.idle
