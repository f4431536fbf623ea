"""Hash functions with the same results in every process, unlike the built-in one."""

from __future__ import annotations

from hashlib import blake2b

UINT64_MAX = (1 << 64) - 1


def hash64(text: str) -> int:
    """Return a 64-bit hash of a string."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix64(a: int, b: int) -> int:
    """Return a 64-bit hash of two 64-bit integers, by the finaliser of splitmix64."""
    h = ((a ^ b) * 0x9E3779B97F4A7C15) & UINT64_MAX
    h = ((h ^ (h >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MAX
    h = ((h ^ (h >> 27)) * 0x94D049BB133111EB) & UINT64_MAX
    return h ^ (h >> 31)
