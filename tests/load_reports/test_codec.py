"""Lines of PONG, and the load reports decoded from them."""

from __future__ import annotations

import pytest

from walkloom.load_reports.codec import decode
from walkloom.load_reports.errors import LoadReportError, MalformedLoadReportError

FIELDS = ("connections", "load")


def test_values_are_in_the_order_of_the_settings() -> None:
    assert decode(b"PONG load=0.5,new=9,connections=3\r\n", FIELDS) == (3.0, 0.5)


@pytest.mark.parametrize("line", [b"PONG\r\n", b"PONG load=0.5\r\n", b"PONG load=x\r\n"])
def test_a_response_without_all_fields_is_no_report_yet(line: bytes) -> None:
    assert decode(line, FIELDS) == ()


@pytest.mark.parametrize("figure", ["nan", "inf", "-1", "1e300", "x", ""])
def test_a_value_that_is_not_a_load_is_an_error_with_its_line(figure: str) -> None:
    line = f"PONG connections=3,load={figure}\r\n".encode()
    with pytest.raises(MalformedLoadReportError) as caught:
        decode(line, FIELDS)
    assert isinstance(caught.value, LoadReportError)
    assert caught.value.line == line


@pytest.mark.parametrize("line", [b"PONG x\r\n", b"PONG x=\xff\r\n"])
def test_a_line_of_another_form_is_an_error_with_its_cause(line: bytes) -> None:
    with pytest.raises(MalformedLoadReportError) as caught:
        decode(line, FIELDS)
    assert isinstance(caught.value.__cause__, ValueError)
