"""Hashes that are the same in every process, so that all balancers rank endpoints identically."""

from __future__ import annotations

from collections.abc import Hashable
from zlib import crc32

_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF
_MASK_28_BITS = 0xFFFFFFF


def stable_hash(value: Hashable) -> int:
    """Return a 32-bit hash of the value's `repr`."""
    return crc32(repr(value).encode())


def mix_bits(number: int) -> int:
    """Return a 28-bit hash that is not linear in `number`.

    With a linear hash some endpoints got 300 times as many affinity groups as others.
    """
    product = number * 0x9E3779B97F4A7C15 & _MASK_64_BITS
    return (product ^ product >> 32) * 0xD6E8FEB86659FD93 >> 32 & _MASK_28_BITS
