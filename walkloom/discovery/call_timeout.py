"""How long a call to discovery may take before it counts as stalled. No I/O.

Times are in seconds of trio's clock.
"""

from __future__ import annotations

from walkloom.discovery.call import Call

# How long a call that opens a watch may take, with its time in discovery's queue.
OPENING_TIMEOUT_S = 3.8

# How long after its hold a call that continues a watch may be answered. Such a call does not wait in the
# queue. A change that a silent watch misses counts as received 6 s after the watch fell silent; the time that
# remains until then lets discovery answer the queued calls of all balancers that reopen their watches.
ANSWER_TIMEOUT_S = 0.5

# The same while discovery is slow, because opening a watch is expensive for it.
SLOW_ANSWER_TIMEOUT_S = 1.8

# Upper limit of the time in which the agent of a pushed list must answer a call that it may not hold.
MAX_AGENT_TIMEOUT_S = 1.8

# Share of that time in which the agent must answer after it has held a call. It answers at once unless the
# watch fell silent, and the list must be confirmed again within the drain grace (rule 3).
HELD_AGENT_TIMEOUT_SHARE = 0.5


class CallTimeout:
    """Chooses the time limit of each call of one balancer."""

    def __init__(self, drain_grace_ms: float, *, is_agent: bool = False) -> None:
        """is_agent: the calls go to the agent of a pushed list."""
        self._is_agent = is_agent

        # An agent on this machine has the pushed list and answers at once unless it is silent. This balancer
        # counts as notified of a change as soon as the agent has it, and must obey a drain once the drain
        # grace has passed since then. The agent's time limit is therefore half of the drain grace.
        self.agent_timeout_s = min(drain_grace_ms / 2.0 / 1000.0, MAX_AGENT_TIMEOUT_S)

        # Whether the latest call that continued a watch was answered within ANSWER_TIMEOUT_S.
        self._is_prompt = True

    def limit_s(self, call: Call) -> float:
        """Return how long a call may take, s."""
        if self._is_agent:
            if not call.hold_ms:
                return self.agent_timeout_s
            return call.hold_ms / 1000.0 + self.agent_timeout_s * HELD_AGENT_TIMEOUT_SHARE
        if not call.continues_watch:
            return OPENING_TIMEOUT_S
        answer_timeout_s = ANSWER_TIMEOUT_S if self._is_prompt else SLOW_ANSWER_TIMEOUT_S
        return call.hold_ms / 1000.0 + answer_timeout_s

    def record_answer(self, call: Call, answered_at: float) -> None:
        """Record when a call was answered."""
        if call.continues_watch:
            answer_s = answered_at - call.started_at - call.hold_ms / 1000.0
            self._is_prompt = answer_s <= ANSWER_TIMEOUT_S

    def record_stall(self, call: Call) -> None:
        """Record that a call reached its time limit."""
        if call.continues_watch:
            self._is_prompt = False
