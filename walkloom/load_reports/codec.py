"""Codec of the poll for a load report: `STATS`, answered by `PONG name=value,name=value,...`.

It has no state and does no I/O.
"""

from __future__ import annotations

from walkloom.load_reports.errors import MalformedLoadReportError

# Line that polls an endpoint.
POLL_LINE = b"STATS\r\n"

# First word of a response with the load report, or without one if the endpoint has none yet.
REPORT_WORD = b"PONG"

# First word of a response of an endpoint that currently gives no report.
REFUSAL_WORD = b"ERR"

# Values from 0 to this limit are valid. The policy averages them, and an infinity or nan would corrupt the
# averages.
MAX_VALUE = 1e6

# Length to which an invalid response is cut in its log line.
MAX_LOGGED_CHARACTERS = 80


def decode(line: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Decode the line of a PONG to the values of `fields`, in their order.

    fields: the names of the values, in the order of the settings (key `stats.fields`).

    Empty if the PONG has no values, or lacks one of the fields: an endpoint that was never polled has no
    report yet. Raises MalformedLoadReportError if a value is not a number from 0 to MAX_VALUE.
    """
    try:
        words = line.decode("ascii").split()
        if len(words) < 2:
            return ()
        values = dict(item.split("=", 1) for item in words[1].split(","))
        if not values.keys() >= set(fields):
            return ()
        load_report = tuple(float(values[name]) for name in fields)
    except ValueError as error:
        raise MalformedLoadReportError(str(error), line) from error
    if not all(0.0 <= value <= MAX_VALUE for value in load_report):
        raise MalformedLoadReportError(f"not a load report: {words[1][:MAX_LOGGED_CHARACTERS]}", line)
    return load_report
