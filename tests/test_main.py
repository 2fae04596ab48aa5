"""The program as a separate process: how it starts, stops and refuses to start."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson
import pytest

from walkloom import process_start
from walkloom.__main__ import _load_start_config

# Timeout of each wait for the program, s.
LIMIT_S = 20

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [{"name": "view", "goal-time": 300.0, "hard-limit": 1200.0, "repeat": "idempotent"}],
    "guarantees": {"drain-grace": 500.0},
    "limits": {"max-attempts": 3},
    "azs": ["here"],
}


def config(**changes: object) -> dict[str, object]:
    """Return the content of a configuration file, with changed or added keys."""
    known = {"generation": 1, "reset": True, "instances": []}
    base = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "known": known}
    return {**base, "settings": SETTINGS, **changes}


@contextmanager
def start(path: Path, *command: str) -> Iterator[subprocess.Popen[str]]:
    """Start the program or another command in the root folder; kill it if it outlives the test."""
    command = command or (sys.executable, "-m", "walkloom")
    env = {**os.environ, "GW_CONFIG": str(path)}
    with subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            process.kill()


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        (None, "No such file"),
        (b"{", "unexpected end"),
        (orjson.dumps({}), "settings"),
        (orjson.dumps(config(listen="nowhere")), "not an address"),
        (orjson.dumps(config(settings={**SETTINGS, "guarantees": {}})), "guarantees.drain-grace"),
    ],
)
def test_an_invalid_configuration_prevents_the_start_with_one_log_line(
    tmp_path: Path, text: bytes | None, expected_text: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_bytes(text)
    with start(path) as process:
        _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 2 and err.count("\n") == 1
    assert "configuration_invalid" in err and expected_text in err


def test_an_address_that_cannot_be_listened_on_prevents_the_start_with_one_log_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        listen = f"127.0.0.1:{occupied.getsockname()[1]}"
        path.write_bytes(orjson.dumps(config(listen=listen)))
        with start(path) as process:
            _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 2 and "Traceback" not in err
    assert "configuration_invalid" in err and f"listen {listen}" in err


def test_it_reloads_on_sighup_and_on_sigterm_migrates_open_connections_and_ends(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    path = tmp_path / "config.json"
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_server(("127.0.0.1", 0)) as discovery,
    ):
        discovery.settimeout(10)
        entry = {"instanceId": "a", "hostPort": f"127.0.0.1:{server.getsockname()[1]}", "lifecycle": "up"}
        known = {"generation": 1, "reset": True, "instances": [entry]}
        full = config(
            listen=f"127.0.0.1:{address[1]}", known=known, settings={**SETTINGS, "membership-mode": "ask"}
        )
        path.write_bytes(orjson.dumps(full))
        with start(path) as process:
            assert process.stderr
            next(line for line in process.stderr if " listening" in line)
            with socket.create_connection(address, timeout=10) as client, client.makefile() as answers:
                client.sendall(b"PING\r\nOPEN 1 2 c=view,d=1000\r\n")
                upstream, _ = server.accept()
                upstream.sendall(b"UP 7\r\n")
                assert [answers.readline(), answers.readline()] == ["PONG\n", "UP 7\n"]
                new_text = orjson.dumps(
                    full | {"discovery": f"127.0.0.1:{discovery.getsockname()[1]}", "name": "n1"}
                )
                for text, event in (
                    (new_text[:90], "reload_failed"),
                    (b"", "reload_failed"),
                    (new_text, "configuration_reloaded "),
                ):
                    path.write_bytes(text)
                    # Several signals may be delivered as one.
                    for _ in range(3):
                        process.send_signal(signal.SIGHUP)
                    line = next(line for line in process.stderr if event in line)
                    assert ("restart_for=name" in line) == (text is new_text)
                # A reload cancels the call in flight and starts the next.
                for _ in range(2):
                    call, _ = discovery.accept()
                    with call, call.makefile() as call_lines:
                        assert call_lines.readline() == "GET /registry/instances HTTP/1.1\n"
                        process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                assert answers.readline() == "MOVE\n" and not answers.readline()
            _, err = process.communicate(timeout=LIMIT_S)
            upstream.close()
    assert process.returncode == 0 and err.rstrip().endswith("shutdown_finished")


def test_the_age_of_the_list_in_the_file_is_the_age_of_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config()))
    monkeypatch.setenv("GW_CONFIG", str(path))
    monkeypatch.setattr(process_start, "STARTED_AT", process_start.STARTED_AT - 2.0)
    assert _load_start_config().balancer.known_age_s >= 2.0


def test_a_second_sigterm_and_a_sighup_do_not_disturb_a_graceful_shutdown(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config()))
    with start(path) as process:
        assert process.stderr
        for number, event in (
            (signal.SIGHUP, " listening"),
            (signal.SIGTERM, " configuration_reloaded "),
            (signal.SIGTERM, " shutdown_started"),
        ):
            next(line for line in process.stderr if event in line)
            process.send_signal(number)
        _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0 and err.rstrip().endswith("shutdown_finished")


def test_a_sighup_during_the_start_of_the_interpreter_does_not_end_the_process(tmp_path: Path) -> None:
    """The process is started by the command in the deploy file, as on the platform."""
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config()))
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable)
    with start(path, "/bin/sh", "-c", command) as process:
        assert process.stderr
        # Wait until the shell has executed the interpreter.
        while b"-m\0walkloom" not in Path(f"/proc/{process.pid}/cmdline").read_bytes():
            pass
        process.send_signal(signal.SIGHUP)
        next(line for line in process.stderr if " listening" in line)
        process.send_signal(signal.SIGTERM)
        _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0 and err.rstrip().endswith("shutdown_finished")


def test_a_file_replaced_right_after_reading_is_read_again(tmp_path: Path) -> None:
    """The SIGHUP arrives after the file was read and before the process receives signals."""
    path = tmp_path / "config.json"
    new = tmp_path / "new.json"
    with socket.create_server(("127.0.0.1", 0)) as new_discovery:
        new_discovery.settimeout(10)
        settings = {**SETTINGS, "membership-mode": "ask"}
        path.write_bytes(orjson.dumps(config(settings=settings)))
        discovery = f"127.0.0.1:{new_discovery.getsockname()[1]}"
        new.write_bytes(orjson.dumps(config(settings=settings, discovery=discovery)))
        code = f"""
import os, signal, trio
from walkloom import __main__ as program
original_run = trio.run
def replace_file_and_run(*args):
    os.replace({str(new)!r}, {str(path)!r})
    os.kill(os.getpid(), signal.SIGHUP)
    return original_run(*args)
trio.run = replace_file_and_run
raise SystemExit(program.serve())
"""
        with start(path, sys.executable, "-c", code) as process:
            call, _ = new_discovery.accept()
            with call, call.makefile() as call_lines:
                assert call_lines.readline() == "GET /registry/instances HTTP/1.1\n"
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0
