"""The import command: its output and its exit status."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from tests.importers.test_apache import APACHE_FILE
from tests.importers.test_mod_jk import WORKER_FILE
from walkloom.config import SettingNames
from walkloom.discovery.codec import decode
from walkloom.importers import main


@pytest.fixture
def apache_file(tmp_path: Path) -> str:
    path = tmp_path / "httpd.conf"
    path.write_text(APACHE_FILE)
    return str(path)


@pytest.fixture
def worker_file(tmp_path: Path) -> str:
    path = tmp_path / "workers.properties"
    path.write_text(WORKER_FILE)
    return str(path)


def test_the_printed_list_can_be_decoded_by_discovery(
    apache_file: str, worker_file: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([apache_file, worker_file]) == 0
    printed = capsys.readouterr()
    names = SettingNames(classes=(), tenants=(), zones=("north",), machine_types=())
    response = decode(printed.out.encode(), names)
    names_in_list = [str(endpoint.id) for endpoint in response.update.endpoints]
    assert names_in_list == ["t1", "t2", "10.0.0.3:80", "w1", "two"]
    assert response.addresses["t2"] == ("10.0.0.2", 8009)
    assert orjson.loads(printed.out)["reset"]
    assert printed.err.splitlines() == [
        "line 4: timeout is not carried over",
        "worker w1: socket_timeout is not carried over",
    ]


def test_two_servers_with_the_same_name_end_the_import(
    apache_file: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    duplicate = tmp_path / "duplicate.properties"
    duplicate.write_text("worker.list=t1\n")
    assert main([apache_file, str(duplicate)]) == 2
    assert "two members" in capsys.readouterr().err


def test_an_unreadable_line_is_reported_with_its_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "workers.properties"
    path.write_text("worker.list")
    assert main([str(path)]) == 2
    assert capsys.readouterr().err == f"walkloom: {path}: line 1: not key=value\n"


def test_a_missing_file_and_no_file_end_the_import(tmp_path: Path) -> None:
    assert main([str(tmp_path / "missing")]) == 2
    assert main([]) == 2
