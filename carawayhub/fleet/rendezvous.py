"""Highest-random-weight hashing: an order of names that every process works out alike."""

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``, from 0 to 2**64 - 1."""
    text = f"{key}\0{name}".encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by falling weight for ``key``.

    The order of the others stays the same when a name comes or goes.
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
