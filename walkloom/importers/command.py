"""The import command: reads files and prints one endpoint list in discovery's form.

The list is written to standard output, for the key `known` of a balancer's configuration. Each part of the
files that the list cannot represent is reported on standard error, one line each. A line that cannot be read
ends the import.
"""

from __future__ import annotations

import sys
from pathlib import Path

import orjson

from walkloom.importers.apache import parse_balancer_members
from walkloom.importers.mod_jk import parse_workers
from walkloom.importers.model import (
    FileImportError,
    ImportedList,
    ImporterError,
    UsageError,
    to_discovery_form,
)

# Suffix of mod_jk's worker files; all other files are read as Apache configuration.
WORKER_FILE_SUFFIX = ".properties"

EXIT_OK = 0
EXIT_FAILED = 2


def read_file(path: Path) -> ImportedList:
    """Read one file, whose suffix determines its format.

    Raises FileImportError if it cannot be parsed, OSError if it cannot be opened.
    """
    text = path.read_text(encoding="utf-8", errors="replace")
    parse = parse_workers if path.suffix == WORKER_FILE_SUFFIX else parse_balancer_members
    try:
        return parse(text)
    except ImporterError as error:
        raise FileImportError(path, error) from error


def main(paths: list[str]) -> int:
    """Read the files and print the list; return the exit status."""
    try:
        _print_list(paths)
    except (ImporterError, OSError) as error:
        print(f"walkloom: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _print_list(paths: list[str]) -> None:
    if not paths:
        raise UsageError
    # Read all files before the first line of output, so that nothing is printed if one cannot be read.
    imported_lists = [read_file(Path(path)) for path in paths]
    for imported_list in imported_lists:
        for warning in imported_list.warnings:
            print(warning, file=sys.stderr)
    servers = tuple(server for imported_list in imported_lists for server in imported_list.servers)
    print(orjson.dumps(to_discovery_form(servers)).decode())
