"""Hashes that are the same in every process, so that all balancers rank endpoints alike."""

from __future__ import annotations

from collections.abc import Hashable
from zlib import crc32

_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF
_MASK_28_BITS = 0xFFFFFFF


def stable_hash(value: Hashable) -> int:
    """32 bits that depend on the value's text alone."""
    return crc32(repr(value).encode())


def mixed(number: int) -> int:
    """28 bits of a hash that is not linear in `number`.

    A linear one gave some endpoints 300 times the groups of others.
    """
    product = number * 0x9E3779B97F4A7C15 & _MASK_64_BITS
    return (product ^ product >> 32) * 0xD6E8FEB86659FD93 >> 32 & _MASK_28_BITS
