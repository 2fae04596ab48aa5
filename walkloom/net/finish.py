"""Stage 5: the one final answer of an RPC that was not served: an unavailable status or a failure."""

from __future__ import annotations

from contextlib import suppress

import trio

from walkloom import interface as f
from walkloom.net.budget import Budget
from walkloom.net.lines import Lines


async def answer(channel: Lines, order: f.Refuse | f.Fail, budget: Budget) -> None:
    if isinstance(order, f.Fail):
        line = b"ERR\r\n"
    else:
        line = b"BUSY %d\r\n" % order.retry_after if order.retry_after >= 1 else b"BUSY\r\n"
    # owed also while the program stops
    with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0) as scope, budget.spare(scope):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await channel.send(line)
        await channel.close_gently()
