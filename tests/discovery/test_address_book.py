"""The addresses in the book after each kind of endpoint list update."""

from __future__ import annotations

import pytest

from walkloom.discovery.address_book import AddressBook
from walkloom.messages import Endpoint, EndpointListUpdate, Lifecycle, UpdateKind

ADDRESS_A = ("10.0.0.1", 80)
ADDRESS_B = ("10.0.0.2", 80)
ADDRESS_MOVED = ("10.0.0.3", 80)


def book_with_a_and_b() -> AddressBook:
    address_book = AddressBook()
    update = EndpointListUpdate(UpdateKind.SNAPSHOT, (Endpoint("a"), Endpoint("b")))
    address_book.apply(update, {"a": ADDRESS_A, "b": ADDRESS_B})
    return address_book


def test_an_endpoint_that_is_on_no_list_has_no_address() -> None:
    assert AddressBook().lookup("a") is None


def test_an_endpoint_removed_and_listed_again_in_one_update_keeps_its_new_address() -> None:
    address_book = book_with_a_and_b()
    removed = Endpoint("a", lifecycle=Lifecycle.REMOVED)
    address_book.apply(
        EndpointListUpdate(UpdateKind.INCREMENTAL, (removed, Endpoint("a"))), {"a": ADDRESS_MOVED}
    )
    assert address_book.lookup("a") == ADDRESS_MOVED
    address_book.apply(EndpointListUpdate(UpdateKind.INCREMENTAL, (Endpoint("a"), removed)), {"a": ADDRESS_A})
    assert address_book.lookup("a") is None


def test_an_incremental_update_changes_only_the_endpoints_that_it_lists() -> None:
    address_book = book_with_a_and_b()
    update = EndpointListUpdate(UpdateKind.INCREMENTAL, (Endpoint("b"),))
    address_book.apply(update, {"b": ADDRESS_MOVED})
    assert address_book.lookup("a") == ADDRESS_A
    assert address_book.lookup("b") == ADDRESS_MOVED


def test_an_incremental_update_deletes_the_address_of_a_removed_endpoint() -> None:
    address_book = book_with_a_and_b()
    removed = Endpoint("a", lifecycle=Lifecycle.REMOVED)
    address_book.apply(EndpointListUpdate(UpdateKind.INCREMENTAL, (removed,)), {})
    assert address_book.lookup("a") is None
    assert address_book.lookup("b") == ADDRESS_B


@pytest.mark.parametrize("kind", [UpdateKind.SNAPSHOT, UpdateKind.CACHED])
def test_a_complete_list_replaces_the_previous_one(kind: UpdateKind) -> None:
    address_book = book_with_a_and_b()
    address_book.apply(EndpointListUpdate(kind, (Endpoint("b"),)), {"b": ADDRESS_MOVED})
    assert address_book.lookup("a") is None
    assert address_book.lookup("b") == ADDRESS_MOVED
