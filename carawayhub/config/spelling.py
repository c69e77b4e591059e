"""Finds the known name that a misspelt one most likely meant."""

from collections.abc import Iterable
from difflib import get_close_matches

_MAX_LISTED = 12


def hint(name: str, known: Iterable[str]) -> str:
    """Return what to write in place of ``name``.

    Example:
        >>> hint("stat", ("state", "vm"))
        "'stat'; did you mean 'state'?"
    """
    names = tuple(known)
    near = get_close_matches(name, names, n=1)
    if near:
        return f"{name!r}; did you mean {near[0]!r}?"
    if not names or len(names) > _MAX_LISTED:
        return repr(name)
    return f"{name!r}; known are {', '.join(sorted(names))}"
