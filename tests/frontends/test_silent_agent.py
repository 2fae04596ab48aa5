"""Both frontends while the agent of a pushed list is silent: new work waits, and open connections go on."""

from __future__ import annotations

from typing import Any

import pytest

from tests import scenario
from tests.frontends.line.harness import ESTABLISHED, OPEN, build_frontend
from tests.frontends.quic.harness import build_frontends
from tests.frontends.quic.test_frontend import ESTABLISHED as QUIC_ESTABLISHED
from walkloom.messages import EndpointListUpdate, UpdateKind

# Longer than the drain grace: the last answer of the agent confirms the list no more.
SILENCE = "wait 1000\n"

LINE_CASES = {
    "a request waits for the agent and is placed with its answer": f"""
        c send {OPEN}
        wait 1000
        agent_answers
        within 500 s1 expect OPEN*
        s1 send UP 77
        c expect UP 77""",
    "a request is rejected shortly before its deadline": f"""
        c send {OPEN}
        after 1500 c expect BUSY*
        c expect EOF
        c close
        wait 100
        nothing_open""",
    "a client that leaves while it waits is forgotten": f"""
        c send {OPEN}
        wait 300
        c close
        wait 100
        nothing_open
        agent_answers
        wait 100
        nothing_open""",
    "an established connection goes on": "agent_answers\n"
    + ESTABLISHED
    + SILENCE
    + "c send M 1\ns1 expect M 1\ns1 send M 1 ok\nc expect M 1 ok",
    "a standing connection is taken over before the agent has answered": """
        c send OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,at=a
        within 100 s1 expect OPEN*
        s1 send UP 77
        c expect UP 77""",
}

QUIC_CASES = {
    "a request waits for the agent and is placed with its answer": """
        c send initial
        wait 1000
        agent_answers
        within 500 s1 expect initial at ?
        s1 send initial
        c expect initial""",
    "a request is refused before its deadline": "c send initial\nafter 1000 c expect close 2",
    "an established connection goes on": "agent_answers\n"
    + QUIC_ESTABLISHED
    + SILENCE
    + "c send one_rtt\ns1 expect one_rtt at ?\ns1 send one_rtt\nc expect one_rtt",
    "a connection of another balancer is taken over before the agent has answered": """
        c send one_rtt_of_other_balancer
        within 100 s1 expect one_rtt at a""",
}


def add_agent(world: Any) -> None:
    """Add the step `agent_answers`; until then no answer has confirmed the list."""

    async def confirm_list(_arguments: str) -> None:
        world.engine.endpoint_list_updated(
            EndpointListUpdate(UpdateKind.INCREMENTAL, confirmed_at=world.engine.now())
        )

    world.verbs["agent_answers"] = confirm_list


async def build_line_frontend(world: Any) -> None:
    add_agent(world)
    await build_frontend(world)


async def build_quic_frontend(world: Any) -> None:
    add_agent(world)
    await build_frontends(world)


@pytest.mark.parametrize("script", LINE_CASES.values(), ids=LINE_CASES.keys())
def test_line_frontend(script: str) -> None:
    scenario.run(script, build_line_frontend, max_list_age_ms=6000.0)


@pytest.mark.parametrize("script", QUIC_CASES.values(), ids=QUIC_CASES.keys())
def test_quic_frontend(script: str) -> None:
    scenario.run(script, build_quic_frontend, max_list_age_ms=6000.0)
