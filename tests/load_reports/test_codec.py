"""Lines of PONG, and the load reports that they become."""

from __future__ import annotations

import pytest

from walkloom.load_reports.codec import decode
from walkloom.load_reports.errors import LoadReportError, MalformedLoadReportError

FIELDS = ("connections", "load")


def test_figures_come_in_the_order_of_the_settings() -> None:
    assert decode(b"PONG load=0.5,new=9,connections=3\r\n", FIELDS) == (3.0, 0.5)


@pytest.mark.parametrize("line", [b"PONG\r\n", b"PONG load=0.5\r\n", b"PONG load=x\r\n"])
def test_an_endpoint_without_the_figures_has_no_report_yet(line: bytes) -> None:
    assert decode(line, FIELDS) == ()


@pytest.mark.parametrize("figure", ["nan", "inf", "-1", "1e300", "x", ""])
def test_a_figure_that_is_no_load_is_an_error_with_its_line(figure: str) -> None:
    line = f"PONG connections=3,load={figure}\r\n".encode()
    with pytest.raises(MalformedLoadReportError) as caught:
        decode(line, FIELDS)
    assert isinstance(caught.value, LoadReportError)
    assert caught.value.line == line


@pytest.mark.parametrize("line", [b"PONG x\r\n", b"PONG x=\xff\r\n"])
def test_a_line_in_another_form_is_an_error_with_its_cause(line: bytes) -> None:
    with pytest.raises(MalformedLoadReportError) as caught:
        decode(line, FIELDS)
    assert isinstance(caught.value.__cause__, ValueError)
