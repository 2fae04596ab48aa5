"""A log that cannot be written (full pipe, closed pipe, full disk) does not block the program."""

from __future__ import annotations

import fcntl
import logging
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from tests.test_main import LIMIT_S, ROOT, config
from walkloom.log_output import NonBlockingLogHandler

SMALL_PIPE_BYTES = 4096
# Interval between two attempts to connect to a starting process.
POLL_INTERVAL_S = 0.05


@pytest.fixture
def small_pipe() -> Iterator[tuple[int, int]]:
    """Provide a pipe with a capacity of one page."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
    yield reading, writing
    for descriptor in (reading, writing):
        os.close(descriptor)


def record(text: str) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": text, "levelname": "INFO"})


def test_lines_that_do_not_fit_into_a_full_pipe_are_dropped_and_counted(small_pipe: tuple[int, int]) -> None:
    reading, writing = small_pipe
    handler = NonBlockingLogHandler(writing)
    for number in range(200):
        handler.emit(record(f"line {number} {'x' * 80}"))
    first = os.read(reading, 1 << 16).decode()
    handler.emit(record("after"))
    second = os.read(reading, 1 << 16).decode().splitlines()
    kept = first.count("\n")
    assert 20 < kept < 40 and first.endswith("\n")
    assert f"log_lines_dropped count={200 - kept}" in second[0] and second[1].endswith("after")
    # Writes of the other users of the pipe still block.
    assert os.get_blocking(writing)


def test_a_malformed_record_is_logged_as_a_separate_line(small_pipe: tuple[int, int]) -> None:
    reading, writing = small_pipe
    NonBlockingLogHandler(writing).emit(logging.makeLogRecord({"msg": "%d", "args": ("x",)}))
    assert b"log_line_malformed '%d'" in os.read(reading, 1000)


def answers_ping(address: tuple[str, int]) -> bool:
    """Wait until the address accepts connections; return whether it answers PING."""
    for _ in range(int(LIMIT_S / POLL_INTERVAL_S)):
        try:
            with socket.create_connection(address, timeout=LIMIT_S) as client, client.makefile() as answers:
                client.sendall(b"PING\r\n")
                return answers.readline() == "PONG\n"
        except ConnectionRefusedError:
            time.sleep(POLL_INTERVAL_S)
    return False


@pytest.mark.parametrize("error_output", ["full pipe", "closed pipe", "full disk"])
def test_the_program_keeps_serving_if_its_log_cannot_be_written(tmp_path: Path, error_output: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    known = {"generation": 1, "reset": True, "instances": [_entry(number) for number in range(300)]}
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config(listen=f"127.0.0.1:{address[1]}", known=known)))
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
    if error_output == "closed pipe":
        os.close(reading)
    target = os.open("/dev/full", os.O_WRONLY) if error_output == "full disk" else writing
    process = subprocess.Popen(
        [sys.executable, "-m", "walkloom"],
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(path)},
        stderr=target,
    )
    try:
        assert answers_ping(address) and process.poll() is None
        process.terminate()
        assert process.wait(LIMIT_S) == 0
    finally:
        process.kill()
        process.wait()


def _entry(number: int) -> dict[str, object]:
    return {"instanceId": f"s-{number}", "hostPort": f"127.0.0.1:{20_000 + number}", "lifecycle": "up"}
