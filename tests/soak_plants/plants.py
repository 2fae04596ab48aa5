"""The planted faults: each replaces one piece of source."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plant:
    """One planted fault."""

    name: str

    # Path below `walkloom/`.
    file: str

    # A piece of source that occurs exactly once in the file, and its replacement.
    old: str
    new: str


PLANTS = (
    Plant(
        "the list lease never expires",
        "policy/list_lease.py",
        "return state.now < state.list_lease.expires_at",
        "return True",
    ),
    Plant(
        "a failed call renews the lease",
        "policy/list_lease.py",
        "    lease.failures += 1\n",
        "    lease.failures += 1\n    _extend(state, state.now, 6000.0)\n",
    ),
    Plant(
        "the agent of a pushed list is called after 4 s",
        "policy/endpoint_watch.py",
        "return max(longest_ms * share - event.call_ms, 0.0)",
        "return 4000.0",
    ),
    Plant(
        "a drain in an endpoint list is ignored",
        "discovery/codec.py",
        '"draining": Lifecycle.DRAINING',
        '"draining": Lifecycle.READY',
    ),
    Plant(
        "a draining server stays usable without a limit",
        "policy/endpoint_selection.py",
        "return endpoint.drain_notified_at == NOT_DRAINING"
        " or endpoint.drain_notified_at > grace_started_after",
        "return True",
    ),
    Plant(
        "a drain counts as notified 4 s late",
        "state/endpoint_table.py",
        "            endpoint.drain_notified_at = notified_at\n        return lifecycle",
        "            endpoint.drain_notified_at = notified_at + 4000.0\n        return lifecycle",
    ),
    Plant(
        "the deadline is 1 s late",
        "frontends/line/request_lifecycle.py",
        "engine.now() + request_line.request_timeout_ms - ANSWER_MARGIN_MS",
        "engine.now() + request_line.request_timeout_ms + 1000.0",
    ),
    Plant(
        "a rejected client is closed without an answer",
        "frontends/line/connection_shutdown.py",
        "        return BUSY_WITH_RETRY_AFTER % answer.retry_after_ms\n",
        '        return b""\n',
    ),
    Plant(
        "a failed client is closed without an answer",
        "frontends/line/connection_shutdown.py",
        "        return ERR\n",
        '        return b""\n',
    ),
    Plant(
        "a retry while the previous attempt is open",
        "frontends/line/upstream.py",
        "        if not is_established:\n            await upstream.close()",
        "        if not is_established:\n            pass",
    ),
    Plant(
        "more attempts than are allowed",
        "config.py",
        "        max_stall_ms=MAX_STALL_MS,\n",
        "        max_stall_ms=MAX_STALL_MS,\n        max_attempts=5,\n",
    ),
    Plant(
        "a client's disconnect is not noticed",
        "frontends/line/request_lifecycle.py",
        "        placement.client_sent_input = await client.wait_for_input()\n",
        "        await trio.sleep_forever()\n",
    ),
    Plant(
        "no MOVE at shutdown",
        "frontends/line/relay.py",
        "        must_reconnect = self._is_migrating or ended_by_shutdown\n",
        "        must_reconnect = False\n",
    ),
    Plant(
        "a shutdown assumes a later SIGKILL", "shutdown.py", "SIGKILL_DELAY_S = 0.7", "SIGKILL_DELAY_S = 3.0"
    ),
    Plant(
        "the wall clock is used as the engine's clock",
        "engine/engine.py",
        "        return self._clock_offset_ms + trio.current_time() * 1000.0",
        "        return time.time() * 1000.0",
    ),
    Plant(
        "lines are delayed",
        "frontends/line/relay.py",
        "                for line in lines.splitlines():\n",
        "                await trio.sleep(1.3)\n                for line in lines.splitlines():\n",
    ),
    Plant(
        "a client that stops within its line is not closed",
        "frontends/line/request_line.py",
        "REQUEST_LINE_TIMEOUT_S = 2.0",
        "REQUEST_LINE_TIMEOUT_S = 200.0",
    ),
    Plant(
        "SIGHUP ends the program",
        "__main__.py",
        "        if number == signal.SIGHUP:\n            reload_config(conf, watcher)",
        "        if number == signal.SIGHUP:\n            raise SystemExit(1)",
    ),
    Plant(
        "a malformed discovery answer ends the program",
        "discovery/watcher.py",
        "except (DiscoveryError, OSError, trio.BrokenResourceError, h11.ProtocolError) as error:",
        "except (OSError, trio.BrokenResourceError) as error:",
    ),
    Plant(
        "the last check before sending is left out",
        "engine/request_handle.py",
        "        self.sending_started = self.engine.may_send(self.id, self.endpoint_id)\n",
        "        self.sending_started = True\n",
    ),
    Plant(
        "MOVE is sent within a line",
        "frontends/line/relay.py",
        "            while lines := await self._upstream.read_complete_lines():\n",
        "            while lines := (await self._upstream.read_complete_lines())[:-3]:\n",
    ),
    Plant(
        "the balancer is ready late",
        "server.py",
        "            await self.watcher.wait_until_ready()\n",
        "            await trio.sleep(11.0)\n",
    ),
)
