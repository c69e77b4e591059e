"""HTTP headers as bytes, which HTTP libraries take, and as text, which messages carry."""

from collections.abc import Iterable

ByteHeaders = Iterable[tuple[bytes, bytes]]
TextHeaders = Iterable[tuple[str, str]]

ENCODING = "latin-1"
"""Maps each byte to one character and back, so that no header changes on the way."""


def as_text(headers: ByteHeaders) -> tuple[tuple[str, str], ...]:
    """Return ``headers`` as text, in their order."""
    return tuple((name.decode(ENCODING), value.decode(ENCODING)) for name, value in headers)


def as_bytes(headers: TextHeaders) -> list[tuple[bytes, bytes]]:
    """Return ``headers`` as bytes, in their order."""
    return [(name.encode(ENCODING), value.encode(ENCODING)) for name, value in headers]


def without(headers: ByteHeaders, names: frozenset[bytes]) -> list[tuple[bytes, bytes]]:
    """Return ``headers`` without those called one of ``names``, which are in lower case."""
    return [(name, value) for name, value in headers if name.lower() not in names]
