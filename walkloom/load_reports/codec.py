"""Codec of the poll for a load report: `STATS`, answered by `PONG name=figure,name=figure,...`.

It keeps no state and does no I/O.
"""

from __future__ import annotations

from walkloom.load_reports.errors import MalformedLoadReportError

# The poll.
REQUEST = b"STATS\r\n"

# First word of a response with the load report, if the endpoint has one yet.
REPORT_WORD = b"PONG"

# First word of a response that the endpoint gives no report now.
REFUSAL_WORD = b"ERR"

# Figures from 0 to here are a load. The policy keeps means of them, which one infinity or nan would spoil.
MAX_FIGURE = 1e6

# Of a response that is no load report, so that the log line stays short.
MAX_LOGGED_CHARACTERS = 80


def decode(line: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Decode the line of a PONG to the figures of `fields`, in their order.

    fields: the names of the figures, in the order of the settings (key `stats.fields`).

    Empty if the PONG brings no figures, or lacks one of the fields: an endpoint that was never asked has no
    report yet. Raises MalformedLoadReportError if a figure is none.
    """
    try:
        words = line.decode("ascii").split()
        if len(words) < 2:
            return ()
        figures = dict(item.split("=", 1) for item in words[1].split(","))
        if not figures.keys() >= set(fields):
            return ()
        load_report = tuple(float(figures[name]) for name in fields)
    except ValueError as error:
        raise MalformedLoadReportError(str(error), line) from error
    if not all(0.0 <= figure <= MAX_FIGURE for figure in load_report):
        raise MalformedLoadReportError(f"no load report: {words[1][:MAX_LOGGED_CHARACTERS]}", line)
    return load_report
