"""Rendezvous (highest random weight) hashing: the same order of names in every process."""

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``, from 0 to 2**64 - 1."""
    text = f"{key}\0{name}".encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by descending weight for ``key``.

    Adding or removing a name doesn't change the order of the others.
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
