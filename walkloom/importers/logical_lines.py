"""Logical lines of a configuration file: a line that ends in a backslash continues on the next line."""

from __future__ import annotations

from collections.abc import Iterator


def logical_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield each logical line, stripped, with the number of its first physical line (from 1)."""
    first_number = 0
    continued = ""
    for number, line in enumerate(text.splitlines(), 1):
        if not continued:
            first_number = number
        if line.endswith("\\"):
            continued += line[:-1]
            continue
        yield first_number, (continued + line).strip()
        continued = ""
    if continued:
        yield first_number, continued.strip()
